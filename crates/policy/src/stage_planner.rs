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
const SHARE_PRIOR: f64 = 0.58;
/// Time over which the wanted share follows the work that callers ask for. Swings within it are
/// borne by queues, since each change takes an engine away for seconds.
const SHARE_TIME: Duration = Duration::from_secs(60);
/// Share of a prefill engine's time that is planned to be used.
const PREFILL_USE: f64 = 0.9;
/// Share of a decode engine's slots that is planned to be used.
pub const SLOT_USE: f64 = 0.3;
/// Changes before any work has been seen; beyond them it has to show that they are needed.
const PRIOR_CHANGES: usize = 8;
/// Changes under way at a time once work is seen.
const CHANGES_AT_A_TIME: usize = 2;
/// Share of a stage's engines that its work must take before it gets more of them.
const SHORT_USE: f64 = 0.35;
/// Engines by which the present split must be off, as a share of all.
const CHANGE_SHARE: f64 = 0.1;

/// What a planner sees of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StageSight {
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
    fn engines(self, stage: EngineStage) -> f64 {
        match stage {
            EngineStage::Prefill => {
                self.prompt_tokens_per_ms / (self.read_speed.max(0.1) * PREFILL_USE)
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
    pub wanted: usize,
    /// Prefill engines now.
    pub present: usize,
}

/// Follows the demand on the two stages of one service.
#[derive(Debug, Clone)]
pub struct StagePlanner {
    share: f64,
    updated: Option<Instant>,
    /// Whether the split is off and not mended yet; it is mended in full once it is off by enough.
    is_correcting: bool,
    prior_changes: usize,
}

impl Default for StagePlanner {
    fn default() -> Self {
        Self {
            share: SHARE_PRIOR,
            updated: None,
            is_correcting: false,
            prior_changes: 0,
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
        sights: &[StageSight],
        demand: Option<StageDemand>,
    ) -> Option<StageChange> {
        self.follow(now, demand);
        let wanted = wanted_prefill(sights.len(), self.share)?;
        let present = sights.iter().filter(|s| s.stage == EngineStage::Prefill);
        let present = present.count();
        let tolerance = (sights.len() as f64 * CHANGE_SHARE).ceil() as usize;
        let off = wanted.abs_diff(present);
        self.is_correcting = off >= tolerance.max(1) || (self.is_correcting && off > 0);
        if !self.is_correcting {
            return None;
        }
        let stage = if wanted > present {
            EngineStage::Prefill
        } else {
            EngineStage::Decode
        };
        if !self.may_change(sights, stage, demand) {
            return None;
        }
        let instance = choose_engine(sights, stage)?;
        self.prior_changes += usize::from(demand.is_none());
        Some(StageChange {
            instance,
            stage,
            wanted,
            present,
        })
    }

    /// Whether one more engine may get a stage: a few before work, then a few at a time and only for
    /// a stage that is short of engines.
    fn may_change(
        &self,
        sights: &[StageSight],
        stage: EngineStage,
        demand: Option<StageDemand>,
    ) -> bool {
        let Some(demand) = demand else {
            return self.prior_changes < PRIOR_CHANGES;
        };
        let changing = sights.iter().filter(|sight| sight.is_changing).count();
        let present = sights.iter().filter(|sight| sight.stage == stage).count();
        let needed = demand.engines(stage);
        changing < CHANGES_AT_A_TIME && needed > present as f64 * SHORT_USE
    }

    fn follow(&mut self, now: Instant, demand: Option<StageDemand>) {
        let elapsed = self
            .updated
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let Some(asked) = demand.and_then(demand_share) else {
            return;
        };
        let weight = 1.0 - (-elapsed.as_secs_f64() / SHARE_TIME.as_secs_f64()).exp();
        self.share += weight * (asked - self.share);
    }
}

/// Prefill engines wanted among a number of engines; at least one is left for each stage.
fn wanted_prefill(engines: usize, share: f64) -> Option<usize> {
    if engines < 2 {
        return None;
    }
    let wanted = (engines as f64 * share).round() as usize;
    Some(wanted.clamp(1, engines - 1))
}

/// Share of the engines' time that reading takes, if any work is asked for.
fn demand_share(demand: StageDemand) -> Option<f64> {
    let prefill = demand.engines(EngineStage::Prefill);
    let total = prefill + demand.engines(EngineStage::Decode);
    (total > 0.0).then(|| prefill / total)
}

/// An idle engine of the other stage, from the data centre that has most of that stage.
fn choose_engine(sights: &[StageSight], stage: EngineStage) -> Option<InstanceId> {
    let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    for sight in sights.iter().filter(|sight| sight.stage != stage) {
        *counts.entry(&sight.centre).or_default() += 1;
    }
    let fitting = sights
        .iter()
        .filter(|sight| sight.stage != stage && !sight.is_changing);
    let best = fitting.min_by_key(|sight| {
        let count = counts.get(&sight.centre).copied().unwrap_or_default();
        (std::cmp::Reverse(count), sight.requests, &sight.instance)
    });
    best.map(|sight| sight.instance.clone())
}
