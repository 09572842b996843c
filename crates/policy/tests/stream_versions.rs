//! Selection of engines for a stream that has begun at one software version.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use policy::{
    AttemptOutcome,
    BackendFleet,
    BackendRecord,
    EngineCapacity,
    EngineStage,
    PromptLayout,
    SelectionRequest,
    VersionRule,
    select_decode_engine, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    SoftwareVersion, //
};

const CAPACITY: EngineCapacity = EngineCapacity {
    prefill_tokens_per_ms: 50.0,
    inline_tokens_per_ms: 25.0,
    kv_cache_tokens: 500_000,
};

fn record(instance: &str, version: Option<&str>) -> BackendRecord {
    BackendRecord {
        instance: instance.parse().unwrap(),
        service: "assist".parse().unwrap(),
        address: "10.1.0.1:8080".parse().unwrap(),
        centre: "a".parse().unwrap(),
        slots: 64,
        draining: false,
        cold_time: Duration::ZERO,
        stage: Some(EngineStage::Decode),
        started_unix_ms: None,
        version: version.map(|version| version.parse().unwrap()),
    }
}

fn fleet(engines: &[(&str, Option<&str>)]) -> BackendFleet {
    let mut fleet = BackendFleet::default();
    for (instance, version) in engines {
        fleet.upsert(record(instance, *version));
    }
    fleet
}

fn select(fleet: &BackendFleet, version: &VersionRule, excluded: &[&str]) -> Option<String> {
    let excluded: BTreeSet<InstanceId> = excluded.iter().map(|i| i.parse().unwrap()).collect();
    let request = SelectionRequest {
        service: &"assist".parse().unwrap(),
        centre: &"a".parse().unwrap(),
        excluded: &excluded,
        version,
        preferred_version: None,
    };
    let layout: PromptLayout = "5c1e07a2:40,e4402b7d:50".parse().unwrap();
    let now = Instant::now();
    let selection = select_decode_engine(fleet, now, request, &layout, CAPACITY, None)?;
    Some(selection.instance.to_string())
}

fn only(version: &str) -> VersionRule {
    let version: SoftwareVersion = version.parse().unwrap();
    VersionRule::begun_by(Some(&version))
}

/// Guards against a stream that goes on at another version, or at an engine that states none.
#[test]
fn select_decode_engine_version_required() {
    let fleet = fleet(&[("e-1", Some("v1")), ("e-2", Some("v2")), ("e-3", None)]);
    assert_eq!(select(&fleet, &only("v2"), &[]), Some("e-2".into()));
    assert_eq!(select(&fleet, &only("v2"), &["e-2"]), None);
    assert_eq!(select(&fleet, &only("v3"), &[]), None);
    assert_eq!(select(&fleet, &VersionRule::Unmatched, &[]), None);
    assert!(select(&fleet, &VersionRule::Any, &[]).is_some());
}

/// Guards against a stream that breaks off since the only engine left for it is paused, while others
/// that may not take it are not.
#[test]
fn select_decode_engine_only_paused_left() {
    let mut fleet = fleet(&[
        ("e-1", Some("v1")),
        ("e-2", Some("v1")),
        ("e-3", Some("v2")),
    ]);
    let paused: InstanceId = "e-1".parse().unwrap();
    for _ in 0..3 {
        fleet.record_outcome(Instant::now(), &paused, AttemptOutcome::ConnectionBroken);
    }
    assert_eq!(select(&fleet, &only("v1"), &[]), Some("e-2".into()));
    assert_eq!(select(&fleet, &only("v1"), &["e-2"]), Some("e-1".into()));
    assert_eq!(
        select(&fleet, &VersionRule::Any, &["e-2"]),
        Some("e-3".into())
    );
}

/// Guards against an entry that comes back under its id with another version and counts as the process
/// that was known.
#[test]
fn upsert_other_version() {
    let mut fleet = fleet(&[("e-1", Some("v1"))]);
    let change = fleet.upsert(record("e-1", Some("v2")));
    assert_eq!(change, Some(policy::BackendChange::Restarted));
    assert_eq!(select(&fleet, &only("v1"), &[]), None);
}
