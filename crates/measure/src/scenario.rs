//! What happens during a run.

use crate::MeasureError;

/// A scenario with its parameters.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Seconds of traffic.
    pub seconds: f64,
    /// Seconds after the last arrival for answers to end.
    pub(crate) tail_seconds: f64,
    /// Share of prefill while it does not swing.
    pub(crate) middle_share: f64,
    /// Whether the share of prefill swings.
    pub(crate) swings: bool,
    /// Factor on the arrivals of each rank during the flood.
    pub(crate) flood: [f64; 3],
    /// Engines that crash, and whether in the middle of a role change.
    pub(crate) crashes: usize,
    /// Engines drained one after the other.
    pub(crate) drains: usize,
    /// Whether the store is away for the middle half.
    pub(crate) store_outage: bool,
    /// Seconds by which reports are late, at most.
    pub(crate) report_lag: f64,
    /// Share of the prefix caches that are lost each second.
    pub(crate) cache_loss: f64,
    /// Requests that crash their engine.
    pub(crate) poison: usize,
}

impl Scenario {
    /// Names of all scenarios.
    pub const NAMES: [&'static str; 11] = [
        "shift",
        "steady",
        "flood-patient",
        "flood-urgent",
        "flood-both",
        "drain",
        "crash",
        "store-outage",
        "stale-load",
        "cache-gaps",
        "poison",
    ];

    /// The scenario with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let known = Self::NAMES.into_iter().find(|known| *known == name);
        let Some(name) = known else {
            let name = name.to_owned();
            return Err(MeasureError::UnknownName {
                kind: "scenario",
                name,
            });
        };
        let mut scenario = Self {
            name,
            seconds: 240.0,
            tail_seconds: 120.0,
            middle_share: MIDDLE_SHARE,
            swings: false,
            flood: [1.0; 3],
            crashes: 0,
            drains: 0,
            store_outage: false,
            report_lag: 0.0,
            cache_loss: 0.0,
            poison: 0,
        };
        match name {
            "shift" => {
                scenario.swings = true;
                scenario.seconds = 480.0;
            }
            "flood-patient" => scenario.flood = [1.0, 1.0, 4.0],
            "flood-urgent" => scenario.flood = [4.0, 1.0, 1.0],
            "flood-both" => scenario.flood = [4.0, 1.0, 4.0],
            "drain" => scenario.drains = 4,
            "crash" => scenario.crashes = 4,
            "store-outage" => {
                scenario.swings = true;
                scenario.store_outage = true;
            }
            "stale-load" => scenario.report_lag = 5.0,
            "cache-gaps" => scenario.cache_loss = 0.1,
            "poison" => scenario.poison = 3,
            _ => {}
        }
        Ok(scenario)
    }

    /// Steady traffic at a share of prefill, cut off at its end.
    pub(crate) fn saturation(share: f64) -> Self {
        let steady = Self::by_name("steady").ok();
        let Some(mut scenario) = steady else {
            unreachable!("the name is one of the list");
        };
        scenario.middle_share = share;
        scenario.tail_seconds = 0.0;
        scenario
    }

    /// Share of prefill in the work at a time: between 13% and 39% within two minutes each way.
    pub(crate) fn prefill_share(&self, at: f64) -> f64 {
        if !self.swings {
            return self.middle_share;
        }
        let phase = (at / SWING_SECONDS).fract();
        // A fast rise, a plateau, a fast fall, a plateau, as when a shift of work begins and ends.
        let level = match phase {
            p if p < 0.1 => p / 0.1,
            p if p < 0.5 => 1.0,
            p if p < 0.6 => 1.0 - (p - 0.5) / 0.1,
            _ => 0.0,
        };
        LEAST_SHARE + level * (GREATEST_SHARE - LEAST_SHARE)
    }

    /// Whether a time lies in the flood.
    pub(crate) fn in_flood(&self, at: f64) -> bool {
        at >= self.seconds * 0.25 && at < self.seconds * 0.75
    }
}

const MIDDLE_SHARE: f64 = 0.26;
const LEAST_SHARE: f64 = 0.13;
const GREATEST_SHARE: f64 = 0.39;
/// Seconds of one swing of the mix, up and down.
const SWING_SECONDS: f64 = 240.0;
