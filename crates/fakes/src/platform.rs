//! A fake of the platform's instance list, with a configurable propagation delay.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use store::InstanceRecord;
use tokio::sync::watch;
use tokio::time::{
    Instant,
    sleep_until,
    timeout_at, //
};
use web::{
    ResponseBody,
    json_response, //
};

use crate::query::{
    parse_duration,
    query_parameter, //
};
use crate::server::{
    ServerHandle,
    start_server, //
};

const INDEX_HEADER: &str = "x-consul-index";

/// An instance list whose changes become visible after a propagation delay.
#[derive(Debug)]
pub struct FakePlatform {
    server: ServerHandle,
    shared: Arc<SharedList>,
}

#[derive(Debug)]
struct SharedList {
    state: Mutex<ListState>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct ListState {
    visible: Vec<InstanceRecord>,
    index: u64,
    lag: Duration,
    request_count: u64,
    response_bytes: u64,
}

impl SharedList {
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn publish(&self, records: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.visible = records;
        state.index += 1;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }
}

impl FakePlatform {
    /// Starts the server with an empty list. Port 0 selects a free port; `lag` delays each change.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state = ListState {
            lag,
            ..ListState::default()
        };
        let (changed, _) = watch::channel(0);
        let state = Mutex::new(state);
        let shared = Arc::new(SharedList { state, changed });
        let list = shared.clone();
        let handler = move |request| handle(list.clone(), request);
        let server = start_server(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list. Readers observe the new list after the lag.
    pub fn set_instances(&self, records: Vec<InstanceRecord>) {
        let lag = self.shared.lock().lag;
        if lag.is_zero() {
            self.shared.publish(records);
            return;
        }
        let shared = self.shared.clone();
        let visible_at = Instant::now() + lag;
        tokio::spawn(async move {
            sleep_until(visible_at).await;
            shared.publish(records);
        });
    }

    /// Returns the number of responses sent and the total size of their bodies in bytes.
    pub fn response_totals(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.request_count, state.response_bytes)
    }
}

async fn handle(shared: Arc<SharedList>, request: Request<Incoming>) -> Response<ResponseBody> {
    let query = request.uri().query().unwrap_or_default();
    let known_index: Option<u64> =
        query_parameter(query, "index").and_then(|text| text.parse().ok());
    let wait = query_parameter(query, "wait").and_then(parse_duration);
    let deadline = Instant::now() + wait.unwrap_or_default();
    let mut changes = shared.changed.subscribe();
    while known_index == Some(shared.lock().index) && Instant::now() < deadline {
        // A timeout ends the loop through its condition.
        let _ = timeout_at(deadline, changes.changed()).await;
    }
    let mut state = shared.lock();
    let body = serde_json::to_vec(&state.visible).unwrap_or_default();
    state.request_count += 1;
    state.response_bytes += body.len() as u64;
    let mut response = json_response(StatusCode::OK, body);
    if let Ok(value) = HeaderValue::from_str(&state.index.to_string()) {
        response.headers_mut().insert(INDEX_HEADER, value);
    }
    response
}
