//! Evidence on crash suspects in the load reports that gateways exchange.

use std::time::Duration;

use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectEvidence, //
};
use tokio::time::Instant;
use units::{
    FingerprintId,
    IncarnationId, //
};
use wire::{
    CrashReport,
    CrashStateCode,
    SuspectReport, //
};

fn age_ms(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// Returns the time that was `age_ms` before `now`, or `now` if the clock does not reach back so far.
pub(crate) fn time_before(now: Instant, age_ms: u64) -> Instant {
    let time = now.checked_sub(Duration::from_millis(age_ms));
    time.unwrap_or(now)
}

pub(crate) fn to_report(now: Instant, evidence: &SuspectEvidence) -> SuspectReport {
    let crashes = evidence.crashes.iter().map(|crash| CrashReport {
        crash: crash.id.0,
        server: crash.server.to_string(),
        incarnation: crash.incarnation.map(|incarnation| incarnation.0),
        age_ms: age_ms(now, crash.at),
        state: match crash.state {
            CrashState::Presumed => CrashStateCode::Presumed,
            CrashState::Confirmed => CrashStateCode::Confirmed,
            CrashState::Outlived => CrashStateCode::Outlived,
        }
        .into(),
    });
    SuspectReport {
        fingerprint: evidence.fingerprint.0,
        crashes: crashes.collect(),
        completed_age_ms: evidence.completed_at.map(|at| age_ms(now, at)),
        trials: evidence.trials,
        trial_age_ms: evidence.trial_at.map(|at| age_ms(now, at)),
    }
}

/// Parses a report. Crashes of servers without a valid name are left out.
pub(crate) fn parse_report(now: Instant, report: &SuspectReport) -> SuspectEvidence {
    let crashes = report.crashes.iter().filter_map(|crash| {
        Some(ServerCrash {
            id: CrashId(crash.crash),
            server: crash.server.parse().ok()?,
            incarnation: crash.incarnation.map(IncarnationId),
            at: time_before(now, crash.age_ms),
            state: match crash.state() {
                CrashStateCode::Presumed => CrashState::Presumed,
                CrashStateCode::Confirmed => CrashState::Confirmed,
                CrashStateCode::Outlived => CrashState::Outlived,
            },
        })
    });
    SuspectEvidence {
        fingerprint: FingerprintId(report.fingerprint),
        crashes: crashes.collect(),
        completed_at: report.completed_age_ms.map(|age| time_before(now, age)),
        trials: report.trials,
        trial_at: report.trial_age_ms.map(|age| time_before(now, age)),
    }
}
