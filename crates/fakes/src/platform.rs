//! The platform's lagging list of instances.

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
    argument,
    read_duration, //
};
use crate::server::{
    ServerHandle,
    start, //
};

const INDEX_HEADER: &str = "x-consul-index";

/// A list of instances on loopback that shows changes after a lag.
#[derive(Debug)]
pub struct FakePlatform {
    server: ServerHandle,
    shared: Arc<ListShared>,
}

#[derive(Debug)]
struct ListShared {
    state: Mutex<ListState>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct ListState {
    shown: Vec<InstanceRecord>,
    index: u64,
    lag: Duration,
    calls: u64,
    bytes: u64,
}

impl ListShared {
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn show(&self, records: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.shown = records;
        state.index += 1;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }
}

impl FakePlatform {
    /// Starts the list with a lag.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state = ListState {
            lag,
            ..ListState::default()
        };
        let (changed, _) = watch::channel(0);
        let state = Mutex::new(state);
        let shared = Arc::new(ListShared { state, changed });
        let list = shared.clone();
        let handler = move |request| read_list(list.clone(), request);
        let server = start(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list; callers see it after the lag.
    pub fn set(&self, records: Vec<InstanceRecord>) {
        let lag = self.shared.lock().lag;
        if lag.is_zero() {
            self.shared.show(records);
            return;
        }
        let shared = self.shared.clone();
        let due = Instant::now() + lag;
        tokio::spawn(async move {
            sleep_until(due).await;
            shared.show(records);
        });
    }

    /// Reads of the list so far, and the bytes that they brought.
    pub fn traffic(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.calls, state.bytes)
    }
}

async fn read_list(shared: Arc<ListShared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let query = request.uri().query().unwrap_or_default();
    let known: Option<u64> = argument(query, "index").and_then(|text| text.parse().ok());
    let wait = argument(query, "wait").and_then(read_duration);
    let until = Instant::now() + wait.unwrap_or_default();
    let mut changes = shared.changed.subscribe();
    while known == Some(shared.lock().index) && Instant::now() < until {
        // Running out of time ends the loop.
        let _ = timeout_at(until, changes.changed()).await;
    }
    let mut state = shared.lock();
    let body = serde_json::to_vec(&state.shown).unwrap_or_default();
    state.calls += 1;
    state.bytes += body.len() as u64;
    let mut reply = json_response(StatusCode::OK, body);
    if let Ok(value) = HeaderValue::from_str(&state.index.to_string()) {
        reply.headers_mut().insert(INDEX_HEADER, value);
    }
    reply
}
