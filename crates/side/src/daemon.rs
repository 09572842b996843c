//! Starts and stops a side process.

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
    claim_port,
    start_operations, //
};
use crate::state::SideShared;

/// Time between the notice that the process leaves and its end, for work already on its way.
const LEAVE_LINGER: Duration = Duration::from_millis(500);

/// A running side process.
pub struct SideDaemon {
    address: SocketAddr,
    operations: OperationsServer,
    shared: Arc<SideShared>,
    tasks: Vec<JoinHandle<()>>,
}

impl SideDaemon {
    /// Takes its ports and starts to serve.
    pub async fn start(settings: SideSettings, log: LogSink) -> Result<Self, SideError> {
        let port = claim_port(settings.operations)?;
        let address = settings.listen;
        let listener = listen(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let identity = PeerIdentity {
            instance: settings.instance.clone(),
            incarnation: IncarnationId(rand::random()),
        };
        let shared = Arc::new(SideShared::new(settings, identity, log));
        let operations = start_operations(port, shared.clone())?;
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

    /// Address for entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for health checks and metrics.
    pub fn operations_address(&self) -> SocketAddr {
        self.operations.address
    }

    /// Takes no new work, finishes what runs, then ends.
    pub async fn stop(self) {
        let shared = self.shared.clone();
        let now = Instant::now();
        {
            let mut state = shared.lock();
            state.drain.close(now);
            state.update_accepting();
        }
        shared.tell_leaving(true, "the process was asked to stop");
        let grace = Duration::from_millis(shared.settings.grace_ms.into());
        tokio::time::sleep(LEAVE_LINGER).await;
        self.wait_empty(now + grace).await;
        // What is left goes on elsewhere.
        shared.hand_over(&mut shared.lock());
        tokio::time::sleep(LEAVE_LINGER).await;
        let record = DecisionRecord::new(DecisionKind::Process, "stopped");
        shared.log.write(record);
        self.kill();
    }

    /// Ends at once, as a crash would.
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

    async fn wait_empty(&self, until: Instant) {
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.lock().is_empty() {
                return;
            }
            if timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }
}
