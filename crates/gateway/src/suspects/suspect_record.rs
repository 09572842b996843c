//! Records of crash suspects in the platform's store, which outlive all gateways.

use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectEvidence, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    IncarnationId,
    InstanceId, //
    SuspectId,
};

use crate::clock::ClockReading;

/// Prefix of the records. The suspect follows: the fingerprint of a request, or the id of a segment.
pub(crate) const SUSPECT_PREFIX: &str = "galenarail/suspects/";

/// State of a crash by its name in a record.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateName {
    Presumed,
    Confirmed,
    Outlived,
}

#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct CrashDocument {
    crash: u64,
    server: InstanceId,
    incarnation: Option<u64>,
    at_unix_ms: u64,
    state: StateName,
}

#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct SuspectDocument {
    crashes: Vec<CrashDocument>,
    completed_unix_ms: Option<u64>,
    trials: u32,
    trial_unix_ms: Option<u64>,
}

/// Returns the store key of a suspect.
pub(crate) fn suspect_key(suspect: SuspectId) -> String {
    format!("{SUSPECT_PREFIX}{suspect}")
}

/// Returns the suspect that a store key belongs to.
pub(crate) fn parse_suspect_key(key: &str) -> Option<SuspectId> {
    key.strip_prefix(SUSPECT_PREFIX)?.parse().ok()
}

/// Returns the record of a suspect as JSON.
pub(crate) fn to_record(clock: ClockReading, evidence: &SuspectEvidence) -> Vec<u8> {
    let crashes = evidence.crashes.iter().map(|crash| CrashDocument {
        crash: crash.id.0,
        server: crash.server.clone(),
        incarnation: crash.incarnation.map(|incarnation| incarnation.0),
        at_unix_ms: clock.to_unix_ms(crash.at),
        state: match crash.state {
            CrashState::Presumed => StateName::Presumed,
            CrashState::Confirmed => StateName::Confirmed,
            CrashState::Outlived => StateName::Outlived,
        },
    });
    let document = SuspectDocument {
        crashes: crashes.collect(),
        completed_unix_ms: evidence.completed_at.map(|at| clock.to_unix_ms(at)),
        trials: evidence.trials,
        trial_unix_ms: evidence.trial_at.map(|at| clock.to_unix_ms(at)),
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// Parses the record of a suspect.
pub(crate) fn parse_record(
    clock: ClockReading,
    suspect: SuspectId,
    value: &[u8],
) -> Result<SuspectEvidence, serde_json::Error> {
    let document: SuspectDocument = serde_json::from_slice(value)?;
    let crashes = document.crashes.into_iter().map(|crash| ServerCrash {
        id: CrashId(crash.crash),
        server: crash.server,
        incarnation: crash.incarnation.map(IncarnationId),
        at: clock.parse_unix_ms(crash.at_unix_ms),
        state: match crash.state {
            StateName::Presumed => CrashState::Presumed,
            StateName::Confirmed => CrashState::Confirmed,
            StateName::Outlived => CrashState::Outlived,
        },
    });
    let to_time = |unix_ms: Option<u64>| unix_ms.map(|unix_ms| clock.parse_unix_ms(unix_ms));
    Ok(SuspectEvidence {
        suspect,
        crashes: crashes.collect(),
        completed_at: to_time(document.completed_unix_ms),
        trials: document.trials,
        trial_at: to_time(document.trial_unix_ms),
    })
}
