//! Serves the links of entries.

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

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the process stops.
pub(crate) async fn accept_links(shared: Arc<SideShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(shared.clone(), stream));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Sends heartbeats to all entries until the process stops.
pub(crate) async fn send_heartbeats(shared: Arc<SideShared>) {
    loop {
        sleep(shared.heartbeat_period()).await;
        shared.send_heartbeats();
        shared.keep_waiting_alive();
    }
}

async fn serve_link(shared: Arc<SideShared>, stream: TcpStream) {
    let times = LinkTimeouts::default();
    let accepted = accept_link(stream, &shared.secret, &shared.identity, times).await;
    let link = match accepted {
        Ok(link) => link,
        Err(error) => return shared.log_refused_link(&error),
    };
    let FrameLink {
        peer,
        sender,
        mut receiver,
    } = link;
    let number = shared.add_link(sender.clone());
    let record =
        DecisionRecord::new(DecisionKind::Link, "an entry connected").chosen(&peer.instance);
    shared.log.write(record);
    shared.greet_entry(number);
    if shared.lock().is_leaving() {
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
            Some(Ok(kind)) => shared.take_frame(number, &sender, kind),
            Some(Err(error)) => reason = error.to_string(),
            None => break,
        }
    }
    shared.remove_link(number);
    shared.cancel_link(number);
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
        let number = state.next_link;
        state.next_link += 1;
        let link = EntryLink {
            sender,
            described: None,
        };
        state.links.insert(number, link);
        self.metrics.links.set(state.links.len() as i64);
        number
    }

    fn remove_link(&self, number: u64) {
        let mut state = self.lock();
        state.links.remove(&number);
        self.metrics.links.set(state.links.len() as i64);
    }

    fn take_frame(self: &Arc<Self>, link: u64, sender: &LinkSender, kind: FrameKind) {
        match kind {
            FrameKind::Heartbeat(beat) => {
                let have = self.lock().latest_config.version();
                if beat.config_version > have.0 {
                    let _ =
                        sender.send(FrameKind::ConfigRequest(ConfigRequest { version: have.0 }));
                }
            }
            FrameKind::Generate(run) => self.submit(run, link, sender.clone()),
            FrameKind::Cancel(cancel) => self.cancel(link, cancel.attempt),
            FrameKind::TicketRequest(ask) => self.grant_tickets(&ask, sender),
            FrameKind::Call(run) => self.run_call(run, sender.clone()),
            FrameKind::Order(order) => self.take_order(order, sender),
            FrameKind::Config(document) => self.take_config(document),
            FrameKind::ConfigRequest(pull) => self.send_config(pull.version, sender),
            FrameKind::CrashNotice(notice) => self.relay_suspect(link, notice),
            // The rest is sent by side processes, or belongs to the handshake.
            _ => {}
        }
    }

    fn send_config(&self, have: u64, sender: &LinkSender) {
        let state = self.lock();
        let version = state.latest_config.version().0;
        if version > have {
            let document = state.latest_config.document().clone();
            let _ = sender.send(FrameKind::Config(ConfigDocument { version, document }));
        }
    }

    fn take_config(self: &Arc<Self>, given: ConfigDocument) {
        let Ok(book) = SystemConfig::from_json(&given.document) else {
            let reason = "a configuration that cannot be read was not taken over";
            self.log
                .write(DecisionRecord::new(DecisionKind::Config, reason));
            return;
        };
        let mut state = self.lock();
        let version = ConfigVersion(given.version);
        if book.version != version || !state.latest_config.update(version, given.document) {
            return;
        }
        state.scheduler.set_minimum_shares(book.minimum_shares());
        let drained = book.drains.contains(&self.identity.instance);
        let turned = drained != state.drained_by_config;
        state.drained_by_config = drained;
        state.update_accepting();
        self.pump(&mut state);
        drop(state);
        self.metrics.config_version.set(version.0 as i64);
        let record = DecisionRecord::new(DecisionKind::Config, "a higher version is in force");
        self.log.write(record.chosen(version));
        if turned {
            self.tell_leaving(drained, "the operators' configuration says so");
        }
        // Entries that are behind see the version at once.
        self.send_heartbeats();
    }

    /// Tells all entries whether this process takes new work.
    pub(crate) fn tell_leaving(&self, leaving: bool, reason: &str) {
        let record = DecisionRecord::new(DecisionKind::Drain, reason).chosen(leaving);
        self.log.write(record);
        self.broadcast(&FrameKind::Leave(LeaveNotice { leaving }));
    }
}
