//! Split of the engines between the two stages, and the lease under which a planner orders changes.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BootTime,
    EngineStage,
    OrderLease,
    PendingOrders,
    StageDemand,
    StageObservation,
    StagePlanner, //
};
use tokio::time::Instant;
use units::EpochNumber;

fn observations(prefill: usize, decode: usize) -> Vec<StageObservation> {
    let stages = std::iter::repeat_n(EngineStage::Prefill, prefill)
        .chain(std::iter::repeat_n(EngineStage::Decode, decode));
    let observation = |(index, stage): (usize, EngineStage)| StageObservation {
        instance: format!("i-{index}").parse().unwrap(),
        centre: ["a", "b", "c"][index % 3].parse().unwrap(),
        stage,
        is_changing: false,
        requests: 0,
    };
    stages.enumerate().map(observation).collect()
}

/// Returns the demand that occupies the given number of engines of each stage.
fn demand(prefill: f64, decode: f64) -> Option<StageDemand> {
    Some(StageDemand {
        prompt_tokens_per_ms: prefill * 50.0 * 0.9,
        read_speed: 50.0,
        output_tokens_per_ms: decode * 4.0,
        output_speed: 4.0,
    })
}

/// Plans every second, applies each change at once, and returns the number of changes.
fn run(
    planner: &mut StagePlanner,
    engines: &mut [StageObservation],
    start: Instant,
    seconds: u64,
    demand: impl Fn(u64) -> Option<StageDemand>,
) -> usize {
    let mut changes = 0;
    for second in 0..seconds {
        let now = start + Duration::from_secs(second);
        while let Some(change) = planner.plan(now, engines, demand(second)) {
            let changed = engines.iter_mut().find(|e| e.instance == change.instance);
            changed.unwrap().stage = change.stage;
            changes += 1;
        }
    }
    changes
}

fn prefill_count(engines: &[StageObservation]) -> usize {
    let prefill = engines.iter().filter(|e| e.stage == EngineStage::Prefill);
    prefill.count()
}

/// An unbalanced deployment is rebalanced before any demand is observed.
#[test]
fn plan_without_demand() {
    for start in [1, 4, 15] {
        let mut engines = observations(start, 18 - start);
        run(
            &mut StagePlanner::default(),
            &mut engines,
            Instant::now(),
            1,
            |_| None,
        );
        let prefill = prefill_count(&engines);
        assert!((9..=11).contains(&prefill), "{prefill} of 18 from {start}");
    }
}

/// In a large fleet with little demand, no stage lacks engines, so that only the few changes before
/// the first demand are ordered.
#[test]
fn plan_large_idle_fleet() {
    let mut engines = observations(1_000, 2_000);
    let mut planner = StagePlanner::default();
    let start = Instant::now();
    let before = run(&mut planner, &mut engines, start, 10, |_| None);
    let later = start + Duration::from_secs(10);
    let after = run(&mut planner, &mut engines, later, 300, |_| {
        demand(20.0, 10.0)
    });
    assert!(before <= 8 && after == 0, "{before} and {after} changes");
}

/// A change makes an engine unavailable for seconds, so that only two are in progress at a time.
#[test]
fn plan_limits_concurrent_changes() {
    let mut engines = observations(10, 40);
    let mut planner = StagePlanner::default();
    let start = Instant::now();
    let mut changes = 0;
    for second in 0..30 {
        let now = start + Duration::from_secs(second);
        while let Some(change) = planner.plan(now, &engines, demand(30.0, 10.0)) {
            let changed = engines.iter_mut().find(|e| e.instance == change.instance);
            changed.unwrap().is_changing = true;
            changes += 1;
        }
    }
    assert_eq!(changes, 2, "no change has finished");
}

/// Demand that alternates within seconds is absorbed by queues, not by changes.
#[test]
fn plan_short_demand_swings() {
    let mut engines = observations(10, 8);
    let alternating_demand = |second: u64| match second / 7 % 2 {
        0 => demand(8.0, 4.0),
        _ => demand(4.0, 5.0),
    };
    let changes = run(
        &mut StagePlanner::default(),
        &mut engines,
        Instant::now(),
        60,
        alternating_demand,
    );
    assert!(changes <= 2, "{changes} changes");
}

/// With one of eighteen engines in the wrong stage, a change would cost more than it gains.
#[test]
fn plan_tolerates_one_engine_off() {
    for prefill in [9, 11] {
        let mut engines = observations(prefill, 18 - prefill);
        let changes = run(
            &mut StagePlanner::default(),
            &mut engines,
            Instant::now(),
            30,
            |_| demand(8.0, 5.8),
        );
        assert_eq!(changes, 0, "from {prefill} of 18");
    }
}

/// The split follows a lasting change of the demand within minutes.
#[test]
fn plan_lasting_demand_shift() {
    let mut engines = observations(10, 8);
    run(
        &mut StagePlanner::default(),
        &mut engines,
        Instant::now(),
        300,
        |_| demand(3.0, 9.0),
    );
    let prefill = prefill_count(&engines);
    assert!((4..=6).contains(&prefill), "{prefill} of 18");
}

/// When engines of one stage are lost, the remaining ones are rebalanced at once.
#[test]
fn plan_engines_lost() {
    let mut engines = observations(10, 8);
    let mut planner = StagePlanner::default();
    let start = Instant::now();
    run(&mut planner, &mut engines, start, 30, |_| demand(6.0, 4.0));
    engines.retain(|e| e.stage == EngineStage::Decode || e.instance.as_str() < "i-6");
    let before = prefill_count(&engines);
    let later = start + Duration::from_secs(30);
    let changes = run(&mut planner, &mut engines, later, 1, |_| demand(6.0, 4.0));
    assert!(
        changes >= 1,
        "{before} prefill engines were left of {}",
        engines.len()
    );
}

#[test]
fn plan_keeps_one_engine_per_stage() {
    let mut engines = observations(1, 1);
    let changes = run(
        &mut StagePlanner::default(),
        &mut engines,
        Instant::now(),
        600,
        |_| demand(9.0, 0.1),
    );
    assert_eq!((changes, prefill_count(&engines)), (0, 1));
}

#[test]
fn plan_single_engine() {
    let plan = StagePlanner::default().plan(Instant::now(), &observations(1, 0), None);
    assert_eq!(plan, None);
}

#[test]
fn plan_skips_changing_engines() {
    let mut engines = observations(4, 14);
    for engine in engines.iter_mut().filter(|e| e.instance.as_str() != "i-9") {
        engine.is_changing = true;
    }
    let change = StagePlanner::default().plan(Instant::now(), &engines, None);
    assert_eq!(change.unwrap().instance.as_str(), "i-9");
}

const LIFETIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn at(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(millis))
}

#[test]
fn epoch_waits_for_settle_time() {
    let mut lease = OrderLease::new(LIFETIME, SETTLE_TIME);
    lease.record_acquired(at(0), EpochNumber(41));
    lease.record_renewed(at(2_000));
    assert_eq!(lease.epoch(at(2_999)), None);
    assert_eq!(lease.epoch(at(3_000)), Some(EpochNumber(41)));
}

#[test]
fn epoch_ends_before_lease_expires() {
    let mut lease = OrderLease::new(LIFETIME, Duration::ZERO);
    lease.record_acquired(at(0), EpochNumber(41));
    assert!(lease.epoch(at(2_700)).is_some());
    assert_eq!(
        lease.epoch(at(3_500)),
        None,
        "another planner may acquire the lease soon"
    );
    lease.record_renewed(at(3_000));
    assert!(lease.epoch(at(3_500)).is_some());
}

/// While an instance is suspended, the lease expires. The boot time advances then, unlike the
/// monotonic clock.
#[test]
fn epoch_after_suspension() {
    let mut lease = OrderLease::new(LIFETIME, Duration::ZERO);
    lease.record_acquired(at(0), EpochNumber(41));
    assert_eq!(lease.epoch(at(8_000)), None);
}

#[test]
fn epoch_after_lease_loss() {
    let mut lease = OrderLease::new(LIFETIME, Duration::ZERO);
    lease.record_acquired(at(0), EpochNumber(41));
    lease.record_lost();
    assert_eq!(lease.epoch(at(100)), None);
    assert!(!lease.is_held());
}

/// An unanswered order may still take effect seconds later, so that the stage remains pending.
#[test]
fn pending_stage_until_engine_changes() {
    let now = Instant::now();
    let mut pending = PendingOrders::default();
    let engine = "i-1".parse().unwrap();
    pending.record(now, "i-1".parse().unwrap(), EngineStage::Prefill);
    let later = now + Duration::from_secs(12);
    let pending_stage = pending.pending_stage(later, &engine, EngineStage::Decode);
    assert_eq!(pending_stage, Some(EngineStage::Prefill));
    assert_eq!(
        pending.pending_stage(later, &engine, EngineStage::Prefill),
        None
    );
}
