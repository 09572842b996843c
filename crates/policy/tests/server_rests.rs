//! Rests that backend servers ask this gateway for.

use std::time::Duration;

use policy::{
    RestState,
    ServerRest, //
};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a shorter rest in an answer that may have been overtaken, and against a longer one that
/// outlives a later answer.
#[test]
fn observe_answers_overtake() {
    let now = Instant::now();
    let mut rest = ServerRest::default();
    assert!(rest.observe(now, now + millis(20), 3 * SECOND, 4));
    // Sent before the first answer arrived.
    assert!(!rest.observe(now + millis(10), now + millis(30), SECOND, 4));
    let until = now + millis(3_020);
    assert_eq!(rest.state(now + SECOND, 0), RestState::Resting(until));
    // Sent after it.
    assert!(!rest.observe(now + millis(40), now + millis(50), SECOND, 4));
    let until = now + millis(1_050);
    assert_eq!(rest.state(now + SECOND, 0), RestState::Resting(until));
}

/// Guards against a time that overflows, and against a server that is never asked again.
#[test]
fn observe_very_long() {
    let now = Instant::now();
    let mut rest = ServerRest::default();
    rest.observe(now, now, Duration::MAX, 0);
    assert!(matches!(
        rest.state(now + 59 * SECOND, 0),
        RestState::Resting(_)
    ));
    assert_eq!(rest.state(now + 60 * SECOND, 0), RestState::Awake);
}

/// Guards against a rush at the end of a rest.
#[test]
fn state_after_rest() {
    let now = Instant::now();
    let mut rest = ServerRest::default();
    rest.observe(now, now, SECOND, 10);
    assert_eq!(rest.state(now + SECOND, 0), RestState::Awake);
    assert_eq!(rest.state(now + SECOND, 1), RestState::Starting);
    assert_eq!(rest.state(now + millis(1_500), 4), RestState::Awake);
    assert_eq!(rest.state(now + millis(1_500), 5), RestState::Starting);
    assert_eq!(rest.state(now + 2 * SECOND, 100), RestState::Awake);
    assert!(rest.take_end(now + SECOND));
    assert!(!rest.take_end(now + SECOND));
}
