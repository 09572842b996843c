//! The fleet's capacity, measured by saturating it at three mixes.

use policy::CostModel;

use crate::policy_spec::PolicySpec;
use crate::workload::generate_workload;
use crate::{
    Scenario,
    SiteModel,
    run_policy, //
};

const SHARES: [f64; 3] = [0.13, 0.26, 0.39];
/// Work asked for during the measurement, as a multiple of the fleet's nominal work.
const SATURATION: f64 = 2.0;
const MEASURE_SECONDS: f64 = 60.0;
const CAPACITY_SEED: u64 = 1;

/// Work that the fleet completes in a second, by the share of prefill.
#[derive(Debug, Clone)]
pub struct CapacityCurve {
    rates: [f64; 3],
}

impl CapacityCurve {
    /// Saturates the fleet with mixed engines at three mixes, with targets too far to matter.
    pub fn measure(site: &SiteModel) -> Self {
        let mut patient = site.clone();
        for class in &mut patient.classes {
            class.start = std::time::Duration::from_secs(36_000);
        }
        let nominal = Self {
            rates: [site.engines as f64; 3],
        };
        let cost = CostModel::from_profile(&site.profile);
        let rates = SHARES.map(|share| {
            let mut scenario = Scenario::saturation(share);
            scenario.seconds = MEASURE_SECONDS;
            let load = SATURATION;
            let workload = generate_workload(&patient, &scenario, &nominal, load, CAPACITY_SEED);
            let policy = PolicySpec::saturating();
            let metrics = run_policy(&patient, &scenario, &workload, &policy, CAPACITY_SEED);
            metrics.completed_work(&workload, &cost) / MEASURE_SECONDS
        });
        Self { rates }
    }

    /// Work in engine seconds that the fleet completes in a second.
    pub fn work_rate(&self, share: f64) -> f64 {
        let [low, middle, high] = self.rates;
        let (from, to, base) = if share < SHARES[1] {
            (low, middle, SHARES[0])
        } else {
            (middle, high, SHARES[1])
        };
        let part = ((share - base) / (SHARES[1] - SHARES[0])).clamp(0.0, 1.0);
        from + (to - from) * part
    }
}
