//! Random crashes and completions: a request is quarantined from its second crash on, not before.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use policy::{
    CrashId,
    SuspectRegistry,
    SuspectVerdict, //
};
use proptest::prelude::*;
use tokio::time::Instant;
use units::FingerprintId;

const SCHEDULES: u32 = 10_000;
const REQUESTS: u64 = 4;
/// Time for which crashes affect a request, as the operators' documentation states it.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// A crash with some requests, reported for the first time or again through a relay.
    Crash {
        crash: u64,
        ran: BTreeSet<u64>,
    },
    FinishIsolated(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_u64..200_000).prop_map(Step::Advance),
        5 => (0_u64..8, proptest::collection::btree_set(0..REQUESTS, 1..3))
            .prop_map(|(crash, ran)| Step::Crash { crash, ran }),
        2 => (0..REQUESTS).prop_map(Step::FinishIsolated),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verdict_random_schedules(steps in proptest::collection::vec(step(), 1..60)) {
        let mut registry = SuspectRegistry::default();
        let mut now = Instant::now();
        // Reference model: the distinct crashes of each request since it was last cleared.
        let mut model: BTreeMap<u64, (BTreeSet<u64>, Instant)> = BTreeMap::new();
        let mut reported: BTreeSet<(u64, u64)> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Advance(millis) => now += Duration::from_millis(millis),
                Step::Crash { crash, ran } => {
                    let fingerprints: Vec<FingerprintId> =
                        ran.iter().map(|r| FingerprintId(*r)).collect();
                    let is_new = ran.iter().any(|request| !reported.contains(&(crash, *request)));
                    prop_assert_eq!(
                        registry.record_crash(now, CrashId(crash), &fingerprints),
                        is_new
                    );
                    for request in ran {
                        if reported.insert((crash, request)) {
                            let entry = model.entry(request).or_insert((BTreeSet::new(), now));
                            entry.0.insert(crash);
                            entry.1 = now;
                        }
                    }
                }
                Step::FinishIsolated(request) => {
                    registry.clear(FingerprintId(request));
                    model.remove(&request);
                }
            }
            for request in 0..REQUESTS {
                let verdict = registry.verdict(now, FingerprintId(request));
                let expected = match model.get(&request) {
                    Some((_, last)) if now >= *last + RETENTION => SuspectVerdict::Unrestricted,
                    Some((crashes, last)) if crashes.len() >= 2 => {
                        SuspectVerdict::Quarantined(RETENTION - (now - *last))
                    }
                    Some(_) => SuspectVerdict::Isolated,
                    None => SuspectVerdict::Unrestricted,
                };
                prop_assert_eq!(verdict, expected, "request {}", request);
            }
        }
    }
}
