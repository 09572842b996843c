//! Evidence on segments that several prompts share: one that crashes each backend server that answers
//! it is kept out, and those beside it are not.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectLimits,
    SuspectRegistry,
    SuspectVerdict, //
};
use tokio::time::Instant;
use units::{
    FingerprintId,
    IncarnationId,
    SegmentId,
    SuspectId, //
};

/// First part of all prompts.
const FIRST: SuspectId = SuspectId::Segment(SegmentId(1));
/// Part that crashes servers.
const GUILTY: SuspectId = SuspectId::Segment(SegmentId(2));
/// Innocent parts.
const BESIDE: SuspectId = SuspectId::Segment(SegmentId(3));
const OTHER: SuspectId = SuspectId::Segment(SegmentId(4));
/// Number of ends at which a part is kept out.
const CRASH_LIMIT: u64 = 3;
const CRASH_INTERVAL: Duration = Duration::from_secs(2);
const QUARANTINE: Duration = Duration::from_secs(600);
const RETENTION: Duration = Duration::from_secs(24 * 3_600);
const MAX_TRIALS: usize = 3;
/// Maximum number of suspects in a registry.
const SUSPECT_LIMIT: u64 = 10_000;
/// Maximum number of segments whose answers are remembered.
const COMPLETION_LIMIT: u64 = 4_096;

fn registry() -> SuspectRegistry {
    SuspectRegistry::new(SuspectLimits::SHARING)
}

/// The end of a distinct server, which a probe has confirmed.
fn ended(number: u64, at: Instant) -> ServerCrash {
    ServerCrash {
        id: CrashId(number),
        server: format!("i-{number}").parse().unwrap(),
        incarnation: Some(IncarnationId(number)),
        at,
        state: CrashState::Confirmed,
    }
}

fn request(number: u64) -> SuspectId {
    SuspectId::Request(FingerprintId(number))
}

/// Records that server `number` ended two seconds after the one before it, with a request that is
/// like no other and some parts.
fn end_server(
    registry: &mut SuspectRegistry,
    start: Instant,
    number: u64,
    parts: &[SuspectId],
) -> Instant {
    let at = start + CRASH_INTERVAL * number as u32;
    let suspects = parts.iter().copied().chain([request(1_000 + number)]);
    registry.record_observation(at, ended(number, at), suspects);
    at
}

fn is_refused(registry: &SuspectRegistry, now: Instant, suspect: SuspectId) -> bool {
    let verdict = registry.verdict(now, suspect, 0);
    matches!(verdict, SuspectVerdict::Quarantined(_))
}

fn is_free(registry: &SuspectRegistry, now: Instant, suspect: SuspectId) -> bool {
    registry.verdict(now, suspect, 0) == SuspectVerdict::Unrestricted
}

/// Guards against a part that ends servers without limit since no two requests with it are alike.
#[test]
fn guilty_part_different_requests() {
    let mut registry = registry();
    let start = Instant::now();
    registry.record_completed(start, FIRST);
    for number in 1..CRASH_LIMIT {
        let at = end_server(&mut registry, start, number, &[FIRST, GUILTY]);
        assert!(is_free(&registry, at, GUILTY), "{number}");
    }
    let last = end_server(&mut registry, start, CRASH_LIMIT, &[FIRST, GUILTY]);
    let verdict = registry.verdict(last, GUILTY, 0);
    assert_eq!(verdict, SuspectVerdict::Quarantined(QUARANTINE));
    let parts = [FIRST, GUILTY, request(7)];
    let strictest = registry.strictest_verdict(last, &parts, |_| false, |_| 0);
    assert_eq!(strictest, Some((GUILTY, verdict)));
    let sound = [FIRST, BESIDE, request(8)];
    assert_eq!(
        registry.strictest_verdict(last, &sound, |_| false, |_| 0),
        None
    );
}

/// Guards against gateways that each count the ends that they have seen themselves.
#[test]
fn guilty_part_several_gateways_any_order() {
    let start = Instant::now();
    let mut gateways = [registry(), registry(), registry()];
    for (number, gateway) in (1..).zip(&mut gateways) {
        end_server(gateway, start, number, &[GUILTY]);
    }
    let reports = gateways.map(|gateway| gateway.evidence(GUILTY).unwrap());
    let later = start + Duration::from_secs(20);
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut registry = registry();
        for position in order {
            assert!(registry.merge(later, &reports[position]));
            assert!(!registry.merge(later, &reports[position]));
        }
        let verdict = registry.verdict(later, GUILTY, 0);
        let remaining = QUARANTINE - (later - (start + CRASH_INTERVAL * 3));
        assert_eq!(verdict, SuspectVerdict::Quarantined(remaining));
    }
}

/// Guards against a part that counts one end several times, since several gateways saw it.
#[test]
fn one_end_seen_by_many_gateways() {
    let mut registry = registry();
    let now = Instant::now();
    for number in 1..=12 {
        let mut crash = ended(1, now);
        crash.id = CrashId(number);
        registry.record_observation(now, crash, [GUILTY]);
    }
    assert_eq!(registry.crash_count(GUILTY), 1);
}

/// Guards against a refusal of parts that were in flight with the one that ends servers and have been
/// answered, whenever that was.
#[test]
fn innocent_part_answered() {
    for answered_after in 0..=CRASH_LIMIT {
        let mut registry = registry();
        let start = Instant::now();
        for number in 0..=CRASH_LIMIT {
            if number > 0 {
                end_server(&mut registry, start, number, &[FIRST, GUILTY]);
            }
            if number == answered_after {
                let at = start + CRASH_INTERVAL * number as u32 + Duration::from_secs(1);
                registry.record_completed(at, FIRST);
            }
        }
        let later = start + Duration::from_secs(20);
        assert!(is_free(&registry, later, FIRST), "{answered_after}");
        let verdict = registry.verdict(later, GUILTY, 0);
        let remaining = QUARANTINE - (later - (start + CRASH_INTERVAL * CRASH_LIMIT as u32));
        assert_eq!(verdict, SuspectVerdict::Quarantined(remaining));
    }
}

/// Guards against evidence on a part that is answered all the time, which would be reported and
/// written with each end.
#[test]
fn answered_part_no_news() {
    let mut registry = registry();
    let start = Instant::now();
    registry.record_completed(start, FIRST);
    for number in 1..=20 {
        let at = start + CRASH_INTERVAL * number;
        let suspects = [FIRST, GUILTY];
        let concerned = registry.record_observation(at, ended(number.into(), at), suspects);
        assert_eq!(concerned, [GUILTY]);
    }
    assert_eq!(registry.evidence(FIRST), None);
    assert!(!registry.has_repeated_crashes(FIRST));
}

/// Guards against a gateway that refuses a part although others have seen answers on it.
#[test]
fn answer_seen_by_another_gateway() {
    let start = Instant::now();
    let mut answered = registry();
    answered.record_completed(start, FIRST);
    let mut gateway = registry();
    let mut last = start;
    for number in 1..=CRASH_LIMIT {
        last = end_server(&mut gateway, start, number, &[FIRST, GUILTY]);
    }
    assert!(is_refused(&gateway, last, FIRST));
    // What the gateway reports has the other one answer with what it knows.
    let report = gateway.evidence(FIRST).unwrap();
    answered.merge(last, &report);
    assert!(answered.adds_to(&report));
    assert!(gateway.merge(last, &answered.evidence(FIRST).unwrap()));
    assert!(is_free(&gateway, last, FIRST));
    assert!(is_refused(&gateway, last, GUILTY));
    // Once both know, they have nothing more to say.
    let report = gateway.evidence(FIRST).unwrap();
    assert!(!answered.merge(last, &report));
    assert!(!answered.adds_to(&report));
}

/// Guards against a refusal of a part that was never answered, if another part was there in all of its
/// ends and in more.
#[test]
fn innocent_part_explained() {
    let mut registry = registry();
    let start = Instant::now();
    end_server(&mut registry, start, 1, &[GUILTY]);
    let mut last = start;
    for number in 2..=4 {
        last = end_server(&mut registry, start, number, &[GUILTY, BESIDE]);
    }
    assert!(is_free(&registry, last, BESIDE));
    assert!(is_refused(&registry, last, GUILTY));
    // An end without the guilty part is not explained by it.
    let last = end_server(&mut registry, start, 5, &[BESIDE]);
    assert!(is_refused(&registry, last, BESIDE));
}

/// Guards against a part that is excused by another one which an answer has cleared.
#[test]
fn part_explained_by_cleared_part() {
    let mut registry = registry();
    let start = Instant::now();
    let mut last = end_server(&mut registry, start, 1, &[FIRST]);
    for number in 2..=4 {
        last = end_server(&mut registry, start, number, &[FIRST, GUILTY]);
    }
    assert!(is_free(&registry, last, GUILTY));
    registry.record_completed(last, FIRST);
    let verdict = registry.verdict(last, GUILTY, 0);
    assert_eq!(verdict, SuspectVerdict::Quarantined(QUARANTINE));
}

/// Guards against a long refusal of a part that all prompts share, since it was in one more end than
/// the part that crashes servers and has not been answered yet.
#[test]
fn innocent_part_in_more_ends() {
    let mut registry = registry();
    let start = Instant::now();
    let mut last = end_server(&mut registry, start, 1, &[FIRST]);
    for number in 2..=4 {
        last = end_server(&mut registry, start, number, &[FIRST, GUILTY]);
    }
    let wait = SuspectVerdict::Quarantined(Duration::from_secs(3));
    assert_eq!(registry.verdict(last, FIRST, 0), wait);
    let due = last + Duration::from_secs(3);
    assert_eq!(registry.record_trials(due, &[FIRST, BESIDE]), [FIRST]);
    registry.record_completed(due, FIRST);
    assert!(is_free(&registry, due, FIRST));
    assert!(is_refused(&registry, due, GUILTY));
}

/// Guards against two parts that were always together excusing each other, or both being kept out for
/// long.
#[test]
fn tied_parts_told_apart_by_trials() {
    let mut registry = registry();
    let start = Instant::now();
    let mut last = start;
    for number in 1..=CRASH_LIMIT {
        last = end_server(&mut registry, start, number, &[GUILTY, BESIDE]);
    }
    assert!(is_refused(&registry, last, GUILTY));
    assert!(is_refused(&registry, last, BESIDE));
    let due = last + Duration::from_secs(3);
    assert_eq!(registry.verdict(due, BESIDE, 0), SuspectVerdict::Trial);
    assert_eq!(registry.record_trials(due, &[BESIDE, OTHER]), [BESIDE]);
    assert!(is_refused(&registry, due, BESIDE));
    registry.record_completed(due, BESIDE);
    assert!(is_free(&registry, due, BESIDE));
    let remaining = QUARANTINE - Duration::from_secs(3);
    let verdict = registry.verdict(due, GUILTY, 0);
    assert_eq!(verdict, SuspectVerdict::Quarantined(remaining));
}

/// Guards against more than three further runs of a part, whichever parts and requests it comes with.
#[test]
fn trials_of_guilty_part() {
    for beside in [&[GUILTY][..], &[GUILTY, BESIDE], &[FIRST, GUILTY, BESIDE]] {
        let mut registry = registry();
        let mut now = Instant::now();
        for number in 1..=CRASH_LIMIT {
            now = end_server(&mut registry, now, number, beside);
        }
        let end = now + RETENTION;
        let mut trials = 0;
        let mut number = CRASH_LIMIT;
        while now < end {
            now += Duration::from_secs(20);
            number += 1;
            let suspects: Vec<SuspectId> =
                beside.iter().copied().chain([request(number)]).collect();
            let strictest = registry.strictest_verdict(now, &suspects, |_| false, |_| 0);
            match strictest.map(|(_, verdict)| verdict) {
                Some(SuspectVerdict::Quarantined(_)) => {}
                Some(SuspectVerdict::Trial) => {
                    trials += 1;
                    registry.record_trials(now, &suspects);
                    registry.record_observation(now, ended(number, now), suspects);
                }
                other => panic!("{other:?} at {:?} before the end", end - now),
            }
        }
        assert!((1..=MAX_TRIALS).contains(&trials), "{trials}: {beside:?}");
    }
}

/// Guards against a request that its own part excuses, and a part that its request excuses: each is
/// judged by others of its kind.
#[test]
fn request_and_its_part() {
    let mut registry = registry();
    let start = Instant::now();
    let mut last = start;
    for number in 1..=CRASH_LIMIT {
        last = start + CRASH_INTERVAL * number as u32;
        let suspects = [GUILTY, request(1)];
        registry.record_observation(last, ended(number, last), suspects);
    }
    for suspect in [GUILTY, request(1)] {
        let verdict = registry.verdict(last, suspect, 0);
        assert_eq!(verdict, SuspectVerdict::Quarantined(QUARANTINE));
    }
}

/// Guards against records without limit: each end has many requests in flight, whose last parts are
/// their own.
#[test]
fn many_requests_in_flight() {
    /// Number of requests in flight on each server.
    const IN_FLIGHT: u64 = 64;
    let mut registry = registry();
    let start = Instant::now();
    let mut last = start;
    for number in 1..=CRASH_LIMIT {
        last = end_server(&mut registry, start, number, &[GUILTY]);
    }
    let ends = 2 * SUSPECT_LIMIT / IN_FLIGHT;
    for number in 10..10 + ends {
        let at = last + Duration::from_millis(number);
        let in_flight = (0..IN_FLIGHT).map(|position| request(number * 1_000 + position));
        registry.record_observation(at, ended(number, at), in_flight);
    }
    assert_eq!(registry.crash_count(GUILTY), CRASH_LIMIT as usize);
    let expired = registry.expired(last + RETENTION * 2);
    assert!(
        expired.len() as u64 <= SUSPECT_LIMIT + IN_FLIGHT,
        "{}",
        expired.len()
    );
}

/// Guards against segments of single crashes that displace one with more, and against requests that
/// displace segments.
#[test]
fn records_of_parts_beyond_limit() {
    let mut registry = registry();
    let start = Instant::now();
    let last = end_server(&mut registry, start, 1, &[BESIDE]);
    for number in 1..=CRASH_LIMIT {
        end_server(&mut registry, start, number, &[GUILTY]);
    }
    for number in 0..2 * SUSPECT_LIMIT {
        registry.record_observation(last, ended(1, last), [request(10_000 + number)]);
    }
    assert_eq!(registry.crash_count(BESIDE), 1);
    for number in 0..2 * SUSPECT_LIMIT {
        let segment = SuspectId::Segment(SegmentId(10_000 + number));
        registry.record_observation(last, ended(1, last), [segment]);
    }
    assert_eq!(registry.crash_count(GUILTY), CRASH_LIMIT as usize);
}

/// Guards against answers on the parts of sessions that displace those of requests, and against an
/// answer that is forgotten while it is among the latest.
#[test]
fn answers_beyond_limit() {
    let mut registry = registry();
    let start = Instant::now();
    registry.record_completed(start, request(1));
    for number in 0..3 * COMPLETION_LIMIT {
        let segment = SuspectId::Segment(SegmentId(10_000 + number));
        registry.record_completed(start + Duration::from_millis(number), segment);
        registry.record_completed(start + Duration::from_millis(number), FIRST);
    }
    let at = start + Duration::from_millis(3 * COMPLETION_LIMIT);
    let first = SuspectId::Segment(SegmentId(10_000));
    let latest = SuspectId::Segment(SegmentId(10_000 + 3 * COMPLETION_LIMIT - 1));
    let suspects = [first, latest, FIRST, request(1)];
    let concerned = registry.record_observation(at, ended(1, at), suspects);
    assert_eq!(concerned, [first]);
}
