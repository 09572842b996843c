//! Speeds of engines in the load reports to the peers.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::SpeedSample;
use tokio::time::Instant;
use wire::SpeedReport;

use crate::load_exchange::backend_hash;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Maximum number of engines in one load report.
const MAX_REPORTED_SPEEDS: usize = 32;
/// Age from which a sample says nothing of the engine's present speed.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Returns the speeds for a load report.
pub(crate) fn speed_reports(now: Instant, state: &mut GatewayState) -> Vec<SpeedReport> {
    let engines = state
        .fleet
        .views_mut()
        .filter(|view| view.record.stage.is_some());
    let reports = engines.filter_map(|view| {
        let sample = view.take_speed_report(now)?;
        let age = now.saturating_duration_since(sample.at);
        Some(SpeedReport {
            backend: backend_hash(&view.record.instance),
            token_ns: (sample.ms_per_token * 1_000_000.0) as u32,
            age_ms: age.as_millis().try_into().unwrap_or(u32::MAX),
            is_running: sample.is_running,
        })
    });
    reports.take(MAX_REPORTED_SPEEDS).collect()
}

/// Merges the speeds that a peer has reported.
pub(crate) fn merge_speed_reports(shared: &GatewayShared, now: Instant, reports: &[SpeedReport]) {
    let samples = reports.iter().take(MAX_REPORTED_SPEEDS);
    let samples = samples.filter_map(|report| {
        let age = Duration::from_millis(report.age_ms.into());
        let at = now.checked_sub(age).filter(|_| age <= MAX_AGE)?;
        let sample = SpeedSample {
            at,
            ms_per_token: f64::from(report.token_ns) / 1_000_000.0,
            is_running: report.is_running,
        };
        Some((report.backend, sample))
    });
    let samples: BTreeMap<u32, SpeedSample> = samples.collect();
    if samples.is_empty() {
        return;
    }
    let mut state = shared.lock();
    for view in state.fleet.views_mut() {
        if let Some(sample) = samples.get(&backend_hash(&view.record.instance)) {
            view.speed.add_sample(*sample);
        }
    }
}
