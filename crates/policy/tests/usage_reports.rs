//! Reports of usage under random interleavings, and the guards that keep them consistent.

#![allow(clippy::unwrap_used)]

mod usage_model;

use usage_model::{
    Guard,
    UsageModel, //
};

/// Number of schedules.
const SCHEDULES: u64 = 10_000;

#[test]
fn next_step_interleavings() {
    let mut accepted = 0;
    for seed in 0..SCHEDULES {
        match UsageModel::new(seed, None).run() {
            Ok(reports) => accepted += u64::from(reports),
            Err(violation) => panic!("schedule {seed}: {violation}"),
        }
    }
    // Schedules in which nothing is reported would show nothing.
    let mean = accepted as f64 / SCHEDULES as f64;
    assert!(mean > 3.0, "{mean} reports a schedule");
}

/// Guards against a model in which a guard is not needed, and so not tested.
#[test]
fn next_step_without_guard() {
    let guards = [
        Guard::Revision,
        Guard::FixedFirst,
        Guard::Newest,
        Guard::Restored,
        Guard::Authority,
        Guard::CountedFromSending,
        Guard::Settled,
    ];
    for guard in guards {
        let mut seeds = 0..SCHEDULES;
        let broken = seeds.find(|seed| UsageModel::new(*seed, Some(guard)).run().is_err());
        assert!(broken.is_some(), "nothing breaks without {guard:?}");
        println!("without {guard:?}: schedule {broken:?} breaks");
    }
}
