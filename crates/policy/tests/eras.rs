//! Planner epochs and the planner lease when the store comes back from an earlier copy.

use std::time::Duration;

use policy::{
    BootTime,
    OrderLease,
    planner_epoch, //
};
use units::{
    EpochNumber,
    StoreEra, //
};

const LIFETIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_millis(100);

fn at(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(millis))
}

fn era(number: u64) -> Option<StoreEra> {
    Some(StoreEra(number))
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
