//! Scenarios: traffic and faults of a simulation.

use crate::MeasureError;

/// Scenario with its parameters.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Seconds during which requests arrive.
    pub traffic_seconds: f64,
    /// Seconds simulated after the last arrival, in which answers can be completed.
    pub(crate) tail_seconds: f64,
    /// Share of prefill in the offered work unless the mix varies.
    pub(crate) mean_prefill_share: f64,
    /// Whether the share of prefill varies over time.
    pub(crate) mix_varies: bool,
    /// Load that each rank offers during the flood, as a multiple of the capacity; a rank with 1
    /// keeps its usual load.
    pub(crate) flood_load: [f64; 3],
    /// Number of engine crashes, evenly spaced over the traffic.
    pub(crate) crash_count: usize,
    /// Number of engine drains, evenly spaced over the traffic.
    pub(crate) drain_count: usize,
    /// Whether the store is unavailable during the middle half of the traffic.
    pub(crate) store_outage: bool,
    /// Maximum additional delay of load reports, in seconds.
    pub(crate) max_report_lag_seconds: f64,
    /// Probability per second that an engine loses its prefix cache.
    pub(crate) cache_loss_probability: f64,
    /// Number of requests that crash their engine.
    pub(crate) poison_count: usize,
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

    /// Returns the scenario with a name.
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
            traffic_seconds: 240.0,
            tail_seconds: 120.0,
            mean_prefill_share: MEAN_PREFILL_SHARE,
            mix_varies: false,
            flood_load: [1.0; 3],
            crash_count: 0,
            drain_count: 0,
            store_outage: false,
            max_report_lag_seconds: 0.0,
            cache_loss_probability: 0.0,
            poison_count: 0,
        };
        match name {
            "shift" => {
                scenario.mix_varies = true;
                scenario.traffic_seconds = 480.0;
            }
            "flood-patient" => scenario.flood_load = [1.0, 1.0, 4.0],
            "flood-urgent" => scenario.flood_load = [4.0, 1.0, 1.0],
            "flood-both" => scenario.flood_load = [4.0, 1.0, 4.0],
            "drain" => scenario.drain_count = 4,
            "crash" => scenario.crash_count = 4,
            "store-outage" => {
                scenario.mix_varies = true;
                scenario.store_outage = true;
            }
            "stale-load" => scenario.max_report_lag_seconds = 5.0,
            "cache-gaps" => scenario.cache_loss_probability = 0.1,
            "poison" => scenario.poison_count = 3,
            _ => {}
        }
        Ok(scenario)
    }

    /// Returns steady traffic with a fixed share of prefill that is cut off after the last arrival.
    pub(crate) fn saturation(prefill_share: f64) -> Self {
        let steady = Self::by_name("steady").ok();
        let Some(mut scenario) = steady else {
            unreachable!("the name is one of the list");
        };
        scenario.mean_prefill_share = prefill_share;
        scenario.tail_seconds = 0.0;
        scenario
    }

    /// Returns the share of prefill in the offered work at a time. If the mix varies, the share
    /// alternates between 13% and 39% every two minutes.
    pub(crate) fn prefill_share(&self, at_seconds: f64) -> f64 {
        if !self.mix_varies {
            return self.mean_prefill_share;
        }
        let phase = (at_seconds / MIX_PERIOD_SECONDS).fract();
        // A steep rise, a plateau, a steep fall and a plateau, as at the start and end of a work
        // shift.
        let level = match phase {
            p if p < 0.1 => p / 0.1,
            p if p < 0.5 => 1.0,
            p if p < 0.6 => 1.0 - (p - 0.5) / 0.1,
            _ => 0.0,
        };
        MIN_PREFILL_SHARE + level * (MAX_PREFILL_SHARE - MIN_PREFILL_SHARE)
    }

    /// Returns whether a time is in the middle half of the traffic, when floods and store outages
    /// occur.
    pub(crate) fn in_flood(&self, at_seconds: f64) -> bool {
        at_seconds >= self.traffic_seconds * 0.25 && at_seconds < self.traffic_seconds * 0.75
    }
}

/// Share of prefill in the offered work while the mix does not vary.
const MEAN_PREFILL_SHARE: f64 = 0.26;
/// Lowest share of prefill when the mix varies.
const MIN_PREFILL_SHARE: f64 = 0.13;
/// Highest share of prefill when the mix varies.
const MAX_PREFILL_SHARE: f64 = 0.39;
/// Period of the mix when it varies.
const MIX_PERIOD_SECONDS: f64 = 240.0;
