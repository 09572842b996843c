//! Which configuration of a peer replaces the own one, when it is asked for, and of whom.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    ConfigClaims,
    ConfigPosition,
    FIRST_BACKOFF,
    WATCH_TIME, //
};
use tokio::time::Instant;
use units::{
    ConfigVersion,
    InstanceId,
    StoreEra, //
};

const MS: Duration = Duration::from_millis(1);

fn position(era: u64, revision: u64, version: u64) -> ConfigPosition {
    ConfigPosition {
        era: Some(StoreEra(era)),
        revision,
        version: ConfigVersion(version),
    }
}

fn peer(number: usize) -> InstanceId {
    format!("g-{number}").parse().unwrap()
}

#[test]
fn replaces_by_era_revision_and_version() {
    let own = position(2, 100, 7);
    let cases = [
        (position(2, 101, 8), true),
        (position(3, 5, 8), true),
        (position(2, 100, 8), true),
        // The same configuration, seen again.
        (position(2, 101, 7), false),
        // Delayed messages and peers of an older era.
        (position(2, 99, 6), false),
        (position(1, 900, 9), false),
        // A later copy of the store with an earlier configuration.
        (position(3, 5, 6), false),
        (position(2, 99, 8), false),
    ];
    for (other, replaces) in cases {
        assert_eq!(other.replaces(Some(&own)), replaces, "{other:?}");
    }
    assert!(position(1, 1, 1).replaces(None));
}

#[test]
fn replaces_without_era() {
    let place = |revision, version| ConfigPosition {
        era: None,
        ..position(0, revision, version)
    };
    assert!(place(11, 4).replaces(Some(&place(10, 3))));
    assert!(!place(9, 4).replaces(Some(&place(10, 3))));
    assert!(position(1, 2, 4).replaces(Some(&place(10, 3))));
    assert!(!place(20, 4).replaces(Some(&position(1, 2, 3))));
}

/// Guards against a removed key that comes back at a gateway that starts after the store's return from
/// an earlier copy: the others have kept the later configuration, and have compared it with the copy's.
#[test]
fn confirmed_at_return_of_store() {
    let copy = position(2, 40, 5);
    let kept = position(1, 90, 7);
    assert!(!kept.replaces(Some(&copy)), "an older era may know nothing");
    let confirmed = kept.confirmed_at(copy);
    assert_eq!(confirmed, position(2, 40, 7));
    assert!(confirmed.replaces(Some(&copy)));
    assert_eq!(confirmed.confirmed_at(position(1, 90, 6)), confirmed);
    assert!(position(2, 50, 8).replaces(Some(&confirmed)));
}

/// Guards against a question to a peer while the own watch is only a little later than others'.
#[test]
fn pull_after_watch_time() {
    let now = Instant::now();
    let own = position(1, 10, 1);
    let mut claims = ConfigClaims::default();
    assert!(claims.record(now, &peer(1), position(1, 20, 2), Some(&own)));
    assert!(!claims.record(now + 200 * MS, &peer(1), position(1, 20, 2), Some(&own)));
    assert_eq!(claims.next_due(Some(&own)), Some(now + WATCH_TIME));
    assert_eq!(claims.next_pull(now + WATCH_TIME - MS, Some(&own), 0), None);
    let pulled = claims.next_pull(now + WATCH_TIME, Some(&own), 0);
    assert_eq!(pulled, Some(peer(1)));
    let caught_up = position(1, 20, 2);
    assert_eq!(claims.next_due(Some(&caught_up)), None);
    assert!(claims.is_empty());
}

/// Guards against questions during a series of changes that the own watch brings, each a little later.
#[test]
fn pull_never_while_watch_follows() {
    let start = Instant::now();
    let mut claims = ConfigClaims::default();
    for step in 0..40 {
        let now = start + step * 300 * MS;
        let version = u64::from(step) + 2;
        let own = position(1, version - 1, version - 1);
        claims.record(now, &peer(1), position(1, version, version), Some(&own));
        assert_eq!(claims.next_pull(now + 250 * MS, Some(&own), 0), None);
    }
}

/// Guards against a wait that begins again with each further version.
#[test]
fn pull_during_series_of_changes() {
    let start = Instant::now();
    let own = position(1, 1, 1);
    let mut claims = ConfigClaims::default();
    for step in 0..4 {
        let now = start + step * 200 * MS;
        let version = u64::from(step) + 2;
        claims.record(now, &peer(1), position(1, version, version), Some(&own));
    }
    assert_eq!(claims.next_due(Some(&own)), Some(start + WATCH_TIME));
}

/// Guards against one peer that is asked for ever, and against all that are asked at once.
#[test]
fn pull_from_others_after_failure() {
    let start = Instant::now();
    let own = position(1, 1, 1);
    let mut claims = ConfigClaims::default();
    for number in 1..=3 {
        claims.record(start, &peer(number), position(1, 5, 5), Some(&own));
    }
    claims.record(start, &peer(4), position(1, 4, 4), Some(&own));
    let now = start + WATCH_TIME;
    let mut asked = Vec::new();
    for _ in 0..4 {
        let next = claims.next_pull(now, Some(&own), 2).unwrap();
        claims.record_failure(now, &next);
        asked.push(next);
    }
    let latest: Vec<&InstanceId> = asked[..3].iter().collect();
    assert!(latest.iter().all(|asked| **asked != peer(4)), "{asked:?}");
    asked.sort();
    assert_eq!(asked, (1..=4).map(peer).collect::<Vec<_>>());
    assert_eq!(claims.next_pull(now, Some(&own), 0), None);
    assert_eq!(claims.next_due(Some(&own)), Some(now + FIRST_BACKOFF));
}

/// Guards against questions without end to a peer that claims what it does not have.
#[test]
fn pull_from_false_peer() {
    let start = Instant::now();
    let own = position(1, 1, 1);
    let mut claims = ConfigClaims::default();
    let mut now = start;
    let mut asked = 0;
    while now < start + Duration::from_secs(60) {
        claims.record(now, &peer(1), position(9, 9, 9), Some(&own));
        if let Some(next) = claims.next_pull(now, Some(&own), 0) {
            asked += 1;
            claims.record_failure(now, &next);
        }
        now += 50 * MS;
    }
    assert!(
        (20..=120).contains(&asked),
        "asked {asked} times in a minute"
    );
}

/// Guards against memory that grows with the peers.
#[test]
fn claims_bounded() {
    let now = Instant::now();
    let mut claims = ConfigClaims::default();
    for number in 0..370 {
        claims.record(now, &peer(number), position(1, 5, 5), None);
    }
    assert!(claims.len() <= 16);
}
