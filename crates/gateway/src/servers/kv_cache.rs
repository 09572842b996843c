//! A KV cache held by the prefill engine that computed it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use tokio::time::Instant;
use units::{
    DataCentre,
    IncarnationId,
    InstanceId,
    SoftwareVersion, //
};

use crate::servers::server_notices::record_notices;
use crate::shared::GatewayShared;
use crate::suspects::server_process::{
    find_process,
    process_state, //
};
use crate::tokens::server_limits::LimitQuestion;
use crate::tokens::token_ticket::charge_request;

/// Timeout for releasing a KV cache, which would otherwise expire soon after.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time in which an engine starts again and has other KV caches.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);
/// Timeout of the question whether the process that gave a handle still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Handle of a KV cache, with the process that gave it. A later process of the same engine may give the
/// same handle to another prompt.
#[derive(Debug, Clone)]
pub(crate) struct KvHandle {
    /// Name by which the process knows the KV cache.
    pub(crate) name: String,
    /// Prefill engine.
    pub(crate) instance: InstanceId,
    /// Address of the prefill engine.
    pub(crate) address: SocketAddr,
    /// Start of the process, if its entry states one.
    pub(crate) incarnation: Option<IncarnationId>,
    /// When the handle was given.
    pub(crate) given_at: Instant,
}

impl KvHandle {
    /// Returns whether the process that gave the handle still runs. An open connection on which that process
    /// has stated its start shows it; without one, the process is asked.
    pub(crate) async fn is_valid(&self, shared: &GatewayShared) -> bool {
        let now = Instant::now();
        let target = find_process(&shared.lock(), &self.instance, self.incarnation);
        let Some(target) = target else { return false };
        let Some(incarnation) = self.incarnation else {
            return true;
        };
        if now < self.given_at + MIN_RESTART_TIME {
            return true;
        }
        let is_open = shared.pool().has_open(now, self.address, |connection| {
            connection.checked_process == Some(incarnation.0)
        });
        if is_open {
            return true;
        }
        if shared.lock().fleet.is_resting(now, &self.instance) {
            return false;
        }
        match target.ask(shared, &self.instance, PROBE_TIMEOUT).await {
            Ok(answer) => !process_state(answer, self.incarnation).has_ended(),
            Err(_) => false,
        }
    }
}

/// A KV cache on a prefill engine, released on drop unless another engine fetches it.
pub(crate) struct RemoteKvCache {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) handle: KvHandle,
    /// Data centre of the prefill engine.
    pub(crate) centre: DataCentre,
    /// Software version of the prefill engine.
    pub(crate) version: Option<SoftwareVersion>,
    /// Whether an engine has been told to fetch the KV cache, or the KV cache is gone.
    pub(crate) fetch_requested: bool,
    /// Whether an engine that was told to fetch the KV cache refused the request.
    pub(crate) fetch_refused: bool,
}

impl Drop for RemoteKvCache {
    fn drop(&mut self) {
        if self.fetch_requested {
            return;
        }
        let (shared, handle) = (self.shared.clone(), self.handle.clone());
        let instance = &handle.instance;
        if shared.lock().fleet.is_resting(Instant::now(), instance) {
            return;
        }
        let question = LimitQuestion::new(&shared, instance);
        tokio::spawn(async move {
            if !handle.is_valid(&shared).await {
                return;
            }
            charge_request(&shared, &handle.instance);
            let (address, name) = (handle.address, &handle.name);
            let observe = |notices| record_notices(&shared, &question, notices);
            let releasing = platform::release_kv_handle(address, name, RELEASE_TIMEOUT, observe);
            if let Err(error) = releasing.await {
                let record = DecisionRecord::new(
                    DecisionKind::Send,
                    "failed to release a KV cache; it expires on its engine",
                );
                let record = record.input("error", error.to_string());
                shared
                    .log
                    .write(record.input("address", address.to_string()));
            }
        });
    }
}
