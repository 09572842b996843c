//! Gateways reach the same verdicts from the same evidence on requests and segments.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectEvidence,
    SuspectLimits,
    SuspectRegistry, //
};
use proptest::prelude::*;
use tokio::time::Instant;
use units::{
    FingerprintId,
    IncarnationId,
    SegmentId,
    SuspectId, //
};

fn registry() -> SuspectRegistry {
    SuspectRegistry::new(SuspectLimits::SHARING)
}

/// The end of a distinct server that nobody has seen since.
fn presumed(number: u64, at: Instant) -> ServerCrash {
    ServerCrash {
        id: CrashId(number),
        server: format!("i-{number}").parse().unwrap(),
        incarnation: Some(IncarnationId(number)),
        at,
        state: CrashState::Presumed,
    }
}

#[derive(Debug, Clone)]
enum Observation {
    /// The end of a server with some parts and requests in flight.
    End {
        server: u64,
        suspects: Vec<u64>,
    },
    Outlived {
        server: u64,
    },
    Answered {
        suspect: u64,
    },
}

/// Even numbers are segments, odd ones requests.
fn suspect(number: u64) -> SuspectId {
    if number.is_multiple_of(2) {
        SuspectId::Segment(SegmentId(number))
    } else {
        SuspectId::Request(FingerprintId(number))
    }
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        6 => (0_u64..8, proptest::collection::vec(0_u64..6, 1..4))
            .prop_map(|(server, suspects)| Observation::End { server, suspects }),
        1 => (0_u64..8).prop_map(|server| Observation::Outlived { server }),
        1 => (0_u64..6).prop_map(|suspect| Observation::Answered { suspect }),
    ]
}

/// Returns what each gateway knows after its observations.
fn observe(start: Instant, observations: &[(usize, Observation)]) -> Vec<SuspectEvidence> {
    let mut gateways: BTreeMap<usize, SuspectRegistry> = BTreeMap::new();
    for (position, (gateway, observation)) in observations.iter().enumerate() {
        let gateway = gateways.entry(*gateway).or_insert_with(registry);
        let now = start + Duration::from_secs(position as u64);
        match observation {
            Observation::End { server, suspects } => {
                // All gateways see the end of a server at the same time.
                let crash = presumed(*server, start + Duration::from_secs(4 * server));
                let suspects = suspects.iter().map(|number| suspect(*number));
                gateway.record_observation(now, crash, suspects);
            }
            Observation::Outlived { server } => {
                gateway.record_state(CrashId(*server), CrashState::Outlived);
            }
            Observation::Answered { suspect: number } => {
                gateway.record_completed(now, suspect(*number));
            }
        }
    }
    let evidence = gateways.values().flat_map(|gateway| {
        let known = (0..6).map(suspect);
        known.filter_map(|suspect| gateway.evidence(suspect))
    });
    evidence.collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_096,
        rng_seed: proptest::test_runner::RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against gateways that reach different verdicts from the same evidence on requests and
    /// segments.
    #[test]
    fn merge_random_order(
        observations in proptest::collection::vec((0_usize..3, observation()), 1..40),
        shuffled in proptest::collection::vec(any::<prop::sample::Index>(), 64),
    ) {
        let start = Instant::now();
        let reports = observe(start, &observations);
        let later = start + Duration::from_secs(60);
        let mut in_order = registry();
        for report in &reports {
            in_order.merge(later, report);
        }
        let mut shuffled_order = registry();
        let mut waiting: Vec<&SuspectEvidence> = reports.iter().collect();
        for index in shuffled {
            if waiting.is_empty() {
                break;
            }
            // Some reports arrive twice.
            let position = index.index(waiting.len());
            shuffled_order.merge(later, waiting[position]);
            if position % 3 != 0 {
                shuffled_order.merge(later, waiting[0]);
            }
            waiting.remove(position);
        }
        for report in waiting {
            shuffled_order.merge(later, report);
        }
        for suspect in (0..6).map(suspect) {
            prop_assert_eq!(
                in_order.verdict(later, suspect, 0),
                shuffled_order.verdict(later, suspect, 0)
            );
            prop_assert_eq!(in_order.crash_count(suspect), shuffled_order.crash_count(suspect));
        }
    }
}
