//! Plans how many engines of a service are prefill engines, and which engine changes its stage.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    DataCentre,
    InstanceId, //
};

use crate::EngineStage;

/// Desired share of prefill engines before any demand has been observed.
const INITIAL_PREFILL_SHARE: f64 = 0.58;
/// Time constant with which the desired share of prefill engines follows the demand. Shorter swings
/// are absorbed by queues, because each change makes an engine unavailable for seconds.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(60);
/// Utilization of a prefill engine's time that the plan aims at.
const TARGET_PREFILL_UTILIZATION: f64 = 0.9;
/// Utilization of a decode engine's slots that the plan aims at.
pub const TARGET_SLOT_UTILIZATION: f64 = 0.3;
/// Maximum number of changes before any demand has been observed. Further changes are ordered only
/// once the demand shows the need for them.
const INITIAL_CHANGE_LIMIT: usize = 8;
/// Maximum number of changes in progress at a time once demand has been observed.
const CONCURRENT_CHANGE_LIMIT: usize = 2;
/// Share of a stage's engines that the demand must occupy before the stage gets another engine.
const MIN_GROWTH_UTILIZATION: f64 = 0.35;
/// Share of all engines by which the current split must differ from the desired one before engines
/// are moved.
const IMBALANCE_TOLERANCE: f64 = 0.1;

/// Planner's observation of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StageObservation {
    /// Instance on which the engine runs.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub centre: DataCentre,
    /// Stage that the engine serves, or will serve after a pending order.
    pub stage: EngineStage,
    /// Whether an order to change the stage may be pending.
    pub is_changing: bool,
    /// Number of in-flight requests on the engine.
    pub requests: u32,
}

/// Demand of callers on the engines of a service, summed over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageDemand {
    /// Prompt tokens requested per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Prompt tokens that one engine prefills per millisecond.
    pub read_speed: f64,
    /// Output tokens expected per millisecond.
    pub output_tokens_per_ms: f64,
    /// Output tokens that one engine generates per millisecond at the target slot utilization.
    pub output_speed: f64,
}

impl StageDemand {
    /// Returns the number of engines that the demand on a stage occupies.
    fn needed_engines(self, stage: EngineStage) -> f64 {
        match stage {
            EngineStage::Prefill => {
                self.prompt_tokens_per_ms / (self.read_speed.max(0.1) * TARGET_PREFILL_UTILIZATION)
            }
            EngineStage::Decode => self.output_tokens_per_ms / self.output_speed.max(0.01),
        }
    }
}

/// Order to change the stage of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct StageChange {
    /// Instance of the engine to change.
    pub instance: InstanceId,
    /// New stage of the engine.
    pub stage: EngineStage,
    /// Desired number of prefill engines.
    pub desired_prefill: usize,
    /// Current number of prefill engines.
    pub current_prefill: usize,
}

/// Splits the engines of one service between the two stages according to the demand.
#[derive(Debug, Clone)]
pub struct StagePlanner {
    prefill_share: f64,
    updated_at: Option<Instant>,
    /// Whether engines are being moved. Rebalancing starts when the split exceeds the tolerance and
    /// goes on until the split equals the desired one.
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
    /// Returns the change to order now, if any. `demand` is `None` before any has been observed.
    ///
    /// The desired share changes slowly, but is applied to the engines that are present, so that
    /// lost engines are replaced at once.
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

    /// Returns whether another engine may change to `stage`.
    ///
    /// Without demand, the total number of changes is limited. With demand, the number of changes
    /// in progress is limited, and the stage must need another engine.
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

/// Returns the desired number of prefill engines, which leaves at least one engine for each stage.
/// Returns `None` for fewer than two engines.
fn desired_prefill_count(engines: usize, share: f64) -> Option<usize> {
    if engines < 2 {
        return None;
    }
    let desired_prefill = (engines as f64 * share).round() as usize;
    Some(desired_prefill.clamp(1, engines - 1))
}

/// Returns the share of the needed engines that prefill takes, or `None` without demand.
fn prefill_share(demand: StageDemand) -> Option<f64> {
    let prefill = demand.needed_engines(EngineStage::Prefill);
    let total = prefill + demand.needed_engines(EngineStage::Decode);
    (total > 0.0).then(|| prefill / total)
}

/// Returns the engine to change to `stage`.
///
/// The choice is among the engines of the other stage without a pending order: from the data centre
/// with the most engines of that stage, the engine with the fewest requests.
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
