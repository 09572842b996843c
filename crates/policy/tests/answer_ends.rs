//! Answers that end with their connection.

use std::time::Duration;

use policy::{
    AnswerEnd,
    EndVerdict,
    ProcessRequests,
    ProcessState,
    SiblingRequests, //
};
use tokio::time::Instant;

const SIBLINGS: [SiblingRequests; 3] = [
    SiblingRequests::UnderWay,
    SiblingRequests::EndedTogether,
    SiblingRequests::None,
];

fn verdicts(writer: ProcessState, is_leaving: bool) -> [EndVerdict; 3] {
    SIBLINGS.map(|siblings| {
        let end = AnswerEnd {
            is_reset: false,
            writer,
            is_leaving,
            siblings,
        };
        end.verdict()
    })
}

/// Guards against answers that are cut though their server still runs.
#[test]
fn verdict_running() {
    for writer in [ProcessState::Running, ProcessState::Listening] {
        for is_leaving in [false, true] {
            assert_eq!(verdicts(writer, is_leaving), [EndVerdict::Whole; 3]);
        }
    }
}

/// Guards against parts of answers as whole ones after their server has ended.
#[test]
fn verdict_ended() {
    let broken = [EndVerdict::BrokenOff; 3];
    assert_eq!(verdicts(ProcessState::Refusing, false), broken);
    for is_leaving in [false, true] {
        assert_eq!(verdicts(ProcessState::Replaced, is_leaving), broken);
    }
}

/// Guards against whole answers that are cut since their leaving server has stopped listening.
#[test]
fn verdict_leaving_refusing() {
    let expected = [
        EndVerdict::Whole,
        EndVerdict::BrokenOff,
        EndVerdict::PresumedWhole,
    ];
    assert_eq!(verdicts(ProcessState::Refusing, true), expected);
}

/// Guards against answers of busy servers that are cut or clear their requests.
#[test]
fn verdict_silent() {
    for is_leaving in [false, true] {
        let presumed = [EndVerdict::PresumedWhole; 3];
        assert_eq!(verdicts(ProcessState::Silent, is_leaving), presumed);
    }
}

/// Guards against parts of answers as whole ones, whose connections were reset amid their requests.
#[test]
fn verdict_reset() {
    let end = AnswerEnd {
        is_reset: true,
        writer: ProcessState::Running,
        is_leaving: false,
        siblings: SiblingRequests::UnderWay,
    };
    assert_eq!(end.verdict(), EndVerdict::BrokenOff);
}

/// Guards against siblings that are taken for ended or for running.
#[test]
fn siblings_ends() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut requests = ProcessRequests::default();
    for _ in 0..5 {
        requests.begin();
    }
    requests.record_end(at(0));
    assert_eq!(requests.siblings(at(0)), SiblingRequests::UnderWay);
    // The caller of one has left, which is no end of its process.
    requests.finish();
    requests.record_end(at(100));
    requests.record_end(at(200));
    assert_eq!(requests.siblings(at(200)), SiblingRequests::UnderWay);
    requests.record_end(at(209));
    assert_eq!(requests.siblings(at(200)), SiblingRequests::EndedTogether);
    assert_eq!(requests.siblings(at(209)), SiblingRequests::EndedTogether);
    assert_eq!(requests.siblings(at(100)), SiblingRequests::None);
}

/// Guards against records of processes that are kept for ever, or dropped while requests are under way.
#[test]
fn is_idle_after_ends() {
    let start = Instant::now();
    let mut requests = ProcessRequests::default();
    requests.begin();
    assert!(!requests.is_idle(start + Duration::from_secs(60)));
    requests.record_end(start);
    assert!(!requests.is_idle(start + Duration::from_secs(1)));
    assert!(requests.is_idle(start + Duration::from_secs(2)));
}
