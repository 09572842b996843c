//! Decides which engine changes its role, when the gain over a horizon exceeds the time lost.

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

/// Time over which the mix of work is averaged.
const MIX_WINDOW: Duration = Duration::from_secs(10);
/// Time over which the lowest share of prefill is kept.
const RANGE_WINDOW: Duration = Duration::from_secs(300);
/// Time for which a change must pay.
const HORIZON: Duration = Duration::from_secs(120);
/// Least time between two changes.
const CHANGE_PAUSE: Duration = Duration::from_secs(15);
/// Part of a specialist's time that is gained because its steps do not mix.
const SPECIALIST_GAIN: f64 = 0.08;
/// Gain that a change must have beyond its cost, as a factor.
const GAIN_FACTOR: f64 = 2.0;
/// Part of the lowest demand for prefill that specialists may serve.
const SPECIALIST_SHARE: f64 = 1.0;

/// What a planner sees of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSight {
    /// Its instance.
    pub instance: InstanceId,
    /// Its role.
    pub role: EngineRole,
    /// Whether its role is being changed, or it takes no work.
    pub unavailable: bool,
    /// Prefill work asked of it since its side started.
    pub prefill_total: EngineSeconds,
    /// Decode work asked of it since its side started.
    pub decode_total: EngineSeconds,
    /// Seconds that a change of role takes it away.
    pub change_seconds: f64,
}

/// A change of role to order.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleChange {
    /// Engine to change.
    pub instance: InstanceId,
    /// Role that it gets.
    pub role: EngineRole,
    /// Prefill's share of the work, as averaged.
    pub share: f64,
    /// Engine seconds gained over the horizon beyond those lost.
    pub gain: f64,
}

#[derive(Debug, Clone, Copy)]
struct MixSample {
    at: Instant,
    share: f64,
}

/// Follows the mix of one cell and plans at most one change at a time.
#[derive(Debug, Clone, Default)]
pub struct RolePlanner {
    totals: BTreeMap<InstanceId, (f64, f64)>,
    prefill_rate: f64,
    decode_rate: f64,
    observed_at: Option<Instant>,
    history: VecDeque<MixSample>,
    changed_at: Option<Instant>,
}

impl RolePlanner {
    /// A planner that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Prefill's share of the work, as averaged.
    pub fn prefill_share(&self) -> Option<f64> {
        let total = self.prefill_rate + self.decode_rate;
        (total > 0.0).then(|| self.prefill_rate / total)
    }

    /// Takes new reports, and gives the change to order now, if any.
    pub fn plan(&mut self, now: Instant, sights: &[EngineSight]) -> Option<RoleChange> {
        self.observe(now, sights);
        let settled = self.changed_at.is_none_or(|at| now >= at + CHANGE_PAUSE);
        if !settled || sights.iter().any(|sight| sight.unavailable) {
            return None;
        }
        let change = self.choose(sights)?;
        self.changed_at = Some(now);
        Some(change)
    }

    /// Gives every engine a role for the mix of this moment, one change at a time and whatever it
    /// costs; a baseline for measurements.
    pub fn follow(&mut self, now: Instant, sights: &[EngineSight]) -> Option<RoleChange> {
        self.observe(now, sights);
        let share = self.prefill_share()?;
        let wanted = (sights.len() as f64 * share).round().max(1.0) as usize;
        let count = |role| sights.iter().filter(|sight| sight.role == role).count();
        let (prefill, mixed) = (count(EngineRole::Prefill), count(EngineRole::Mixed));
        let (from, to) = if prefill < wanted {
            let from = if mixed > 0 {
                EngineRole::Mixed
            } else {
                EngineRole::Decode
            };
            (from, EngineRole::Prefill)
        } else if mixed > 0 {
            (EngineRole::Mixed, EngineRole::Decode)
        } else if prefill > wanted {
            (EngineRole::Prefill, EngineRole::Decode)
        } else {
            return None;
        };
        let mut ready = sights.iter().filter(|sight| !sight.unavailable);
        let instance = ready.find(|sight| sight.role == from)?.instance.clone();
        Some(RoleChange {
            instance,
            role: to,
            share,
            gain: 0.0,
        })
    }

    fn observe(&mut self, now: Instant, sights: &[EngineSight]) {
        let mut prefill = 0.0;
        let mut decode = 0.0;
        for sight in sights {
            let current = (sight.prefill_total.0, sight.decode_total.0);
            let before = self.totals.insert(sight.instance.clone(), current);
            // A restarted side counts from zero again.
            let (p, d) = before
                .filter(|b| b.0 <= current.0 && b.1 <= current.1)
                .unwrap_or(current);
            prefill += current.0 - p;
            decode += current.1 - d;
        }
        let present = |instance: &InstanceId| sights.iter().any(|s| s.instance == *instance);
        self.totals.retain(|instance, _| present(instance));
        let Some(last) = self.observed_at.replace(now) else {
            return;
        };
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / MIX_WINDOW.as_secs_f64()).exp();
        self.prefill_rate += weight * (prefill / elapsed - self.prefill_rate);
        self.decode_rate += weight * (decode / elapsed - self.decode_rate);
        if let Some(share) = self.prefill_share() {
            self.history.push_back(MixSample { at: now, share });
        }
        while self
            .history
            .front()
            .is_some_and(|sample| sample.at + RANGE_WINDOW < now)
        {
            self.history.pop_front();
        }
    }

    fn choose(&self, sights: &[EngineSight]) -> Option<RoleChange> {
        let share = self.prefill_share()?;
        // Work that was refused counts as asked for, but no fleet serves more than its engines.
        let load = (self.prefill_rate + self.decode_rate).min(sights.len() as f64);
        let shares = self.history.iter().map(|sample| sample.share);
        let least = shares.fold(share, f64::min);
        let wanted = (load * least * SPECIALIST_SHARE).floor() as usize;
        let count = |role| sights.iter().filter(|sight| sight.role == role).count();
        let prefill = count(EngineRole::Prefill);
        let role = if count(EngineRole::Decode) > 0 {
            // Mixed engines absorb swings that would strand engines which only generate.
            (EngineRole::Decode, EngineRole::Mixed)
        } else if prefill > wanted + 1 {
            (EngineRole::Prefill, EngineRole::Mixed)
        } else if prefill < wanted {
            (EngineRole::Mixed, EngineRole::Prefill)
        } else {
            return None;
        };
        let (from, to) = role;
        let sight = sights.iter().find(|sight| sight.role == from)?;
        let gain = HORIZON.as_secs_f64() * SPECIALIST_GAIN - sight.change_seconds * GAIN_FACTOR;
        let releases = to == EngineRole::Mixed;
        if gain <= 0.0 && !releases {
            return None;
        }
        let instance = sight.instance.clone();
        Some(RoleChange {
            instance,
            role: to,
            share,
            gain,
        })
    }
}
