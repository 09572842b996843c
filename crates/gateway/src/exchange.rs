//! Tells other gateways the load at backend servers, and takes theirs.

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
    CrashId,
    PrefillBacklog,
    choose_members, //
};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{
    Instant,
    sleep, //
};
use twox_hash::XxHash3_64;
use units::{
    FingerprintId,
    IncarnationId,
    InstanceId, //
};
use wire::{
    CrashSuspect,
    GatewayLoad,
    ServerLoad, //
};

use crate::shared::GatewayShared;

/// Shortest and longest pause between two messages to each peer.
const SHARE_PAUSES: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(400)];
/// Bytes a second that go to all peers; most of what a daemon may spend for control.
const SHARE_BYTES: f64 = 20_000.0;
/// Peers that get this gateway's load; with more gateways, what is heard stands for all.
const PEER_LIMIT: usize = 8;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 16 * 1024;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Identity of a backend server in messages.
fn backend_hash(instance: &InstanceId) -> u32 {
    XxHash3_64::oneshot(instance.as_str().as_bytes()) as u32
}

/// Sends this gateway's load to its peers, until aborted.
pub(crate) async fn send_shares(shared: Arc<GatewayShared>, socket: Arc<UdpSocket>) {
    let incarnation = IncarnationId(rand::random());
    let mut number = 0;
    let [mut pause, longest] = SHARE_PAUSES;
    loop {
        sleep(pause).await;
        number += 1;
        let share = make_share(&shared, incarnation, number).encode_to_vec();
        let peers = peers(&shared);
        let bytes = (share.len() * peers.len()) as f64;
        pause = Duration::from_secs_f64(bytes / SHARE_BYTES).clamp(SHARE_PAUSES[0], longest);
        for peer in peers {
            // A datagram that is lost is replaced by the next one.
            let _ = socket.send_to(&share, peer).await;
        }
        take_others(&shared);
    }
}

fn peers(shared: &GatewayShared) -> Vec<SocketAddr> {
    let state = shared.lock();
    let own = &shared.settings.instance;
    let others = state.members.keys().filter(|member| *member != own);
    let chosen: BTreeSet<InstanceId> = choose_members(own, others, PEER_LIMIT);
    chosen.iter().map(|member| state.members[member]).collect()
}

fn make_share(shared: &GatewayShared, incarnation: IncarnationId, number: u64) -> GatewayLoad {
    let state = shared.lock();
    let busy = state
        .fleet
        .views()
        .filter(|view| view.own_load.requests > 0);
    let loads = busy.map(|view| ServerLoad {
        backend: backend_hash(&view.record.instance),
        requests: view.own_load.requests,
        prompt_tokens: view.own_load.prefill_backlog.counts(),
        memory_tokens: view.own_load.kv_cache_tokens.try_into().unwrap_or(u32::MAX),
    });
    let crashes = state
        .own_crashes
        .iter()
        .map(|(fingerprint, crash)| CrashSuspect {
            fingerprint: fingerprint.0,
            crash: crash.0,
        });
    GatewayLoad {
        instance: shared.settings.instance.to_string(),
        incarnation: incarnation.0,
        number,
        loads: loads.collect(),
        crashes: crashes.collect(),
    }
}

/// Counts the load of the others at each backend server.
fn take_others(shared: &GatewayShared) {
    let mut guard = shared.lock();
    let state = &mut *guard;
    state.peers.expire(Instant::now());
    let others = state.members.len().saturating_sub(1);
    for view in state.fleet.views_mut() {
        let hash = backend_hash(&view.record.instance);
        view.peer_load = state.peers.load_at(hash, others);
    }
}

/// Takes the load of other gateways, until aborted.
pub(crate) async fn receive_shares(shared: Arc<GatewayShared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => take_share(&shared, sender, &buffer[..length]),
            Err(error) => {
                let record = DecisionRecord::new(DecisionKind::Member, "exchange failed");
                shared.log.write(record.input("error", error.to_string()));
                sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn take_share(shared: &GatewayShared, sender: SocketAddr, data: &[u8]) {
    let Ok(share) = GatewayLoad::decode(data) else {
        return;
    };
    let Ok(peer) = share.instance.parse::<InstanceId>() else {
        return;
    };
    let now = Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    // Only members of the platform's store are heard.
    if state.members.get(&peer).map(SocketAddr::ip) != Some(sender.ip()) {
        return;
    }
    let loads: BTreeMap<u32, BackendLoad> = share.loads.iter().map(read_load).collect();
    let incarnation = IncarnationId(share.incarnation);
    state
        .peers
        .apply(now, peer, incarnation, share.number, loads);
    for crash in &share.crashes {
        let fingerprint = FingerprintId(crash.fingerprint);
        let id = CrashId(crash.crash);
        state.suspects.record_crash(now, id, &[fingerprint]);
    }
}

fn read_load(load: &ServerLoad) -> (u32, BackendLoad) {
    let work = BackendLoad {
        requests: load.requests,
        prefill_backlog: PrefillBacklog::from_counts(&load.prompt_tokens),
        kv_cache_tokens: load.memory_tokens.into(),
    };
    (load.backend, work)
}
