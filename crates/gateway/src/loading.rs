//! Holds the requests that arrive while the gateway reads the configuration and the backend servers.

use std::sync::Arc;
use std::time::Duration;

use policy::RouteTable;
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::request_error::{
    RequestError,
    UNCONFIGURED_RETRY_DELAY, //
};
use crate::shared::GatewayShared;

/// Part of a caller's timeout after which a held request is refused, so that time for another attempt
/// is left.
const HELD_TIMEOUT_FRACTION: u32 = 3;

/// Returns the configuration for a request that arrived at `started`. While the gateway loads, the
/// request is held for as long as its caller would wait before a retry.
pub(crate) async fn loaded_table(
    shared: &GatewayShared,
    started: Instant,
    timeout: Option<Duration>,
) -> Result<Arc<RouteTable>, RequestError> {
    let mut loaded = shared.loaded.subscribe();
    let longest = timeout.map_or(UNCONFIGURED_RETRY_DELAY, |timeout| {
        UNCONFIGURED_RETRY_DELAY.min(timeout / HELD_TIMEOUT_FRACTION)
    });
    // A request that was held for too long may still be served by what has been read.
    let _ = timeout_at(started + longest, loaded.wait_for(|is_loaded| *is_loaded)).await;
    let table = shared.lock().table.clone();
    table.ok_or(RequestError::NotConfigured)
}
