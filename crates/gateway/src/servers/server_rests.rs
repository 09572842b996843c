//! Backend servers that turn this gateway away and name the time for which they want no more from it.

use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use tokio::time::Instant;

use crate::shared::GatewayShared;
use crate::tokens::server_limits::LimitQuestion;

/// Records the rest that an answer names. An answer of another process is ignored.
pub(crate) fn record_rest(shared: &GatewayShared, question: &LimitQuestion, rest: Duration) {
    let now = Instant::now();
    let mut state = shared.lock();
    let started = question.started_unix_ms;
    let Some(view) = state.fleet.process_mut(&question.instance, started) else {
        return;
    };
    let requests = view.own_load.requests;
    if !view.rest.observe(question.asked_at, now, rest, requests) {
        return;
    }
    drop(state);
    shared.metrics.rests.inc();
    let record = DecisionRecord::new(DecisionKind::Backend, "backend server rests")
        .chosen(&question.instance)
        .input("incarnation", started)
        .input("rest_ms", rest.as_millis().min(u64::MAX.into()) as u64)
        .input("requests", requests);
    shared.log.write(record);
}

/// Logs the rests that have ended, and lets the requests that wait for them try again.
pub(crate) fn report_ended_rests(shared: &GatewayShared) {
    let ended = shared.lock().fleet.take_ended_rests(Instant::now());
    for server in &ended {
        let record = DecisionRecord::new(DecisionKind::Backend, "rest of a backend server ended");
        shared.log.write(record.chosen(server));
    }
    if !ended.is_empty() {
        shared.token_news.notify_waiters();
    }
}
