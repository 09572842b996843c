//! Which requests a draining process accepts, and when it gives up those that it has.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    AnswerEstimate,
    AnswerSample,
    AnswerTimes,
    DrainDecision,
    DrainWindow, //
};
use tokio::time::Instant;
use units::RouteName;

const GRACE: Duration = Duration::from_secs(8);
/// Time until callers know of the drain.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// Time of an answer on idle servers.
const UNLOADED: Duration = Duration::from_millis(300);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route() -> RouteName {
    "question".parse().unwrap()
}

/// Returns whether a request whose caller waits for long is accepted on an estimate.
fn expects(window: &DrainWindow, now: Instant, estimate: &AnswerEstimate) -> bool {
    window.decide(now, far(now), estimate) == DrainDecision::Expected
}

/// Returns the deadline of a caller that waits for long.
fn far(now: Instant) -> Instant {
    now + Duration::from_secs(60)
}

/// Records answers with the given times in milliseconds from arrival and from the first event to the end.
fn answer_times(now: Instant, samples: &[(u64, u64)]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for (total, run) in samples {
        let sample = AnswerSample {
            total: millis(*total),
            run: millis(*run),
        };
        times.record(now, &route(), sample);
    }
    times
}

/// Guards against streams that are accepted although each waits in a full queue and ends after the process.
#[test]
fn accepts_queue_of_three_rounds() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let estimate = answer_times(now, &[(9_600, 2_400); 20]).estimate(now, &route(), 3, UNLOADED);
    assert_eq!(estimate.longest, millis(9_600));
    assert!(!expects(&window, now, &estimate));
}

/// Guards against a queue that has grown since the latest answers.
#[test]
fn accepts_queue_grown_since() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let times = answer_times(now, &[(2_500, 2_400); 20]);
    assert!(expects(
        &window,
        now,
        &times.estimate(now, &route(), 0, UNLOADED)
    ));
    assert!(!expects(
        &window,
        now,
        &times.estimate(now, &route(), 3, UNLOADED)
    ));
}

/// Guards against short requests that are refused for what their route allows, while their callers cannot know
/// of the drain, and against those that are accepted on an estimate when they can.
#[test]
fn decide_short_answers() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let estimate = answer_times(now, &[(60, 60); 20]).estimate(now, &route(), 0, UNLOADED);
    assert!(expects(&window, now, &estimate));
    assert!(expects(&window, now + millis(2_799), &estimate));
    assert!(!expects(&window, now + millis(2_800), &estimate));
    let short = DrainWindow::new(now, NOTICE_TIME, millis(1_500));
    assert!(expects(&short, now + millis(700), &estimate));
    assert!(!expects(&short, now + millis(960), &estimate));
}

/// Guards against requests that are refused, for how long the process has drained or for an estimate, although
/// they end in time in any case, and against those that do not and are taken for such.
#[test]
fn decide_short_deadlines() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let estimate = answer_times(now, &[(9_600, 2_400); 20]).estimate(now, &route(), 3, UNLOADED);
    for (at, deadline, decision) in [
        (100, 7_500, DrainDecision::EndsInTime),
        (100, 7_501, DrainDecision::Refused),
        (7_000, 7_500, DrainDecision::EndsInTime),
        (7_400, 7_460, DrainDecision::EndsInTime),
        (7_400, 7_560, DrainDecision::Refused),
    ] {
        let decided = window.decide(now + millis(at), now + millis(deadline), &estimate);
        assert_eq!(decided, decision, "{at} ms, deadline at {deadline} ms");
    }
}

/// Guards against an estimate from complete answers alone, which are the fast ones while times rise.
#[test]
fn decide_slow_answer_under_way() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let mut times = answer_times(now, &[(300, 250); 40]);
    let slow = now - millis(5_000);
    times.start(&route(), slow);
    times.start(&route(), slow);
    let at = now + millis(1_500);
    assert!(!expects(
        &window,
        at,
        &times.estimate(at, &route(), 0, UNLOADED)
    ));
    times.finish(&route(), slow);
    assert!(!expects(
        &window,
        at,
        &times.estimate(at, &route(), 0, UNLOADED)
    ));
    times.finish(&route(), slow);
    assert!(expects(
        &window,
        at,
        &times.estimate(at, &route(), 0, UNLOADED)
    ));
}

/// Guards against streams that are accepted since most end in time, and are cut if they are among the slow
/// ones.
#[test]
fn accepts_few_slow_streams() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let mut samples = vec![(1_800, 1_700); 40];
    samples.push((4_300, 4_200));
    let estimate = answer_times(now, &samples).estimate(now, &route(), 0, UNLOADED);
    assert!(expects(&window, now + millis(1_000), &estimate));
    assert!(!expects(&window, now + millis(3_560), &estimate));
    let short = DrainWindow::new(now, NOTICE_TIME, millis(6_000));
    assert!(expects(&short, now + millis(1_150), &estimate));
    assert!(!expects(&short, now + millis(1_250), &estimate));
}

/// Guards against a process without recent answers that accepts nothing, or everything.
#[test]
fn accepts_without_samples() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let old = answer_times(now, &[(9_600, 9_600)]);
    let now = now + Duration::from_secs(31);
    let estimate = old.estimate(now, &route(), 1, UNLOADED);
    assert_eq!(estimate.longest, 2 * UNLOADED);
    assert_eq!(estimate.least_run, Duration::ZERO);
    assert!(!expects(&window, now, &estimate), "the window has passed");
}

/// Guards against a request that waits in the gateway until there is no time left to run it.
#[test]
fn give_up_at_not_run() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let estimate = answer_times(now, &[(3_000, 2_400); 8]).estimate(now, &route(), 0, UNLOADED);
    let at = window.give_up_at(now - millis(200), far(now), false, &estimate);
    assert_eq!(at, Some(now + millis(7_500 - 2_400)));
}

/// Guards against running requests that are given up for a pessimistic guess, and against those in a queue
/// that are held to the end though they cannot be answered.
#[test]
fn give_up_at_may_have_run() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let mixed = [
        (500, 400),
        (600, 400),
        (9_000, 400),
        (9_000, 400),
        (9_000, 400),
    ];
    let estimate = answer_times(now, &mixed).estimate(now, &route(), 0, UNLOADED);
    assert_eq!(
        window.give_up_at(now, far(now), true, &estimate),
        Some(window.answer_by)
    );
    let estimate = answer_times(now, &[(9_600, 2_400); 20]).estimate(now, &route(), 3, UNLOADED);
    assert_eq!(
        window.give_up_at(now - millis(500), far(now), true, &estimate),
        Some(now)
    );
    let early = now - millis(3_000);
    assert_eq!(
        window.give_up_at(early, far(now), true, &estimate),
        Some(window.answer_by)
    );
}

/// Guards against requests that are accepted since they end in time in any case and are given up at once.
#[test]
fn give_up_at_short_deadline() {
    let now = Instant::now();
    let window = DrainWindow::new(now, NOTICE_TIME, GRACE);
    let estimate = answer_times(now, &[(3_000, 2_400); 8]).estimate(now, &route(), 0, UNLOADED);
    for at in [millis(0), millis(4_600), millis(7_000)] {
        let arrived = now + at;
        let decision = window.decide(arrived, window.answer_by, &estimate);
        assert_eq!(decision, DrainDecision::EndsInTime);
        for may_have_run in [false, true] {
            let given_up = window.give_up_at(arrived, window.answer_by, may_have_run, &estimate);
            assert_eq!(given_up, None, "{at:?}");
        }
    }
}

/// Guards against a table that grows with the routes that come and go.
#[test]
fn record_many_routes() {
    let now = Instant::now();
    let mut times = AnswerTimes::default();
    let sample = AnswerSample {
        total: millis(5_000),
        run: millis(5_000),
    };
    for number in 0..3_000 {
        let route: RouteName = format!("route-{number}").parse().unwrap();
        times.record(now, &route, sample);
    }
    let estimate = |number: u32| {
        let route: RouteName = format!("route-{number}").parse().unwrap();
        times.estimate(now, &route, 0, UNLOADED)
    };
    assert_eq!(estimate(0).longest, millis(5_000));
    assert_eq!(
        estimate(2_999),
        AnswerEstimate {
            longest: UNLOADED,
            ..AnswerEstimate::default()
        }
    );
}
