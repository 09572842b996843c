//! Maintains the link to one side process and handles the frames received over it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CostModel,
    CrashId,
    EngineRole,
    LoadReport,
    RankMap,
    ServerCrash,
    SideTimestamp, //
};
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};
use units::{
    AttemptId,
    ConfigVersion,
    DataCentre,
    EngineSeconds,
    FingerprintId,
    InstanceId,
    PieceCount,
    TokenCount, //
};
use wire::{
    BackendDescription,
    ConfigDocument,
    ConfigRequest,
    CrashNotice,
    FinishCode,
    FrameKind,
    FrameLink,
    LinkTimeouts,
    LoadStatus,
    connect_link, //
};

use crate::attempt_table::AttemptEvent;
use crate::state::{
    EntryShared,
    SideLink, //
};

/// Heartbeat period while few side processes are connected.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Longest heartbeat period. It is shorter than the idle timeout of links, after which a side
/// process closes the link.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_millis(900);
/// Share of the heartbeat period for each connected side process, which limits the total rate of
/// heartbeats.
const HEARTBEAT_PERIOD_PER_SIDE: Duration = Duration::from_millis(15);
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// Instance and address of a side process.
#[derive(Debug, Clone)]
pub(crate) struct SideAddress {
    pub(crate) instance: InstanceId,
    pub(crate) data_centre: DataCentre,
    pub(crate) address: SocketAddr,
}

/// Connects to a side process, serves the link and reconnects, until aborted.
pub(crate) async fn maintain_link(shared: Arc<EntryShared>, side: SideAddress) {
    let mut reconnect_delay = MIN_RECONNECT_DELAY;
    loop {
        let timeouts = LinkTimeouts::default();
        let connection = connect_link(side.address, &shared.secret, &shared.identity, timeouts);
        match connection.await {
            Ok(link) if link.peer.instance == side.instance => {
                reconnect_delay = MIN_RECONNECT_DELAY;
                let reason = serve_link(&shared, &side, link).await;
                shared.remove_link(&side.instance, &reason);
            }
            Ok(link) => {
                let reason = format!(
                    "address answered as another instance: {}",
                    link.peer.instance
                );
                shared.log_link(DecisionKind::Intruder, &side.instance, &reason);
            }
            Err(error) => {
                let kind = match error {
                    wire::WireError::Unauthenticated => DecisionKind::Intruder,
                    _ => DecisionKind::Link,
                };
                shared.log_link(kind, &side.instance, &error.to_string());
            }
        }
        sleep(reconnect_delay).await;
        reconnect_delay = (reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Serves a link until it closes and returns the reason.
async fn serve_link(shared: &Arc<EntryShared>, side: &SideAddress, link: FrameLink) -> String {
    let FrameLink {
        peer,
        sender,
        mut receiver,
    } = link;
    let side_link = SideLink {
        sender: sender.clone(),
        incarnation: peer.incarnation,
        service: None,
        load: LoadStatus::default(),
        backend: BackendDescription::default(),
        draining: false,
    };
    {
        let mut state = shared.lock();
        state.links.insert(side.instance.clone(), side_link);
        shared.metrics.links.set(state.links.len() as i64);
    }
    shared.log_link(DecisionKind::Link, &side.instance, "connected");
    let mut next_heartbeat = Instant::now();
    loop {
        tokio::select! {
            _ = sleep_until(next_heartbeat) => {
                let _ = sender.send(shared.heartbeat());
                next_heartbeat = Instant::now() + shared.heartbeat_period();
            }
            received = receiver.recv() => match received {
                Some(Ok(frame)) => shared.handle_frame(side, frame),
                Some(Err(error)) => return error.to_string(),
                None => return "side process closed the link".into(),
            },
        }
    }
}

impl EntryShared {
    /// Returns the time until the next heartbeat on a link.
    fn heartbeat_period(&self) -> Duration {
        let sides = self.lock().links.len() as u32;
        (HEARTBEAT_PERIOD_PER_SIDE * sides).clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD)
    }

    pub(crate) fn log_link(&self, kind: DecisionKind, instance: &InstanceId, reason: &str) {
        self.log
            .write(DecisionRecord::new(kind, reason).chosen(instance));
    }

    /// Removes a closed link and notifies its attempts.
    pub(crate) fn remove_link(&self, instance: &InstanceId, reason: &str) {
        let mut state = self.lock();
        state.links.remove(instance);
        state.router.remove(instance);
        state.planner_lease.remove_side(instance);
        state.attempts.notify_link_lost(instance);
        self.metrics.links.set(state.links.len() as i64);
        drop(state);
        self.log_link(DecisionKind::Link, instance, reason);
    }

    fn handle_frame(&self, side: &SideAddress, frame: FrameKind) {
        let instance = &side.instance;
        match frame {
            FrameKind::Heartbeat(heartbeat) => {
                self.update_load(side, heartbeat.load, heartbeat.backend);
                self.request_config(instance, ConfigVersion(heartbeat.config_version));
            }
            FrameKind::Chunk(chunk) => {
                let event = AttemptEvent::Chunk {
                    offset: TokenCount(chunk.offset),
                    tokens: TokenCount(chunk.tokens),
                    data: chunk.text,
                };
                self.deliver(instance, chunk.attempt, event);
            }
            FrameKind::End(end) => {
                let event = AttemptEvent::End {
                    total: TokenCount(end.total_tokens),
                    finish: end.finish(),
                    kv_handle: end.kv_handle,
                };
                self.deliver(instance, end.attempt, event);
            }
            FrameKind::Refusal(refusal) => {
                let event = AttemptEvent::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                self.deliver(instance, refusal.attempt, event);
            }
            FrameKind::Outcome(outcome) => {
                let attempt = outcome.attempt;
                self.deliver(instance, attempt, AttemptEvent::Outcome(outcome));
            }
            FrameKind::TicketGrant(grant) => {
                let event = AttemptEvent::Tickets(grant.tickets);
                self.deliver(instance, grant.attempt, event);
            }
            FrameKind::Verdict(verdict) if !verdict.accepted => {
                self.log_link(DecisionKind::RefuseOrder, instance, &verdict.reason);
            }
            FrameKind::Leave(notice) => self.update_drain(instance, notice.leaving),
            FrameKind::Config(document) => {
                self.apply_config(ConfigVersion(document.version), document.document);
            }
            FrameKind::ConfigRequest(request) => self.send_config(instance, request.version),
            FrameKind::CrashNotice(notice) => self.record_crash_notice(instance, notice),
            // Other frames are sent only by entries or belong to the handshake.
            _ => {}
        }
    }

    fn deliver(&self, side: &InstanceId, attempt: u64, event: AttemptEvent) {
        self.lock()
            .attempts
            .deliver(side, AttemptId(attempt), event);
    }

    /// Records a load report and the description of the backend server.
    fn update_load(
        &self,
        side: &SideAddress,
        load: Option<LoadStatus>,
        backend: Option<BackendDescription>,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        let Some(link) = state.links.get_mut(&side.instance) else {
            return;
        };
        if let Some(backend) = backend {
            link.service = backend.service.parse().ok();
            link.backend = backend;
        }
        let Some(load) = load else {
            return;
        };
        link.load = load;
        let timestamp = SideTimestamp(Duration::from_millis(link.load.clock_ms));
        let incarnation = link.incarnation;
        let link_draining = link.draining;
        let report = make_load_report(&link.backend, &link.load);
        let backend = &link.backend;
        let cost = CostModel::new(backend.prefill_seconds, backend.decode_seconds);
        let piece_tokens = backend.piece_tokens.max(1);
        state
            .planner_lease
            .record_timestamp(&side.instance, incarnation, timestamp);
        let Some(report) = report else {
            return;
        };
        state.cost_model = cost;
        state.piece_tokens = piece_tokens;
        state
            .router
            .record_report(now, &side.instance, &side.data_centre, report);
        let record = state.instances.get(&side.instance);
        let instance_draining =
            record.is_some_and(|record| record.state == store::InstanceState::Leaving);
        state
            .router
            .set_draining(&side.instance, link_draining || instance_draining);
    }

    /// Records that a side process started or stopped draining.
    fn update_drain(&self, instance: &InstanceId, draining: bool) {
        let mut state = self.lock();
        if let Some(link) = state.links.get_mut(instance) {
            link.draining = draining;
        }
        state.router.set_draining(instance, draining);
        drop(state);
        let reason = if draining {
            "side process started to drain"
        } else {
            "side process stopped draining"
        };
        self.log_link(DecisionKind::Drain, instance, reason);
    }

    /// Requests the configuration of a side process that has a newer version.
    fn request_config(&self, instance: &InstanceId, offered_version: ConfigVersion) {
        let state = self.lock();
        let own_version = state.latest_config.version();
        if offered_version > own_version
            && let Some(link) = state.links.get(instance)
        {
            let _ = link.sender.send(FrameKind::ConfigRequest(ConfigRequest {
                version: own_version.0,
            }));
        }
    }

    /// Sends the configuration to a side process that has an older version.
    fn send_config(&self, instance: &InstanceId, known_version: u64) {
        let state = self.lock();
        let version = state.latest_config.version().0;
        if version <= known_version {
            return;
        }
        let document = state.latest_config.document().clone();
        if let Some(link) = state.links.get(instance) {
            let _ = link
                .sender
                .send(FrameKind::Config(ConfigDocument { version, document }));
        }
    }

    /// Records a crash and forwards the notice to all other side processes. These forward it to
    /// entries that have no link to the sender.
    fn record_crash_notice(&self, side: &InstanceId, notice: CrashNotice) {
        let fingerprints: Vec<FingerprintId> = notice
            .fingerprints
            .iter()
            .map(|fingerprint| FingerprintId(*fingerprint))
            .collect();
        let now = Instant::now();
        let Ok(server) = notice.instance.parse::<InstanceId>() else {
            return;
        };
        let crash = ServerCrash::confirmed(CrashId(notice.crash), server, now);
        let mut state = self.lock();
        if !state.suspects.record_crash(now, crash, &fingerprints) {
            return;
        }
        for (instance, link) in &state.links {
            if instance != side {
                let _ = link.sender.send(FrameKind::CrashNotice(notice.clone()));
            }
        }
        drop(state);
        for fingerprint in fingerprints {
            let reason = format!(
                "request {fingerprint} was running on {} when its backend server crashed",
                notice.instance
            );
            self.log
                .write(DecisionRecord::new(DecisionKind::Suspect, reason));
        }
    }
}

/// Returns the load report of an engine, or `None` for a plain service.
fn make_load_report(backend: &BackendDescription, load: &LoadStatus) -> Option<LoadReport> {
    if !backend.service.is_empty() {
        return None;
    }
    let role = backend.role.parse::<EngineRole>().ok()?;
    let models = backend
        .models
        .iter()
        .filter_map(|name| name.parse().ok())
        .collect();
    let expected_wait =
        |rank: policy::ServiceRank| load.wait_seconds.get(rank.index()).copied().unwrap_or(0.0);
    Some(LoadReport {
        role,
        models,
        expected_wait: RankMap::from_fn(|rank| EngineSeconds(f64::from(expected_wait(rank)))),
        remaining_decode: EngineSeconds(f64::from(load.running_seconds)),
        requested_prefill: EngineSeconds(load.prefill_total_seconds),
        requested_decode: EngineSeconds(load.decode_total_seconds),
        running_streams: load.running_streams,
        used_pieces: PieceCount(load.used_pieces),
        total_pieces: PieceCount(backend.pieces),
        accepting: load.accepting,
    })
}

/// Returns whether the answer ended because the model finished it or the caller's token limit was
/// reached.
pub(crate) fn is_complete(finish: FinishCode) -> bool {
    matches!(finish, FinishCode::Stop | FinishCode::Length)
}
