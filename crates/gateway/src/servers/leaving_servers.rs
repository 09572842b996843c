//! Backend servers that say in their answers that they leave, as this gateway or another one has heard.

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::LeavingNotice;
use units::InstanceId;
use wire::LeavingServer;

use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::server_limits::LimitQuestion;

/// Maximum number of leaving servers in one load report.
const MAX_REPORTED_SERVERS: usize = 64;

/// Records what an answer says of whether its server leaves.
pub(crate) fn record_notice(
    shared: &GatewayShared,
    question: &LimitQuestion,
    notice: LeavingNotice,
) {
    match notice {
        LeavingNotice::None => {}
        LeavingNotice::Leaving => {
            let started = question.started_unix_ms;
            record_leaving(shared, &question.instance, started, "own");
        }
        LeavingNotice::Malformed => shared.metrics.malformed_notices.inc(),
    }
}

/// Records that a process leaves. One that is no longer there is ignored.
fn record_leaving(
    shared: &GatewayShared,
    server: &InstanceId,
    started_unix_ms: Option<u64>,
    source: &str,
) {
    let mut state = shared.lock();
    let view = state.fleet.process_mut(server, started_unix_ms);
    if !view.is_some_and(|view| view.record_leaving()) {
        return;
    }
    drop(state);
    shared.metrics.leaving_notices.inc();
    let record = DecisionRecord::new(DecisionKind::Backend, "backend server says that it leaves")
        .chosen(server)
        .input("incarnation", started_unix_ms)
        .input("source", source);
    shared.log.write(record);
    shared.peer_news.notify_one();
    shared.token_news.notify_waiters();
}

/// Returns the leaving servers for a load report.
pub(crate) fn leaving_reports(state: &GatewayState) -> Vec<LeavingServer> {
    let leaving = state.fleet.views().filter(|view| view.is_leaving());
    let reports = leaving.map(|view| LeavingServer {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
    });
    reports.take(MAX_REPORTED_SERVERS).collect()
}

/// Merges the leaving servers that a peer has reported.
pub(crate) fn merge_leaving_reports(
    shared: &GatewayShared,
    peer: &InstanceId,
    reports: &[LeavingServer],
) {
    for report in reports {
        if let Ok(server) = report.server.parse() {
            record_leaving(shared, &server, report.started_unix_ms, peer.as_str());
        }
    }
}
