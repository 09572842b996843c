//! A KV cache that waits at the engine which read the prompt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use units::DataCentre;

use crate::shared::GatewayShared;

/// Time for freeing a KV cache; it lapses by itself soon after.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// A KV cache that is freed unless another engine takes it.
pub(crate) struct RemoteKvCache {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) address: SocketAddr,
    pub(crate) centre: DataCentre,
    pub(crate) handle: String,
    /// Whether an engine has been told to take it.
    pub(crate) fetch_requested: bool,
    /// Whether an engine that was told to take it has refused.
    pub(crate) fetch_refused: bool,
}

impl Drop for RemoteKvCache {
    fn drop(&mut self) {
        if self.fetch_requested {
            return;
        }
        let shared = self.shared.clone();
        let (address, handle) = (self.address, std::mem::take(&mut self.handle));
        tokio::spawn(async move {
            if let Err(error) = platform::release_kv_handle(address, &handle, RELEASE_TIMEOUT).await
            {
                let record = DecisionRecord::new(DecisionKind::Send, "KV cache not freed");
                let record = record.input("error", error.to_string());
                shared
                    .log
                    .write(record.input("address", address.to_string()));
            }
        });
    }
}
