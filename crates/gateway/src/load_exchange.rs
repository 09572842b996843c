//! Exchange of load reports between gateways, as UDP datagrams.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    BackendLoad,
    PrefillBacklog,
    choose_members, //
};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use twox_hash::XxHash3_64;
use units::{
    IncarnationId,
    InstanceId,
    SuspectId, //
};
use wire::{
    GatewayLoad,
    ServerLoad, //
};

use crate::servers::leaving_servers::{
    leaving_reports,
    merge_leaving_reports, //
};
use crate::shared::GatewayShared;
use crate::suspects::suspect_report::{
    add_reports,
    parse_reports,
    report_bytes, //
};
use crate::suspects::suspect_sharing::merge_peer_evidence;
use crate::tokens::server_limits::{
    limit_reports,
    merge_limit_reports, //
};
use crate::tokens::token_exchange::accept_token_message;
use crate::versions::origin_messages::accept_stream_message;

/// Minimum and maximum interval between load reports to each peer.
const REPORT_INTERVALS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(400)];
/// Target rate of load reports to all peers together, which is most of a daemon's bandwidth limit for
/// control traffic.
const REPORT_BYTES_PER_SECOND: f64 = 20_000.0;
/// Maximum number of peers that receive this gateway's load reports. With more gateways, each one
/// extrapolates the load of all peers from the reports that it receives.
const MAX_PEERS: usize = 8;
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the hash that identifies a backend server in load reports.
fn backend_hash(instance: &InstanceId) -> u32 {
    XxHash3_64::oneshot(instance.as_str().as_bytes()) as u32
}

/// Sends load reports to the selected peers, until aborted.
pub(crate) async fn send_load_reports(shared: Arc<GatewayShared>, socket: Arc<UdpSocket>) {
    let incarnation = IncarnationId(rand::random());
    let mut number = 0;
    let [mut interval, longest_interval] = REPORT_INTERVALS;
    loop {
        // Evidence on suspects is sent at once, but no sooner than the shortest interval allows.
        sleep(REPORT_INTERVALS[0]).await;
        let remaining = interval.saturating_sub(REPORT_INTERVALS[0]);
        let _ = timeout(remaining, shared.peer_news.notified()).await;
        number += 1;
        let report = build_load_report(&shared, incarnation, number).encode_to_vec();
        let peers = choose_peers(&shared);
        let bytes = (report.len() * peers.len()) as f64;
        interval = Duration::from_secs_f64(bytes / REPORT_BYTES_PER_SECOND)
            .clamp(REPORT_INTERVALS[0], longest_interval);
        for peer in peers {
            // The next report replaces one that could not be sent or got lost.
            let _ = socket.send_to(&report, peer).await;
        }
        update_peer_loads(&shared);
    }
}

fn choose_peers(shared: &GatewayShared) -> Vec<SocketAddr> {
    let state = shared.lock();
    let own_instance = &shared.settings.instance;
    let peers = state
        .members
        .keys()
        .filter(|member| *member != own_instance);
    let chosen: BTreeSet<InstanceId> = choose_members(own_instance, peers, MAX_PEERS);
    chosen.iter().map(|member| state.members[member]).collect()
}

fn build_load_report(
    shared: &GatewayShared,
    incarnation: IncarnationId,
    number: u64,
) -> GatewayLoad {
    let now = Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let registry = &state.suspects;
    let count = |suspect: SuspectId| registry.crash_count(suspect);
    let bytes = |suspect: SuspectId| {
        let evidence = registry.evidence(suspect);
        evidence.map_or(0, |evidence| report_bytes(now, &evidence))
    };
    let reported = state.suspect_news.take_reported(count, bytes).into_iter();
    let evidence = reported.filter_map(|suspect| registry.evidence(suspect));
    let mut report = GatewayLoad {
        instance: shared.settings.instance.to_string(),
        incarnation: incarnation.0,
        number,
        ..GatewayLoad::default()
    };
    add_reports(now, evidence, &mut report);
    let busy_views = state
        .fleet
        .views()
        .filter(|view| view.own_load.requests > 0);
    let loads = busy_views.map(|view| ServerLoad {
        backend: backend_hash(&view.record.instance),
        requests: view.own_load.requests,
        prompt_tokens: view.own_load.prefill_backlog.counts(),
        memory_tokens: view.own_load.kv_cache_tokens.try_into().unwrap_or(u32::MAX),
    });
    report.loads = loads.collect();
    report.limits = limit_reports(now, state);
    report.leaving = leaving_reports(state);
    report
}

/// Removes expired load reports and updates the peer load of each backend server.
fn update_peer_loads(shared: &GatewayShared) {
    let mut guard = shared.lock();
    let state = &mut *guard;
    state.peer_loads.expire(Instant::now());
    let peer_count = state.members.len().saturating_sub(1);
    for view in state.fleet.views_mut() {
        let hash = backend_hash(&view.record.instance);
        view.peer_load = state.peer_loads.load_at(hash, peer_count);
    }
}

/// Receives load reports of other gateways, until aborted.
pub(crate) async fn receive_load_reports(shared: Arc<GatewayShared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => accept_load_report(&shared, sender, &buffer[..length]),
            Err(error) => {
                let record =
                    DecisionRecord::new(DecisionKind::Member, "load report could not be received");
                shared.log.write(record.input("error", error.to_string()));
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

fn accept_load_report(shared: &GatewayShared, sender: SocketAddr, data: &[u8]) {
    if accept_token_message(shared, sender, data) || accept_stream_message(shared, sender, data) {
        return;
    }
    let report = match GatewayLoad::decode(data) {
        Ok(report) => report,
        Err(error) => {
            let record =
                DecisionRecord::new(DecisionKind::Member, "load report could not be decoded");
            let record = record.input("error", error.to_string());
            shared.log.write(record.input("bytes", data.len()));
            return;
        }
    };
    let Ok(peer) = report.instance.parse::<InstanceId>() else {
        return;
    };
    let now = Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    // Accepts reports only from the IP address under which the peer is registered in the store.
    if state.members.get(&peer).map(SocketAddr::ip) != Some(sender.ip()) {
        return;
    }
    let loads: BTreeMap<u32, BackendLoad> = report.loads.iter().map(parse_server_load).collect();
    let incarnation = IncarnationId(report.incarnation);
    state
        .peer_loads
        .apply(now, peer.clone(), incarnation, report.number, loads);
    drop(guard);
    merge_limit_reports(shared, &peer, &report.limits);
    merge_leaving_reports(shared, &peer, &report.leaving);
    for evidence in parse_reports(now, &report) {
        merge_peer_evidence(shared, &peer, &evidence);
    }
}

fn parse_server_load(load: &ServerLoad) -> (u32, BackendLoad) {
    let backend_load = BackendLoad {
        requests: load.requests,
        prefill_backlog: PrefillBacklog::from_counts(&load.prompt_tokens),
        kv_cache_tokens: load.memory_tokens.into(),
    };
    (load.backend, backend_load)
}
