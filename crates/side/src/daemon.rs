//! Start and graceful shutdown of a side process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::SideSettings;
use logs::{
    DecisionKind,
    DecisionRecord,
    LogSink, //
};
use snafu::ResultExt;
use tokio::task::JoinHandle;
use tokio::time::{
    Instant,
    timeout_at, //
};
use units::IncarnationId;
use web::listen;
use wire::PeerIdentity;

use crate::SideError;
use crate::engine_watch::watch_engine;
use crate::error::ListenSnafu;
use crate::link::{
    accept_links,
    send_heartbeats, //
};
use crate::operations::{
    OperationsServer,
    bind_operations_port,
    start_operations_server, //
};
use crate::state::SideShared;

/// Delay after the drain notice, so that requests already in transit arrive, and again before the
/// links close, so that the last frames reach the entries.
const SHUTDOWN_SETTLE_TIME: Duration = Duration::from_millis(500);

/// A running side process.
pub struct SideDaemon {
    address: SocketAddr,
    operations: OperationsServer,
    shared: Arc<SideShared>,
    tasks: Vec<JoinHandle<()>>,
}

impl SideDaemon {
    /// Binds the ports and starts to serve.
    pub async fn start(settings: SideSettings, log: LogSink) -> Result<Self, SideError> {
        let operations_listener = bind_operations_port(settings.operations)?;
        let address = settings.listen;
        let listener = listen(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let identity = PeerIdentity {
            instance: settings.instance.clone(),
            incarnation: IncarnationId(rand::random()),
        };
        let shared = Arc::new(SideShared::new(settings, identity, log));
        let operations = start_operations_server(operations_listener, shared.clone())?;
        let mut tasks = vec![
            tokio::spawn(accept_links(shared.clone(), listener)),
            tokio::spawn(send_heartbeats(shared.clone())),
        ];
        if shared.is_engine() {
            tasks.push(tokio::spawn(watch_engine(shared.clone())));
        }
        let record = DecisionRecord::new(DecisionKind::Process, "started").chosen(address);
        shared.log.write(record);
        Ok(Self {
            address,
            operations,
            shared,
            tasks,
        })
    }

    /// Returns the address on which entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of health checks and metrics.
    pub fn operations_address(&self) -> SocketAddr {
        self.operations.address
    }

    /// Stops gracefully: refuses new requests, waits until the running ones finish or the grace
    /// period ends, and then closes the links.
    pub async fn stop(self) {
        let shared = self.shared.clone();
        let now = Instant::now();
        {
            let mut state = shared.lock();
            state.drain_gate.close(now);
            state.update_accepting();
        }
        shared.announce_draining(true, "graceful shutdown started; new requests are refused");
        let grace = Duration::from_millis(shared.settings.grace_ms.into());
        tokio::time::sleep(SHUTDOWN_SETTLE_TIME).await;
        self.wait_until_idle(now + grace).await;
        // Entries resume the interrupted streams on other engines.
        shared.evict_jobs(&mut shared.lock());
        tokio::time::sleep(SHUTDOWN_SETTLE_TIME).await;
        let record = DecisionRecord::new(DecisionKind::Process, "stopped");
        shared.log.write(record);
        self.kill();
    }

    /// Ends immediately, as in a crash of the process.
    pub fn kill(self) {
        self.shared.stop.send_replace(true);
        for task in &self.tasks {
            task.abort();
        }
        let mut state = self.shared.lock();
        state.links.values().for_each(|link| link.sender.abort());
        state.links.clear();
        let keys: Vec<_> = state.jobs.keys().copied().collect();
        for key in keys {
            crate::dispatch::remove_job(&mut state, key);
        }
    }

    /// Waits until no job or call is left, or until the deadline.
    async fn wait_until_idle(&self, deadline: Instant) {
        loop {
            let work_changed = self.shared.work_changed.notified();
            if self.shared.lock().is_idle() {
                return;
            }
            if timeout_at(deadline, work_changed).await.is_err() {
                return;
            }
        }
    }
}
