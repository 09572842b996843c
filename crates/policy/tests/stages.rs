//! The split of engines between the two stages, and the turn of the planner that orders it.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BootTime,
    EngineStage,
    OrderTurn,
    PendingOrders,
    StageDemand,
    StagePlanner,
    StageSight, //
};
use tokio::time::Instant;
use units::EpochNumber;

fn sights(prefill: usize, decode: usize) -> Vec<StageSight> {
    let stages = std::iter::repeat_n(EngineStage::Prefill, prefill)
        .chain(std::iter::repeat_n(EngineStage::Decode, decode));
    let sight = |(index, stage): (usize, EngineStage)| StageSight {
        instance: format!("i-{index}").parse().unwrap(),
        centre: ["a", "b", "c"][index % 3].parse().unwrap(),
        stage,
        is_changing: false,
        requests: 0,
    };
    stages.enumerate().map(sight).collect()
}

/// Demand that takes this many engines of each stage.
fn demand(prefill: f64, decode: f64) -> Option<StageDemand> {
    Some(StageDemand {
        prompt_tokens_per_ms: prefill * 50.0 * 0.9,
        read_speed: 50.0,
        output_tokens_per_ms: decode * 4.0,
        output_speed: 4.0,
    })
}

/// Carries out every change at once, for some time, and counts the changes.
fn run(
    planner: &mut StagePlanner,
    engines: &mut [StageSight],
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

fn prefill_count(engines: &[StageSight]) -> usize {
    let prefill = engines.iter().filter(|e| e.stage == EngineStage::Prefill);
    prefill.count()
}

/// A deployment that starts with few prefill engines is mended before any work.
#[test]
fn plan_before_work() {
    for start in [1, 4, 15] {
        let mut engines = sights(start, 18 - start);
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

/// A large fleet with little work: nothing is short, and nothing changes but a few before work.
#[test]
fn plan_large_idle_fleet() {
    let mut engines = sights(1_000, 2_000);
    let mut planner = StagePlanner::default();
    let start = Instant::now();
    let before = run(&mut planner, &mut engines, start, 10, |_| None);
    let later = start + Duration::from_secs(10);
    let after = run(&mut planner, &mut engines, later, 300, |_| {
        demand(20.0, 10.0)
    });
    assert!(before <= 8 && after == 0, "{before} and {after} changes");
}

/// Changes take engines away for seconds: two at a time while there is work.
#[test]
fn plan_few_at_a_time() {
    let mut engines = sights(10, 40);
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
    assert_eq!(changes, 2, "none of them has ended");
}

/// A mix that alternates within seconds is borne by queues.
#[test]
fn plan_bursts_of_seconds() {
    let mut engines = sights(10, 8);
    let swings = |second: u64| match second / 7 % 2 {
        0 => demand(8.0, 4.0),
        _ => demand(4.0, 5.0),
    };
    let changes = run(
        &mut StagePlanner::default(),
        &mut engines,
        Instant::now(),
        60,
        swings,
    );
    assert!(changes <= 2, "{changes} changes");
}

/// One engine of eighteen on the wrong side: a change would cost more than it brings.
#[test]
fn plan_one_engine_off() {
    for prefill in [9, 11] {
        let mut engines = sights(prefill, 18 - prefill);
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

/// A mix that shifts for good is followed within minutes.
#[test]
fn plan_lasting_shift() {
    let mut engines = sights(10, 8);
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

/// Engines of one stage are lost: the rest is split anew at once.
#[test]
fn plan_engines_lost() {
    let mut engines = sights(10, 8);
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
fn plan_leaves_both_stages() {
    let mut engines = sights(1, 1);
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
fn plan_nothing_for_one_engine() {
    let plan = StagePlanner::default().plan(Instant::now(), &sights(1, 0), None);
    assert_eq!(plan, None);
}

#[test]
fn plan_spares_engines_that_change() {
    let mut engines = sights(4, 14);
    for engine in engines.iter_mut().filter(|e| e.instance.as_str() != "i-9") {
        engine.is_changing = true;
    }
    let change = StagePlanner::default().plan(Instant::now(), &engines, None);
    assert_eq!(change.unwrap().instance.as_str(), "i-9");
}

const LIFETIME: Duration = Duration::from_secs(4);
const SETTLE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(millis))
}

#[test]
fn epoch_waits_for_orders_of_the_holder_before() {
    let mut turn = OrderTurn::new(LIFETIME, SETTLE);
    turn.gain(at(0), EpochNumber(41));
    turn.renew(at(2_000));
    assert_eq!(turn.epoch(at(2_999)), None);
    assert_eq!(turn.epoch(at(3_000)), Some(EpochNumber(41)));
}

#[test]
fn epoch_ends_before_the_lease() {
    let mut turn = OrderTurn::new(LIFETIME, Duration::ZERO);
    turn.gain(at(0), EpochNumber(41));
    assert!(turn.epoch(at(2_700)).is_some());
    assert_eq!(
        turn.epoch(at(3_500)),
        None,
        "another may hold the lease soon"
    );
    turn.renew(at(3_000));
    assert!(turn.epoch(at(3_500)).is_some());
}

/// The instance is suspended for seconds: its steady clock has not moved, boot time has.
#[test]
fn epoch_after_a_suspension() {
    let mut turn = OrderTurn::new(LIFETIME, Duration::ZERO);
    turn.gain(at(0), EpochNumber(41));
    assert_eq!(turn.epoch(at(8_000)), None);
}

#[test]
fn epoch_after_a_loss() {
    let mut turn = OrderTurn::new(LIFETIME, Duration::ZERO);
    turn.gain(at(0), EpochNumber(41));
    turn.lose();
    assert_eq!(turn.epoch(at(100)), None);
    assert!(!turn.is_held());
}

/// An order without an answer may be carried out seconds later; until then no other is sent.
#[test]
fn ordered_until_its_effect_shows() {
    let now = Instant::now();
    let mut pending = PendingOrders::default();
    let engine = "i-1".parse().unwrap();
    pending.send(now, "i-1".parse().unwrap(), EngineStage::Prefill);
    let later = now + Duration::from_secs(12);
    let ordered = pending.ordered(later, &engine, EngineStage::Decode);
    assert_eq!(ordered, Some(EngineStage::Prefill));
    assert_eq!(pending.ordered(later, &engine, EngineStage::Prefill), None);
}
