//! The fleet's capacity, measured by saturating it at three mixes.

use policy::CostModel;

use crate::policy_spec::PolicySpec;
use crate::workload::generate_workload;
use crate::{
    Scenario,
    SiteModel,
    run_policy, //
};

const PREFILL_SHARES: [f64; 3] = [0.13, 0.26, 0.39];
/// Work asked for during the measurement, as a multiple of the fleet's nominal work.
const SATURATION_LOAD: f64 = 2.0;
const MEASUREMENT_SECONDS: f64 = 60.0;
const CAPACITY_SEED: u64 = 1;

/// Work that the fleet completes in a second, by the share of prefill.
#[derive(Debug, Clone)]
pub struct CapacityCurve {
    rates: [f64; 3],
}

impl CapacityCurve {
    /// Saturates the fleet with mixed engines at three mixes, with targets too far to matter.
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

    /// Work in engine seconds that the fleet completes in a second.
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
