//! Registry changes, pauses and liveness of backend servers.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use policy::{
    AttemptOutcome,
    BackendChange,
    BackendFleet,
    BackendLoad,
    BackendRecord,
    EngineStage,
    ServerFilter,
    StoreHealth,
    VersionRule, //
};
use tokio::time::Instant;
use units::InstanceId;

const LOAD: BackendLoad = BackendLoad {
    requests: 1,
    ..EMPTY
};
const EMPTY: BackendLoad = BackendLoad::NONE;

fn record(instance: &str, stage: Option<EngineStage>) -> BackendRecord {
    BackendRecord {
        instance: instance.parse().unwrap(),
        service: "assist".parse().unwrap(),
        address: "10.1.0.1:8080".parse().unwrap(),
        centre: "a".parse().unwrap(),
        slots: 8,
        draining: false,
        cold_time: Duration::ZERO,
        stage,
        started_unix_ms: None,
        version: None,
    }
}

fn fleet(instances: &[&str], stage: Option<EngineStage>) -> BackendFleet {
    let mut fleet = BackendFleet::default();
    for instance in instances {
        fleet.upsert(record(instance, stage));
    }
    fleet
}

fn usable(fleet: &BackendFleet, now: Instant, stage: Option<EngineStage>) -> Vec<String> {
    let service = "assist".parse().unwrap();
    let filter = ServerFilter {
        service: &service,
        stage,
        version: &VersionRule::Any,
        excluded: &BTreeSet::new(),
    };
    let views = fleet.usable(now, filter);
    let names = views.iter().map(|view| view.record.instance.to_string());
    names.collect()
}

fn id(instance: &str) -> InstanceId {
    instance.parse().unwrap()
}

#[test]
fn upsert_draining() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    let mut draining = record("i-1", None);
    draining.draining = true;
    assert_eq!(fleet.upsert(draining), Some(BackendChange::Draining));
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

#[test]
fn upsert_restarted() {
    let mut fleet = fleet(&["i-1"], None);
    let mut restarted = record("i-1", None);
    restarted.started_unix_ms = Some(1_700_000_000_000);
    assert_eq!(fleet.upsert(restarted), Some(BackendChange::Restarted));
}

#[test]
fn remove_undisturbed_store() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert_eq!(
        fleet.remove(now, &id("i-1"), false),
        Some(BackendChange::Gone)
    );
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

/// Guards against requests to a server that leaves while it rests.
#[test]
fn is_resting_draining() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1"], None);
    let view = fleet.get_mut(&id("i-1")).unwrap();
    view.rest.observe(now, now, Duration::from_secs(2), 0);
    assert!(fleet.is_resting(now, &id("i-1")));
    let mut draining = record("i-1", None);
    draining.draining = true;
    fleet.upsert(draining);
    assert!(fleet.is_resting(now, &id("i-1")));
    assert!(!fleet.is_resting(now + Duration::from_secs(2), &id("i-1")));
}

#[test]
fn remove_disturbed_store_entry_returns() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert_eq!(
        fleet.remove(now, &id("i-1"), true),
        Some(BackendChange::EntryMissing)
    );
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    fleet.upsert(record("i-1", None));
    assert!(fleet.expire(now + Duration::from_secs(10), true).is_empty());
}

/// Guards against an entry that vanished well after the store's return and is kept for as long as if
/// it had vanished in the outage.
#[test]
fn expire_entry_missing_after_outage() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut health = StoreHealth::default();
    assert!(!health.entries_may_return(at(0)));
    assert!(health.record_failure(at(0), at(0)));
    assert!(health.record_success(at(5_000)));
    // A call sent in the outage times out after it.
    assert!(!health.record_failure(at(6_000), at(4_800)));
    assert!(health.entries_may_return(at(6_300)));
    let mut fleet = fleet(&["i-1", "i-2"], None);
    fleet.remove(at(6_300), &id("i-1"), true);
    let expired = fleet.expire(at(7_100), health.has_restored_entries(at(7_100)));
    assert!(expired.is_empty());
    let expired = fleet.expire(at(7_200), health.has_restored_entries(at(7_200)));
    assert_eq!(expired, [id("i-1")]);
    assert!(!health.entries_may_return(at(7_200)));
}

/// The platform restores missing entries of live backend servers within two seconds of the store's
/// recovery; those that are still missing must be removed.
#[test]
fn expire_missing_entry() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    fleet.remove(now, &id("i-1"), true);
    assert!(fleet.expire(now + Duration::from_secs(1), false).is_empty());
    assert_eq!(
        fleet.expire(now + Duration::from_secs(2), false),
        [id("i-1")]
    );
}

#[test]
fn remove_disturbed_store_draining() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1"], None);
    let mut draining = record("i-1", None);
    draining.draining = true;
    fleet.upsert(draining);
    assert_eq!(
        fleet.remove(now, &id("i-1"), true),
        Some(BackendChange::Gone)
    );
}

#[test]
fn replace_removes_unlisted() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    let changes = fleet.replace(now, vec![record("i-2", None), record("i-3", None)], false);
    let expected = [
        (id("i-3"), BackendChange::Joined),
        (id("i-1"), BackendChange::Gone),
    ];
    assert_eq!(changes, expected);
}

/// During a stage change, the registry still shows the old stage and the engine seems idle, but the
/// engine refuses all requests. It must be paused after the first refusal.
#[test]
fn usable_refusing_engine() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1", "i-2"], stage);
    assert!(fleet.record_outcome(now, &id("i-1"), AttemptOutcome::Refused));
    assert_eq!(usable(&fleet, now, stage), ["i-2"]);
    let later = now + Duration::from_secs(5);
    assert_eq!(usable(&fleet, later, stage), ["i-1", "i-2"]);
}

#[test]
fn usable_all_paused() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    for instance in ["i-1", "i-2"] {
        fleet.record_outcome(now, &id(instance), AttemptOutcome::Unreachable);
    }
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
}

#[test]
fn usable_after_success() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    fleet.record_outcome(now, &id("i-1"), AttemptOutcome::Unreachable);
    fleet.record_outcome(now, &id("i-1"), AttemptOutcome::Success);
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
}

/// A single request can break one connection; only two consecutive broken connections pause the
/// engine.
#[test]
fn record_outcome_broken_connections() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert!(!fleet.record_outcome(now, &id("i-1"), AttemptOutcome::ConnectionBroken));
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    assert!(fleet.record_outcome(now, &id("i-1"), AttemptOutcome::ConnectionBroken));
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

/// The pause of an engine is limited to four seconds, however long the engine has failed, so that
/// regular requests keep probing it.
#[test]
fn record_outcome_long_failure() {
    let mut now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    for _ in 0..40 {
        fleet.record_outcome(now, &id("i-1"), AttemptOutcome::ConnectionBroken);
        now += Duration::from_secs(4);
        assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    }
}

/// An engine can stop responding while its connections stay open. It must get no new requests until
/// its next liveness signal.
#[test]
fn usable_unresponsive_engine() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1", "i-2"], stage);
    fleet.get_mut(&id("i-1")).unwrap().record_send(now, LOAD);
    let soon = now + Duration::from_millis(300);
    assert_eq!(usable(&fleet, soon, stage), ["i-1", "i-2"]);
    let later = now + Duration::from_secs(1);
    assert_eq!(usable(&fleet, later, stage), ["i-2"]);
    fleet.get_mut(&id("i-1")).unwrap().record_liveness(later);
    assert_eq!(usable(&fleet, later, stage), ["i-1", "i-2"]);
}

#[test]
fn is_unresponsive_idle_engine() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1"], stage);
    let view = fleet.get_mut(&id("i-1")).unwrap();
    view.record_send(now, LOAD);
    view.own_load.subtract(LOAD);
    assert!(!view.is_unresponsive(now + Duration::from_secs(60)));
}
