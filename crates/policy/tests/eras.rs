//! Planner epochs, the planner lease and backend servers when the store comes back from an earlier
//! copy.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BackendChange,
    BackendFleet,
    BackendRecord,
    BootTime,
    OrderLease,
    StoreHealth,
    apply_restored_entries,
    planner_epoch, //
};
use tokio::time::Instant;
use units::{
    EpochNumber,
    StoreEra, //
};

const LIFETIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_millis(100);
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;

fn at(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(millis))
}

fn era(number: u64) -> Option<StoreEra> {
    Some(StoreEra(number))
}

fn record(instance: &str) -> BackendRecord {
    BackendRecord {
        instance: instance.parse().unwrap(),
        service: "shop".parse().unwrap(),
        address: "10.1.0.1:8080".parse().unwrap(),
        centre: "a".parse().unwrap(),
        slots: 8,
        draining: false,
        cold_time: Duration::ZERO,
        stage: None,
        started_unix_ms: Some(STARTED_UNIX_MS),
        version: None,
    }
}

fn draining(instance: &str) -> BackendRecord {
    BackendRecord {
        draining: true,
        ..record(instance)
    }
}

fn fleet(records: Vec<BackendRecord>) -> BackendFleet {
    let mut fleet = BackendFleet::default();
    for record in records {
        fleet.upsert(record);
    }
    fleet
}

/// Guards against a fencing token that goes back with the store's revisions.
#[test]
fn planner_epoch_rises_with_era() {
    let epochs = [
        planner_epoch(None, 900),
        planner_epoch(era(0), 901),
        planner_epoch(era(1), 1),
        planner_epoch(era(1), 900),
        planner_epoch(era(2), 1),
        planner_epoch(era(3), 0),
    ];
    assert!(epochs.iter().all(Option::is_some));
    assert!(epochs.is_sorted_by(|a, b| a < b), "{epochs:?}");
}

/// The epochs of gateways which do not know of eras are the revisions alone.
#[test]
fn planner_epoch_unknown_era() {
    assert_eq!(planner_epoch(None, 41), Some(EpochNumber(41)));
}

#[test]
fn planner_epoch_too_large() {
    assert_eq!(planner_epoch(era(1), 1 << 40), None);
    assert_eq!(planner_epoch(era(1 << 24), 1), None);
}

/// Guards against orders while a holder that does not know of the new era may still send some.
#[test]
fn epoch_waits_for_earlier_holder() {
    let mut lease = OrderLease::new(LIFETIME, SETTLE_TIME);
    lease.record_acquired(at(0), EpochNumber(1));
    lease.record_leases_lost(at(1_000));
    assert_eq!(lease.epoch(at(1_500)), None);
    assert!(!lease.is_held());
    lease.record_acquired(at(1_200), EpochNumber(2));
    lease.record_renewed(at(4_000));
    assert_eq!(lease.epoch(at(4_999)), None);
    assert_eq!(lease.epoch(at(5_000)), Some(EpochNumber(2)));
}

#[test]
fn outdated_until_servers_have_written() {
    let now = Instant::now();
    let mut health = StoreHealth::default();
    assert_eq!(health.outdated_until(), None);
    health.record_restored(now);
    let until = health.outdated_until().unwrap();
    assert!(until >= now + Duration::from_secs(2));
    assert!(health.entries_may_return(now));
    assert!(!health.entries_may_return(until));
}

#[test]
fn apply_restored_missing_entry() {
    let now = Instant::now();
    let mut fleet = fleet(vec![record("i-1"), record("i-2")]);
    let changes = apply_restored_entries(&mut fleet, now, vec![record("i-1")]);
    let missing = ("i-2".parse().unwrap(), BackendChange::EntryMissing);
    assert_eq!(changes, [missing]);
    assert_eq!(fleet.views().count(), 2);
}

#[test]
fn apply_restored_unknown_entry() {
    let now = Instant::now();
    let mut known = fleet(vec![record("i-1")]);
    let entries = vec![record("i-1"), record("i-2")];
    assert_eq!(apply_restored_entries(&mut known, now, entries.clone()), []);
    let mut unused = BackendFleet::default();
    let changes = apply_restored_entries(&mut unused, now, entries);
    assert_eq!(changes.len(), 2, "a new gateway knows no better");
}

#[test]
fn apply_restored_draining() {
    let now = Instant::now();
    let mut fleet = fleet(vec![draining("i-1"), record("i-2")]);
    let entries = vec![record("i-1"), draining("i-2")];
    let changes = apply_restored_entries(&mut fleet, now, entries);
    let drained = ("i-2".parse().unwrap(), BackendChange::Draining);
    assert_eq!(changes, [drained]);
    assert!(fleet.views().all(|view| view.record.draining));
}

#[test]
fn apply_restored_earlier_run() {
    let now = Instant::now();
    let mut fleet = fleet(vec![record("i-1")]);
    let earlier = BackendRecord {
        started_unix_ms: Some(STARTED_UNIX_MS - 1),
        ..draining("i-1")
    };
    assert_eq!(apply_restored_entries(&mut fleet, now, vec![earlier]), []);
    assert!(fleet.views().all(|view| !view.record.draining));
}
