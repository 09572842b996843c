//! Capacity of all engines, measured by saturating them at three mixes of prefill and decode.

use policy::CostModel;

use crate::policy_spec::PolicySpec;
use crate::workload::generate_workload;
use crate::{
    Scenario,
    SiteModel,
    run_policy, //
};

/// Prefill shares at which capacity is measured.
const PREFILL_SHARES: [f64; 3] = [0.13, 0.26, 0.39];
/// Load offered during the measurement, as a multiple of the nominal capacity, which is one second
/// of engine time per second for each engine.
const SATURATION_LOAD: f64 = 2.0;
const MEASUREMENT_SECONDS: f64 = 60.0;
const CAPACITY_SEED: u64 = 1;

/// Work that all engines complete per second, as a function of the prefill share.
#[derive(Debug, Clone)]
pub struct CapacityCurve {
    rates: [f64; 3],
}

impl CapacityCurve {
    /// Measures the work rate of engines in the mixed role under saturation, at each of the prefill
    /// shares, with first-token targets too long to be missed.
    pub fn measure(site: &SiteModel) -> Self {
        let mut relaxed_site = site.clone();
        for class in &mut relaxed_site.classes {
            class.first_token_target = std::time::Duration::from_secs(36_000);
        }
        let nominal = Self {
            rates: [site.engine_count as f64; 3],
        };
        let cost_model = CostModel::from_profile(&site.profile);
        let rates = PREFILL_SHARES.map(|prefill_share| {
            let mut scenario = Scenario::saturation(prefill_share);
            scenario.traffic_seconds = MEASUREMENT_SECONDS;
            let load = SATURATION_LOAD;
            let workload =
                generate_workload(&relaxed_site, &scenario, &nominal, load, CAPACITY_SEED);
            let policy = PolicySpec::saturating();
            let metrics = run_policy(&relaxed_site, &scenario, &workload, &policy, CAPACITY_SEED);
            metrics.completed_work(&workload, &cost_model) / MEASUREMENT_SECONDS
        });
        Self { rates }
    }

    /// Returns the work in engine seconds that all engines complete per second, interpolated
    /// between the measured prefill shares.
    pub fn work_rate(&self, prefill_share: f64) -> f64 {
        let [low, middle, high] = self.rates;
        let (from, to, base) = if prefill_share < PREFILL_SHARES[1] {
            (low, middle, PREFILL_SHARES[0])
        } else {
            (middle, high, PREFILL_SHARES[1])
        };
        let fraction =
            ((prefill_share - base) / (PREFILL_SHARES[1] - PREFILL_SHARES[0])).clamp(0.0, 1.0);
        from + (to - from) * fraction
    }
}
