//! A plain service that counts how often it ran each key.

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
    start, //
};

const MAX_BODY_BYTES: usize = 1_024 * 1_024;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Faults of a plain service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub delay: Duration,
    /// Answers to be lost after the call ran.
    pub lost_responses: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    execution_counts: BTreeMap<String, u32>,
}

/// A plain service on loopback.
#[derive(Debug)]
pub struct FakeService {
    server: ServerHandle,
    shared: Arc<Mutex<ServiceState>>,
}

fn lock(shared: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

impl FakeService {
    /// Starts the service; port 0 lets the kernel pick one.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared: Arc<Mutex<ServiceState>> = Arc::default();
        let state = shared.clone();
        let handler = move |request| handle(state.clone(), request);
        let server = start(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared).faults = faults;
    }

    /// How often calls ran, by their body.
    pub fn execution_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.shared).execution_counts.clone()
    }
}

async fn handle(
    shared: Arc<Mutex<ServiceState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let call = request.uri().path().to_owned();
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return json_response(StatusCode::BAD_REQUEST, "{\"error\":\"unreadable body\"}");
    };
    let delay = lock(&shared).faults.delay;
    // The call takes effect half-way, so that a kill can fall before or after it.
    sleep(delay / 2).await;
    let key = format!("{call} {}", String::from_utf8_lossy(&body));
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
        sleep(Duration::from_secs(3_600)).await;
    }
    let response = format!("{{\"ok\":true,\"runs\":{count}}}");
    json_response(StatusCode::OK, response)
}
