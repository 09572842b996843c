//! Counts of usage, what gateways tell each other of them, and the time by which they count.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BootTime,
    TrueClock,
    TrueTime,
    UsageChanges,
    UsageCollector,
    UsageCounter,
    UsageEntry,
    UsageSource, //
};
use units::{
    AccountName,
    IncarnationId,
    InstanceId,
    UsageWindow, //
};

const WINDOW: Duration = Duration::from_secs(5);

fn gateway(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn account(name: &str) -> AccountName {
    name.parse().unwrap()
}

fn source(name: &str, run: u64, since: u64, until: u64) -> UsageSource {
    UsageSource {
        gateway: gateway(name),
        incarnation: IncarnationId(run),
        since: TrueTime(since),
        until: TrueTime(until),
    }
}

fn boot(ms: u64) -> BootTime {
    BootTime(Duration::from_millis(ms))
}

#[test]
fn window_bounds() {
    let window = TrueTime(1_784_149_630_000).window(WINDOW);
    assert_eq!(window, UsageWindow(356_829_926));
    let start = TrueTime::window_start(window, WINDOW);
    assert_eq!(start, TrueTime(1_784_149_630_000));
    let end = TrueTime::window_end(window, WINDOW);
    assert_eq!(end, TrueTime(1_784_149_635_000));
    assert_eq!(end.window(WINDOW), UsageWindow(window.0 + 1));
    // A foreign number is no reason to end.
    assert_eq!(
        TrueTime::window_end(UsageWindow(u64::MAX), WINDOW),
        TrueTime(u64::MAX)
    );
}

#[test]
fn true_time_of_wrong_clocks() {
    let mut clock = TrueClock::default();
    // Without others, the own clock is all there is.
    assert_eq!(clock.now(boot(100), TrueTime(50_100)), TrueTime(50_100));
    for (name, shown) in [("g-2", 50_200), ("g-3", 50_201), ("g-4", 48_200)] {
        clock.record(boot(200), gateway(name), TrueTime(shown));
    }
    // The own clock and that of g-4 jump by two seconds.
    assert_eq!(clock.now(boot(300), TrueTime(52_300)), TrueTime(50_300));
    assert_eq!(clock.now(boot(1_300), TrueTime(49_300)), TrueTime(51_300));
    clock.record(boot(1_400), gateway("g-2"), TrueTime(u64::MAX));
    assert_eq!(clock.now(boot(1_400), TrueTime(51_400)), TrueTime(51_400));
    // Readings that are old say nothing.
    assert_eq!(clock.now(boot(9_000), TrueTime(60_000)), TrueTime(60_000));
}

#[test]
fn merge_lost_and_late_messages() {
    let mut counter = UsageCounter::default();
    let (receiver, run) = (gateway("g-2"), source("g-1", 7, 0, 9_000));
    let window = UsageWindow(1);
    let mut collector = UsageCollector::default();
    counter.record(window, &account("bakery"));
    let first = counter.changes(&receiver, 10);
    counter.record(window, &account("bakery"));
    counter.record(window, &account("kiosk"));
    let lost = counter.changes(&receiver, 10);
    assert_eq!(lost.base, 0);
    let number = collector.merge(run.clone(), &first);
    counter.record_receipt(&receiver, number);
    counter.record(window, &account("kiosk"));
    let later = counter.changes(&receiver, 10);
    assert_eq!(later.entries.len(), 2);
    for changes in [&later, &first, &later] {
        collector.merge(run.clone(), changes);
    }
    let usage = collector.usage(window);
    assert_eq!(usage[&account("bakery")], 2);
    assert_eq!(usage[&account("kiosk")], 2);
    // A receiver that starts again lacks what the message takes for known, and says so.
    let mut restarted = UsageCollector::default();
    counter.record_receipt(&receiver, later.number);
    counter.record(window, &account("kiosk"));
    let partial = counter.changes(&receiver, 10);
    assert_eq!(restarted.merge(run.clone(), &partial), 0);
    let members = [gateway("g-1")];
    assert_eq!(
        restarted
            .awaited(&members, TrueTime(0), TrueTime(9_000))
            .len(),
        1
    );
    counter.record_receipt(&receiver, 0);
    let whole = counter.changes(&receiver, 10);
    assert_eq!(restarted.merge(run, &whole), whole.number);
    assert_eq!(restarted.usage(window)[&account("kiosk")], 3);
    assert!(
        restarted
            .awaited(&members, TrueTime(0), TrueTime(9_000))
            .is_empty()
    );
}

#[test]
fn changes_in_parts() {
    let mut counter = UsageCounter::default();
    for number in 0..25 {
        counter.record(UsageWindow(number % 3), &account(&format!("a-{number}")));
    }
    let receiver = gateway("g-2");
    let mut collector = UsageCollector::default();
    let mut messages = 0;
    loop {
        let changes = counter.changes(&receiver, 10);
        let is_whole = changes.is_whole;
        let number = collector.merge(source("g-1", 7, 0, 100), &changes);
        counter.record_receipt(&receiver, number);
        messages += 1;
        if is_whole {
            break;
        }
    }
    assert_eq!(messages, 3);
    let counts = (0..3).map(|window| collector.usage(UsageWindow(window)).len());
    assert_eq!(counts.sum::<usize>(), 25);
    assert!(counter.changes(&receiver, 10).entries.is_empty());
}

#[test]
fn usage_of_gone_gateways() {
    let mut collector = UsageCollector::default();
    let entries = |window, count| UsageChanges {
        entries: vec![UsageEntry {
            window: UsageWindow(window),
            account: account("bakery"),
            count,
        }],
        is_whole: true,
        ..UsageChanges::default()
    };
    collector.merge(source("g-1", 1, 0, 7_000), &entries(1, 4));
    collector.merge(source("g-1", 2, 8_000, 11_000), &entries(1, 5));
    collector.merge(source("g-2", 3, 2_000, 11_000), &entries(1, u64::MAX));
    assert_eq!(
        collector.usage(UsageWindow(1))[&account("bakery")],
        u64::MAX
    );
    let members = [gateway("g-1"), gateway("g-2"), gateway("g-3")];
    let awaited = collector.awaited(&members, TrueTime(10_000), TrueTime(12_000));
    assert_eq!(awaited.len(), 3);
    // Those that fell silent before the window began have nothing to tell.
    let awaited = collector.awaited(&members, TrueTime(11_500), TrueTime(17_000));
    assert_eq!(awaited.into_iter().collect::<Vec<_>>(), [gateway("g-3")]);
    assert!(collector.has_counted(TrueTime(5_000), TrueTime(10_000)));
    assert!(!collector.has_counted(TrueTime(1_000), TrueTime(10_000)));
    collector.expire(UsageWindow(2), TrueTime(10_000));
    assert!(collector.usage(UsageWindow(1)).is_empty());
    // What is left has counted for as long as before, but not from the start of an earlier window.
    assert!(collector.has_counted(TrueTime(5_000), TrueTime(10_000)));
    assert!(!collector.has_counted(TrueTime(0), TrueTime(5_000)));
}
