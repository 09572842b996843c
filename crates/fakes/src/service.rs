//! A fake plain service that counts how often it executed each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use tokio::time::sleep;
use web::{
    ResponseBody,
    json_response,
    read_body, //
};

use crate::server::{
    ServerHandle,
    start_server, //
};

const MAX_BODY_BYTES: usize = 1_024 * 1_024;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Faults to inject into a plain service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Time that the service takes for each request.
    pub delay: Duration,
    /// Number of upcoming requests that are executed but receive no response.
    pub lost_responses: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    execution_counts: BTreeMap<String, u32>,
}

/// A fake plain service.
#[derive(Debug)]
pub struct FakeService {
    server: ServerHandle,
    shared: Arc<Mutex<ServiceState>>,
}

fn lock(shared: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

impl FakeService {
    /// Starts the service. Port 0 selects a free port.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared: Arc<Mutex<ServiceState>> = Arc::default();
        let state = shared.clone();
        let handler = move |request| handle(state.clone(), request);
        let server = start_server(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Returns the number of executions by path and body, which a space separates in the key.
    pub fn execution_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.shared).execution_counts.clone()
    }
}

async fn handle(
    shared: Arc<Mutex<ServiceState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return json_response(StatusCode::BAD_REQUEST, "{\"error\":\"unreadable body\"}");
    };
    let delay = lock(&shared).faults.delay;
    // The request takes effect halfway through the delay, so that a test can kill the caller before
    // or after the effect.
    sleep(delay / 2).await;
    let key = format!("{path} {}", String::from_utf8_lossy(&body));
    let (count, is_lost) = {
        let mut state = lock(&shared);
        let executions = state.execution_counts.entry(key).or_default();
        *executions += 1;
        let count = *executions;
        let is_lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        (count, is_lost)
    };
    sleep(delay / 2).await;
    if is_lost {
        // The response is withheld beyond the client's timeout.
        sleep(Duration::from_secs(3_600)).await;
    }
    let response = format!("{{\"ok\":true,\"runs\":{count}}}");
    json_response(StatusCode::OK, response)
}
