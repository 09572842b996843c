//! Start and stop of the entry daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::EntrySettings;
use logs::{
    DecisionKind,
    DecisionRecord,
    LogSink, //
};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use units::IncarnationId;
use web::{
    ServerLimits,
    listen,
    serve, //
};
use wire::PeerIdentity;

use crate::EntryError;
use crate::claims::{
    claim_queue,
    write_claims, //
};
use crate::config::watch_config;
use crate::error::ListenSnafu;
use crate::http::serve_request;
use crate::planner::plan_roles;
use crate::side_links::maintain_links;
use crate::state::EntryShared;

/// Time for which a stopping entry fails its readiness check but still accepts requests, so that
/// the platform's load balancer stops sending before the listener closes.
const UNREADY_PERIOD: Duration = Duration::from_millis(500);

/// Running entry daemon.
pub struct EntryDaemon {
    address: SocketAddr,
    shared: Arc<EntryShared>,
    server: JoinHandle<()>,
    server_stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Binds the listen address and starts to serve requests.
    pub async fn start(settings: EntrySettings, log: LogSink) -> Result<Self, EntryError> {
        let address = settings.listen;
        let listener = listen(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let identity = PeerIdentity {
            instance: settings.instance.clone(),
            incarnation: IncarnationId(rand::random()),
        };
        let header_timeout = Duration::from_millis(settings.limits.header_ms.into());
        let limits = ServerLimits::fixed(settings.limits.connections as usize, header_timeout);
        let (claims, claim_receiver) = claim_queue();
        let shared = Arc::new(EntryShared::new(settings, identity, log, claims));
        let handler_shared = shared.clone();
        let handler = move |request| serve_request(handler_shared.clone(), request);
        let (server_stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, limits, stopped, handler));
        let tasks = vec![
            tokio::spawn(maintain_links(shared.clone())),
            tokio::spawn(watch_config(shared.clone())),
            tokio::spawn(write_claims(shared.clone(), claim_receiver)),
            tokio::spawn(plan_roles(shared.clone())),
        ];
        let record = DecisionRecord::new(DecisionKind::Process, "started").chosen(address);
        shared.log.write(record);
        Ok(Self {
            address,
            shared,
            server,
            server_stop,
            tasks,
        })
    }

    /// Returns the address that the entry listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the entry has a configuration and at least one link.
    pub fn is_ready(&self) -> bool {
        let state = self.shared.lock();
        state.latest_config.version().0 > 0 && !state.links.is_empty()
    }

    /// Returns the version of the configuration in effect, or 0 if there is none.
    pub fn config_version(&self) -> units::ConfigVersion {
        self.shared.lock().latest_config.version()
    }

    /// Shuts down gracefully: stops accepting requests and finishes those in flight.
    pub async fn stop(self) {
        self.shared.stopping.send_replace(true);
        tokio::time::sleep(UNREADY_PERIOD).await;
        self.server_stop.send_replace(true);
        let mut server = self.server;
        // The server task ends once all in-flight responses are complete.
        let _ = (&mut server).await;
        self.shared.lock().drain_gate.close(Instant::now());
        for task in &self.tasks {
            task.abort();
        }
        let link_tasks = std::mem::take(&mut self.shared.lock().link_tasks);
        link_tasks
            .values()
            .for_each(|link_task| link_task.task.abort());
        let record = DecisionRecord::new(DecisionKind::Process, "stopped");
        self.shared.log.write(record);
    }

    /// Stops immediately, without finishing requests, to simulate a crash.
    pub fn kill(self) {
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
        let mut state = self.shared.lock();
        let link_tasks = std::mem::take(&mut state.link_tasks);
        link_tasks
            .values()
            .for_each(|link_task| link_task.task.abort());
        state.links.values().for_each(|link| link.sender.abort());
        state.links.clear();
    }
}
