//! Backend servers that come, leave, lapse, fall silent and refuse.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BackendChange,
    BackendFleet,
    BackendLoad,
    BackendRecord,
    EngineStage,
    SendOutcome, //
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
        leaving: false,
        cold: Duration::ZERO,
        stage,
        born_ms: None,
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
    let views = fleet.usable(now, &service, stage);
    let names = views.iter().map(|view| view.record.instance.to_string());
    names.collect()
}

fn id(instance: &str) -> InstanceId {
    instance.parse().unwrap()
}

#[test]
fn upsert_leaving() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    let mut leaving = record("i-1", None);
    leaving.leaving = true;
    assert_eq!(fleet.upsert(leaving), Some(BackendChange::Leaving));
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

#[test]
fn upsert_same_instance_started_again() {
    let mut fleet = fleet(&["i-1"], None);
    let mut again = record("i-1", None);
    again.born_ms = Some(1_700_000_000_000);
    assert_eq!(fleet.upsert(again), Some(BackendChange::Restarted));
}

#[test]
fn remove_with_a_calm_store() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert_eq!(
        fleet.remove(now, &id("i-1"), false),
        Some(BackendChange::Gone)
    );
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

#[test]
fn remove_after_a_disturbance_and_back() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert_eq!(
        fleet.remove(now, &id("i-1"), true),
        Some(BackendChange::Doubtful)
    );
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    fleet.upsert(record("i-1", None));
    assert!(fleet.expire(now + Duration::from_secs(10)).is_empty());
}

/// The platform's bound: what is missing two seconds after the store's return is gone.
#[test]
fn expire_what_does_not_come_back() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    fleet.remove(now, &id("i-1"), true);
    assert!(fleet.expire(now + Duration::from_secs(1)).is_empty());
    assert_eq!(fleet.expire(now + Duration::from_secs(2)), [id("i-1")]);
}

#[test]
fn remove_leaving_in_doubt() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1"], None);
    let mut leaving = record("i-1", None);
    leaving.leaving = true;
    fleet.upsert(leaving);
    assert_eq!(
        fleet.remove(now, &id("i-1"), true),
        Some(BackendChange::Gone)
    );
}

#[test]
fn replace_drops_what_the_list_lacks() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    let changes = fleet.replace(now, vec![record("i-2", None), record("i-3", None)], false);
    let expected = [
        (id("i-3"), BackendChange::Joined),
        (id("i-1"), BackendChange::Gone),
    ];
    assert_eq!(changes, expected);
}

/// A stage change: the list shows the old stage, idle, while the engine refuses all work.
#[test]
fn usable_without_an_engine_that_refuses() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1", "i-2"], stage);
    assert!(fleet.note(now, &id("i-1"), SendOutcome::Refused));
    assert_eq!(usable(&fleet, now, stage), ["i-2"]);
    let later = now + Duration::from_secs(5);
    assert_eq!(usable(&fleet, later, stage), ["i-1", "i-2"]);
}

#[test]
fn usable_all_when_all_are_paused() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    for instance in ["i-1", "i-2"] {
        fleet.note(now, &id(instance), SendOutcome::Unreached);
    }
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
}

#[test]
fn usable_again_after_an_answer() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    fleet.note(now, &id("i-1"), SendOutcome::Unreached);
    fleet.note(now, &id("i-1"), SendOutcome::Served);
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
}

/// One connection may break with a single request; two in a row say something of the engine.
#[test]
fn note_connections_that_break() {
    let now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    assert!(!fleet.note(now, &id("i-1"), SendOutcome::Broken));
    assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    assert!(fleet.note(now, &id("i-1"), SendOutcome::Broken));
    assert_eq!(usable(&fleet, now, None), ["i-2"]);
}

/// However long an engine has failed, real work probes it every four seconds.
#[test]
fn note_engine_that_fails_for_long() {
    let mut now = Instant::now();
    let mut fleet = fleet(&["i-1", "i-2"], None);
    for _ in 0..40 {
        fleet.note(now, &id("i-1"), SendOutcome::Broken);
        now += Duration::from_secs(4);
        assert_eq!(usable(&fleet, now, None), ["i-1", "i-2"]);
    }
}

/// An engine that went dark: its connections stand, and nothing comes.
#[test]
fn usable_without_a_silent_engine() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1", "i-2"], stage);
    fleet.get_mut(&id("i-1")).unwrap().begin(now, LOAD);
    let soon = now + Duration::from_millis(300);
    assert_eq!(usable(&fleet, soon, stage), ["i-1", "i-2"]);
    let later = now + Duration::from_secs(1);
    assert_eq!(usable(&fleet, later, stage), ["i-2"]);
    fleet.get_mut(&id("i-1")).unwrap().hear(later);
    assert_eq!(usable(&fleet, later, stage), ["i-1", "i-2"]);
}

#[test]
fn usable_idle_engine_is_not_silent() {
    let now = Instant::now();
    let stage = Some(EngineStage::Decode);
    let mut fleet = fleet(&["i-1"], stage);
    let view = fleet.get_mut(&id("i-1")).unwrap();
    view.begin(now, LOAD);
    view.own_load.subtract(LOAD);
    assert!(!view.is_silent(now + Duration::from_secs(60)));
}
