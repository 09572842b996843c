//! Requests that were in flight on backend servers when a segment that they do not hold crashed these.

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

const FIRST: SuspectId = SuspectId::Segment(SegmentId(1));
const GUILTY: SuspectId = SuspectId::Segment(SegmentId(2));
const SOUND_REQUEST: SuspectId = SuspectId::Request(FingerprintId(7));
const CRASH_LIMIT: u64 = 3;

/// Records the ends of `count` servers on which `suspects` were in flight.
fn end_servers(registry: &mut SuspectRegistry, count: u64, suspects: &[SuspectId]) -> Instant {
    let mut at = Instant::now();
    for number in 1..=count {
        at += Duration::from_millis(500);
        let crash = ServerCrash {
            id: CrashId(number),
            server: format!("i-{number}").parse().unwrap(),
            incarnation: Some(IncarnationId(number)),
            at,
            state: CrashState::Confirmed,
        };
        registry.record_observation(at, crash, suspects.iter().copied());
    }
    at
}

fn verdict(registry: &SuspectRegistry, now: Instant, held: &[SuspectId]) -> SuspectVerdict {
    let strictest = registry.strictest_verdict(now, held, |_| false, |_| 0);
    strictest.map_or(SuspectVerdict::Unrestricted, |(_, verdict)| verdict)
}

/// Guards against a sound request that is refused since it was in flight on three servers that a segment
/// of other prompts crashed.
#[test]
fn request_under_ends_of_foreign_segment() {
    let mut registry = SuspectRegistry::new(SuspectLimits::SHARING);
    registry.record_completed(Instant::now(), FIRST);
    let last = end_servers(&mut registry, CRASH_LIMIT, &[GUILTY, SOUND_REQUEST]);
    let held = [FIRST, SOUND_REQUEST];
    assert_eq!(
        verdict(&registry, last, &held),
        SuspectVerdict::Unrestricted
    );
}

/// Guards against a request that its own segment excuses, so that both go on crashing servers.
#[test]
fn request_under_ends_of_own_segment() {
    let mut registry = SuspectRegistry::new(SuspectLimits::SHARING);
    let last = end_servers(&mut registry, CRASH_LIMIT, &[GUILTY, SOUND_REQUEST]);
    let held = [FIRST, GUILTY, SOUND_REQUEST];
    let verdict = verdict(&registry, last, &held);
    assert!(
        matches!(verdict, SuspectVerdict::Quarantined(_)),
        "{verdict:?}"
    );
}

/// Guards against a crashing request that is excused by a segment which met some of its crashes.
#[test]
fn request_under_more_ends_than_foreign_segment() {
    let mut registry = SuspectRegistry::new(SuspectLimits::SHARING);
    end_servers(&mut registry, CRASH_LIMIT, &[GUILTY, SOUND_REQUEST]);
    let last = end_servers(&mut registry, CRASH_LIMIT + 1, &[SOUND_REQUEST]);
    let held = [FIRST, SOUND_REQUEST];
    let verdict = verdict(&registry, last, &held);
    assert!(
        matches!(verdict, SuspectVerdict::Quarantined(_)),
        "{verdict:?}"
    );
}

/// Guards against a refusal of sound requests whose first segment has not been answered yet when another
/// segment, which they do not hold, crashes servers.
#[test]
fn segment_under_ends_of_foreign_segment() {
    let mut registry = SuspectRegistry::new(SuspectLimits::SHARING);
    let last = end_servers(&mut registry, CRASH_LIMIT, &[FIRST, GUILTY]);
    assert_eq!(
        verdict(&registry, last, &[FIRST, SOUND_REQUEST]),
        SuspectVerdict::Unrestricted
    );
    let held = [FIRST, GUILTY, SOUND_REQUEST];
    let refused = verdict(&registry, last, &held);
    assert!(
        matches!(refused, SuspectVerdict::Quarantined(_)),
        "{refused:?}"
    );
}

/// Guards against a segment that is excused for good by another one which met some of its crashes.
#[test]
fn segment_under_more_ends_than_foreign_segment() {
    let mut registry = SuspectRegistry::new(SuspectLimits::SHARING);
    end_servers(&mut registry, CRASH_LIMIT, &[FIRST, GUILTY]);
    let last = end_servers(&mut registry, CRASH_LIMIT + 1, &[GUILTY]);
    let refused = verdict(&registry, last, &[GUILTY, SOUND_REQUEST]);
    assert!(
        matches!(refused, SuspectVerdict::Quarantined(_)),
        "{refused:?}"
    );
}
