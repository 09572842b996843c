//! Decides which engine changes its role, if the expected gain exceeds the time lost by the change.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::{
    EngineSeconds,
    InstanceId, //
};

use crate::EngineRole;

/// Time constant of the moving averages of prefill and decode work.
const WORK_MIX_AVERAGING_WINDOW: Duration = Duration::from_secs(10);
/// Period over which the lowest prefill share is taken.
const PREFILL_SHARE_HISTORY: Duration = Duration::from_secs(300);
/// Period over which the gain of a role change is counted.
const GAIN_HORIZON: Duration = Duration::from_secs(120);
/// Minimum time between two role changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(15);
/// Fraction of its time that a prefill engine gains because its steps do not combine prefill and
/// decode.
const DEDICATED_ENGINE_GAIN: f64 = 0.08;
/// Minimum ratio of the gain of a role change to the time lost by the change.
const CHANGE_COST_FACTOR: f64 = 2.0;
/// Fraction of the lowest recent prefill demand that prefill engines may serve.
const DEDICATED_PREFILL_FRACTION: f64 = 1.0;

/// State of an engine as observed by a planner.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineObservation {
    /// Instance of the engine.
    pub instance: InstanceId,
    /// Current role of the engine.
    pub role: EngineRole,
    /// Whether the engine is changing its role or accepts no jobs.
    pub unavailable: bool,
    /// Prefill work requested of the engine since its side process started.
    pub requested_prefill: EngineSeconds,
    /// Decode work requested of the engine since its side process started.
    pub requested_decode: EngineSeconds,
    /// Seconds for which a role change makes the engine unavailable.
    pub role_change_seconds: f64,
}

/// Role change to order.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleChange {
    /// Instance of the engine.
    pub instance: InstanceId,
    /// New role of the engine.
    pub role: EngineRole,
    /// Averaged share of prefill in the requested work.
    pub prefill_share: f64,
    /// Engine seconds gained over the planning period, less the weighted time lost by the change.
    pub gain_seconds: f64,
}

/// Averaged prefill share at one time.
#[derive(Debug, Clone, Copy)]
struct PrefillShareSample {
    sampled_at: Instant,
    prefill_share: f64,
}

/// Tracks the mix of prefill and decode work in one data centre and plans one role change at a
/// time.
#[derive(Debug, Clone, Default)]
pub struct RolePlanner {
    totals: BTreeMap<InstanceId, (f64, f64)>,
    prefill_rate: f64,
    decode_rate: f64,
    last_observed_at: Option<Instant>,
    history: VecDeque<PrefillShareSample>,
    last_change_at: Option<Instant>,
}

impl RolePlanner {
    /// Creates a planner without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the averaged share of prefill in the requested work.
    pub fn prefill_share(&self) -> Option<f64> {
        let total = self.prefill_rate + self.decode_rate;
        (total > 0.0).then(|| self.prefill_rate / total)
    }

    /// Records new observations and returns the role change to order now, if any.
    pub fn plan(&mut self, now: Instant, engines: &[EngineObservation]) -> Option<RoleChange> {
        self.observe(now, engines);
        let interval_elapsed = self
            .last_change_at
            .is_none_or(|at| now >= at + MIN_CHANGE_INTERVAL);
        if !interval_elapsed || engines.iter().any(|engine| engine.unavailable) {
            return None;
        }
        let change = self.choose(engines)?;
        self.last_change_at = Some(now);
        Some(change)
    }

    /// Returns the next role change towards dedicated prefill and decode engines in proportion to
    /// the current mix of work, regardless of its cost; a baseline for measurements.
    pub fn plan_for_current_mix(
        &mut self,
        now: Instant,
        engines: &[EngineObservation],
    ) -> Option<RoleChange> {
        self.observe(now, engines);
        let prefill_share = self.prefill_share()?;
        let target_prefill_engines =
            (engines.len() as f64 * prefill_share).round().max(1.0) as usize;
        let count = |role| engines.iter().filter(|engine| engine.role == role).count();
        let (prefill, mixed) = (count(EngineRole::Prefill), count(EngineRole::Mixed));
        let (from, to) = if prefill < target_prefill_engines {
            let from = if mixed > 0 {
                EngineRole::Mixed
            } else {
                EngineRole::Decode
            };
            (from, EngineRole::Prefill)
        } else if mixed > 0 {
            (EngineRole::Mixed, EngineRole::Decode)
        } else if prefill > target_prefill_engines {
            (EngineRole::Prefill, EngineRole::Decode)
        } else {
            return None;
        };
        let mut ready = engines.iter().filter(|engine| !engine.unavailable);
        let instance = ready.find(|engine| engine.role == from)?.instance.clone();
        Some(RoleChange {
            instance,
            role: to,
            prefill_share,
            gain_seconds: 0.0,
        })
    }

    /// Updates the averages of requested work and the history of the prefill share.
    fn observe(&mut self, now: Instant, engines: &[EngineObservation]) {
        let mut prefill = 0.0;
        let mut decode = 0.0;
        for engine in engines {
            let current = (engine.requested_prefill.0, engine.requested_decode.0);
            let previous = self.totals.insert(engine.instance.clone(), current);
            // A restarted side process counts from zero again.
            let (previous_prefill, previous_decode) = previous
                .filter(|totals| totals.0 <= current.0 && totals.1 <= current.1)
                .unwrap_or(current);
            prefill += current.0 - previous_prefill;
            decode += current.1 - previous_decode;
        }
        let is_observed = |id: &InstanceId| engines.iter().any(|engine| engine.instance == *id);
        self.totals.retain(|instance, _| is_observed(instance));
        let Some(last) = self.last_observed_at.replace(now) else {
            return;
        };
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / WORK_MIX_AVERAGING_WINDOW.as_secs_f64()).exp();
        self.prefill_rate += weight * (prefill / elapsed - self.prefill_rate);
        self.decode_rate += weight * (decode / elapsed - self.decode_rate);
        if let Some(prefill_share) = self.prefill_share() {
            self.history.push_back(PrefillShareSample {
                sampled_at: now,
                prefill_share,
            });
        }
        while self
            .history
            .front()
            .is_some_and(|sample| sample.sampled_at + PREFILL_SHARE_HISTORY < now)
        {
            self.history.pop_front();
        }
    }

    /// Selects a role change for the averaged work mix. A change from the mixed to the prefill role
    /// is selected only if its gain exceeds its weighted cost; a change back to the mixed role needs
    /// no gain.
    fn choose(&self, engines: &[EngineObservation]) -> Option<RoleChange> {
        let prefill_share = self.prefill_share()?;
        // Requested work includes refused jobs, so the load is capped at what the engines can
        // serve.
        let load = (self.prefill_rate + self.decode_rate).min(engines.len() as f64);
        let share_samples = self.history.iter().map(|sample| sample.prefill_share);
        let lowest_share = share_samples.fold(prefill_share, f64::min);
        let target_prefill_engines =
            (load * lowest_share * DEDICATED_PREFILL_FRACTION).floor() as usize;
        let count = |role| engines.iter().filter(|engine| engine.role == role).count();
        let prefill = count(EngineRole::Prefill);
        let transition = if count(EngineRole::Decode) > 0 {
            // Mixed engines absorb changes of the work mix that would leave decode engines idle.
            (EngineRole::Decode, EngineRole::Mixed)
        } else if prefill > target_prefill_engines + 1 {
            (EngineRole::Prefill, EngineRole::Mixed)
        } else if prefill < target_prefill_engines {
            (EngineRole::Mixed, EngineRole::Prefill)
        } else {
            return None;
        };
        let (from, to) = transition;
        let engine = engines.iter().find(|engine| engine.role == from)?;
        let gain_seconds = GAIN_HORIZON.as_secs_f64() * DEDICATED_ENGINE_GAIN
            - engine.role_change_seconds * CHANGE_COST_FACTOR;
        let returns_to_mixed = to == EngineRole::Mixed;
        if gain_seconds <= 0.0 && !returns_to_mixed {
            return None;
        }
        let instance = engine.instance.clone();
        Some(RoleChange {
            instance,
            role: to,
            prefill_share,
            gain_seconds,
        })
    }
}
