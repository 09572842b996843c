//! Links to entries: connections, received frames and the distribution of the configuration.

use std::sync::Arc;
use std::time::Duration;

use conf::SystemConfig;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::time::sleep;
use units::ConfigVersion;
use wire::{
    ConfigDocument,
    ConfigRequest,
    FrameKind,
    FrameLink,
    LeaveNotice,
    LinkSender,
    LinkTimeouts,
    WireError,
    accept_link, //
};

use crate::state::{
    EntryLink,
    SideShared, //
};

/// Delay after a failed accept, so that a persistent error causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process stops.
pub(crate) async fn accept_links(shared: Arc<SideShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(shared.clone(), stream));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Sends heartbeats and liveness signals of waiting jobs to all entries until the process stops.
pub(crate) async fn send_heartbeats(shared: Arc<SideShared>) {
    loop {
        sleep(shared.heartbeat_period()).await;
        shared.send_heartbeats();
        shared.signal_waiting_jobs();
    }
}

/// Authenticates an entry and serves its link until either side closes it.
async fn serve_link(shared: Arc<SideShared>, stream: TcpStream) {
    let timeouts = LinkTimeouts::default();
    let accepted = accept_link(stream, &shared.secret, &shared.identity, timeouts).await;
    let link = match accepted {
        Ok(link) => link,
        Err(error) => return shared.log_refused_link(&error),
    };
    let FrameLink {
        peer,
        sender,
        mut receiver,
    } = link;
    let link_id = shared.add_link(sender.clone());
    let record =
        DecisionRecord::new(DecisionKind::Link, "an entry connected").chosen(&peer.instance);
    shared.log.write(record);
    shared.send_first_heartbeat(link_id);
    if shared.lock().is_draining() {
        let _ = sender.send(FrameKind::Leave(LeaveNotice { leaving: true }));
    }
    let mut reason = String::from("the entry closed the connection");
    let mut stop = shared.stop.subscribe();
    loop {
        let next = tokio::select! {
            next = receiver.recv() => next,
            _ = stop.wait_for(|stopped| *stopped) => None,
        };
        match next {
            Some(Ok(kind)) => shared.handle_frame(link_id, &sender, kind),
            Some(Err(error)) => reason = error.to_string(),
            None => break,
        }
    }
    shared.remove_link(link_id);
    shared.cancel_link(link_id);
    let record = DecisionRecord::new(DecisionKind::Link, reason).chosen(&peer.instance);
    shared.log.write(record);
}

impl SideShared {
    fn log_refused_link(&self, error: &WireError) {
        let kind = match error {
            WireError::Unauthenticated | WireError::UnexpectedFrame | WireError::Decode { .. } => {
                self.metrics.intruders.inc();
                DecisionKind::Intruder
            }
            _ => DecisionKind::Link,
        };
        self.log.write(DecisionRecord::new(kind, error.to_string()));
    }

    fn add_link(&self, sender: LinkSender) -> u64 {
        let mut state = self.lock();
        let link_id = state.next_link;
        state.next_link += 1;
        let link = EntryLink {
            sender,
            sent_description: None,
        };
        state.links.insert(link_id, link);
        self.metrics.links.set(state.links.len() as i64);
        link_id
    }

    fn remove_link(&self, link_id: u64) {
        let mut state = self.lock();
        state.links.remove(&link_id);
        self.metrics.links.set(state.links.len() as i64);
    }

    fn handle_frame(self: &Arc<Self>, link_id: u64, sender: &LinkSender, kind: FrameKind) {
        match kind {
            FrameKind::Heartbeat(heartbeat) => {
                let current_version = self.lock().latest_config.version();
                if heartbeat.config_version > current_version.0 {
                    let _ = sender.send(FrameKind::ConfigRequest(ConfigRequest {
                        version: current_version.0,
                    }));
                }
            }
            FrameKind::Generate(request) => self.submit(request, link_id, sender.clone()),
            FrameKind::Cancel(cancel) => self.cancel_attempt(link_id, cancel.attempt),
            FrameKind::TicketRequest(request) => self.grant_tickets(&request, sender),
            FrameKind::Call(request) => self.handle_call(request, sender.clone()),
            FrameKind::Order(order) => self.handle_order(order, sender),
            FrameKind::Config(document) => self.apply_config(document),
            FrameKind::ConfigRequest(request) => self.send_config(request.version, sender),
            FrameKind::CrashNotice(notice) => self.relay_crash_notice(link_id, notice),
            // Other frames are only sent by side processes or during the handshake.
            _ => {}
        }
    }

    /// Sends the configuration if it is newer than the peer's version.
    fn send_config(&self, peer_version: u64, sender: &LinkSender) {
        let state = self.lock();
        let version = state.latest_config.version().0;
        if version > peer_version {
            let document = state.latest_config.document().clone();
            let _ = sender.send(FrameKind::Config(ConfigDocument { version, document }));
        }
    }

    /// Applies a received configuration if it is valid and newer than the current one.
    fn apply_config(self: &Arc<Self>, config_document: ConfigDocument) {
        let Ok(config_book) = SystemConfig::from_json(&config_document.document) else {
            let reason = "rejected a configuration that cannot be parsed";
            self.log
                .write(DecisionRecord::new(DecisionKind::Config, reason));
            return;
        };
        let mut state = self.lock();
        let version = ConfigVersion(config_document.version);
        if config_book.version != version
            || !state
                .latest_config
                .update(version, config_document.document)
        {
            return;
        }
        state
            .scheduler
            .set_minimum_shares(config_book.minimum_shares());
        let drained = config_book.drains.contains(&self.identity.instance);
        let drain_changed = drained != state.drained_by_config;
        state.drained_by_config = drained;
        state.update_accepting();
        self.run_scheduler(&mut state);
        drop(state);
        self.metrics.config_version.set(version.0 as i64);
        let record = DecisionRecord::new(
            DecisionKind::Config,
            "applied a newer configuration version",
        );
        self.log.write(record.chosen(version));
        if drain_changed {
            self.announce_draining(
                drained,
                "this instance was added to or removed from the configuration's drains",
            );
        }
        // The heartbeats tell entries with an older configuration to request this version.
        self.send_heartbeats();
    }

    /// Logs and tells all entries whether this process refuses new requests.
    pub(crate) fn announce_draining(&self, leaving: bool, reason: &str) {
        let record = DecisionRecord::new(DecisionKind::Drain, reason).chosen(leaving);
        self.log.write(record);
        self.broadcast(&FrameKind::Leave(LeaveNotice { leaving }));
    }
}
