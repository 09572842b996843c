//! Decides how many engines read prompts apart, and which one changes its stage.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    DataCentre,
    InstanceId, //
};

use crate::EngineStage;

/// Share of engines that read prompts before any work has been seen.
const INITIAL_PREFILL_SHARE: f64 = 0.58;
/// Time over which the wanted share follows the work that callers ask for. Swings within it are
/// borne by queues, since each change takes an engine away for seconds.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(60);
/// Share of a prefill engine's time that is planned to be used.
const TARGET_PREFILL_UTILIZATION: f64 = 0.9;
/// Share of a decode engine's slots that is planned to be used.
pub const TARGET_SLOT_UTILIZATION: f64 = 0.3;
/// Changes before any work has been seen; beyond them it has to show that they are needed.
const INITIAL_CHANGE_LIMIT: usize = 8;
/// Changes under way at a time once work is seen.
const CONCURRENT_CHANGE_LIMIT: usize = 2;
/// Share of a stage's engines that its work must take before it gets more of them.
const MIN_GROWTH_UTILIZATION: f64 = 0.35;
/// Engines by which the present split must be off, as a share of all.
const IMBALANCE_TOLERANCE: f64 = 0.1;

/// What a planner sees of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StageObservation {
    /// Its instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its stage.
    pub stage: EngineStage,
    /// Whether an order may be under way there.
    pub is_changing: bool,
    /// Requests that it runs.
    pub requests: u32,
}

/// Work that callers ask for, of all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageDemand {
    /// Prompt tokens to be read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_speed: f64,
    /// Tokens to be generated in a millisecond.
    pub output_tokens_per_ms: f64,
    /// Tokens that an engine generates in a millisecond at the use that is planned.
    pub output_speed: f64,
}

impl StageDemand {
    /// Engines whose time the work of a stage takes.
    fn needed_engines(self, stage: EngineStage) -> f64 {
        match stage {
            EngineStage::Prefill => {
                self.prompt_tokens_per_ms / (self.read_speed.max(0.1) * TARGET_PREFILL_UTILIZATION)
            }
            EngineStage::Decode => self.output_tokens_per_ms / self.output_speed.max(0.01),
        }
    }
}

/// A change of stage to order.
#[derive(Debug, Clone, PartialEq)]
pub struct StageChange {
    /// Engine to change.
    pub instance: InstanceId,
    /// Stage that it gets.
    pub stage: EngineStage,
    /// Prefill engines wanted.
    pub desired_prefill: usize,
    /// Prefill engines now.
    pub current_prefill: usize,
}

/// Follows the demand on the two stages of one service.
#[derive(Debug, Clone)]
pub struct StagePlanner {
    prefill_share: f64,
    updated_at: Option<Instant>,
    /// Whether the split is off and not mended yet; it is mended in full once it is off by enough.
    is_rebalancing: bool,
    initial_changes: usize,
}

impl Default for StagePlanner {
    fn default() -> Self {
        Self {
            prefill_share: INITIAL_PREFILL_SHARE,
            updated_at: None,
            is_rebalancing: false,
            initial_changes: 0,
        }
    }
}

impl StagePlanner {
    /// The change to order now, if any; `demand` is absent before any work has been seen.
    ///
    /// The wanted share moves slowly, but engines that were lost are made up for at once.
    pub fn plan(
        &mut self,
        now: Instant,
        observations: &[StageObservation],
        demand: Option<StageDemand>,
    ) -> Option<StageChange> {
        self.update_share(now, demand);
        let desired_prefill = desired_prefill_count(observations.len(), self.prefill_share)?;
        let prefill = observations
            .iter()
            .filter(|observation| observation.stage == EngineStage::Prefill);
        let current_prefill = prefill.count();
        let tolerance = (observations.len() as f64 * IMBALANCE_TOLERANCE).ceil() as usize;
        let deviation = desired_prefill.abs_diff(current_prefill);
        self.is_rebalancing =
            deviation >= tolerance.max(1) || (self.is_rebalancing && deviation > 0);
        if !self.is_rebalancing {
            return None;
        }
        let stage = if desired_prefill > current_prefill {
            EngineStage::Prefill
        } else {
            EngineStage::Decode
        };
        if !self.may_change(observations, stage, demand) {
            return None;
        }
        let instance = choose_engine(observations, stage)?;
        self.initial_changes += usize::from(demand.is_none());
        Some(StageChange {
            instance,
            stage,
            desired_prefill,
            current_prefill,
        })
    }

    /// Whether one more engine may get a stage: a few before work, then a few at a time and only for
    /// a stage that is short of engines.
    fn may_change(
        &self,
        observations: &[StageObservation],
        stage: EngineStage,
        demand: Option<StageDemand>,
    ) -> bool {
        let Some(demand) = demand else {
            return self.initial_changes < INITIAL_CHANGE_LIMIT;
        };
        let changing = observations
            .iter()
            .filter(|observation| observation.is_changing)
            .count();
        let current_engines = observations
            .iter()
            .filter(|observation| observation.stage == stage)
            .count();
        let needed_engines = demand.needed_engines(stage);
        changing < CONCURRENT_CHANGE_LIMIT
            && needed_engines > current_engines as f64 * MIN_GROWTH_UTILIZATION
    }

    fn update_share(&mut self, now: Instant, demand: Option<StageDemand>) {
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let Some(demand_share) = demand.and_then(prefill_share) else {
            return;
        };
        let weight = 1.0 - (-elapsed.as_secs_f64() / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        self.prefill_share += weight * (demand_share - self.prefill_share);
    }
}

/// Prefill engines wanted among a number of engines; at least one is left for each stage.
fn desired_prefill_count(engines: usize, share: f64) -> Option<usize> {
    if engines < 2 {
        return None;
    }
    let desired_prefill = (engines as f64 * share).round() as usize;
    Some(desired_prefill.clamp(1, engines - 1))
}

/// Share of the engines' time that reading takes, if any work is asked for.
fn prefill_share(demand: StageDemand) -> Option<f64> {
    let prefill = demand.needed_engines(EngineStage::Prefill);
    let total = prefill + demand.needed_engines(EngineStage::Decode);
    (total > 0.0).then(|| prefill / total)
}

/// An idle engine of the other stage, from the data centre that has most of that stage.
fn choose_engine(observations: &[StageObservation], stage: EngineStage) -> Option<InstanceId> {
    let mut engines_per_centre: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    for observation in observations
        .iter()
        .filter(|observation| observation.stage != stage)
    {
        *engines_per_centre.entry(&observation.centre).or_default() += 1;
    }
    let candidates = observations
        .iter()
        .filter(|observation| observation.stage != stage && !observation.is_changing);
    let best = candidates.min_by_key(|observation| {
        let count = engines_per_centre
            .get(&observation.centre)
            .copied()
            .unwrap_or_default();
        (
            std::cmp::Reverse(count),
            observation.requests,
            &observation.instance,
        )
    });
    best.map(|observation| observation.instance.clone())
}
