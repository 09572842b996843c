//! HTTP interface of the fake key-value store, compatible with Consul.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use store::{
    SessionId,
    SessionReply,
    SessionRequest,
    TransactionError,
    TransactionReply,
    TransactionResult,
    TransactionStep,
    ValueRecord, //
};
use tokio::sync::watch;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};
use web::{
    ResponseBody,
    bytes_body,
    json_response,
    read_body, //
};

use crate::kv_state::{
    KvState,
    StoreFaults,
    ValueState, //
};
use crate::query::{
    parse_duration,
    query_parameter, //
};
use crate::server::{
    ServerHandle,
    start_server, //
};

const MAX_BODY_BYTES: usize = 1_024 * 1_024;
/// Maximum number of operations in one transaction, as in Consul.
const MAX_TRANSACTION_STEPS: usize = 64;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_WAIT: Duration = Duration::from_secs(600);

/// A fake key-value store with Consul's HTTP interface.
#[derive(Debug)]
pub struct FakeStore {
    server: ServerHandle,
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    state: Mutex<KvState>,
    changed: watch::Sender<u64>,
}

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, KvState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl SharedState {
    fn consume_lost_response(&self) -> bool {
        let faults = &mut self.lock().faults;
        let is_lost = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        is_lost
    }
}

impl FakeStore {
    /// Starts the store. Port 0 selects a free port.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (changed, _) = watch::channel(0);
        let state = Mutex::new(KvState::default());
        let shared = Arc::new(SharedState { state, changed });
        let handler_state = shared.clone();
        let handler = move |request| handle(handler_state.clone(), request);
        let server = start_server(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of requests whose method and key start with a prefix, such as
    /// `PUT galenarail/claims`.
    pub fn request_count(&self, prefix: &str) -> u64 {
        let state = self.shared.lock();
        let matching = state
            .request_counts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        matching.map(|(_, count)| *count).sum()
    }

    /// Returns a value without sending a request.
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        let value = self.shared.lock().get(Instant::now(), key)?;
        Some(value.data)
    }

    /// Writes a value without sending a request.
    pub fn seed(&self, key: &str, data: impl Into<Bytes>) {
        self.shared.lock().put(key, None, data.into());
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

async fn handle(shared: Arc<SharedState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let method = request.method().clone();
    let path = request.uri().path().trim_start_matches("/v1/").to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let name = format!("{method} {}", path.trim_start_matches("kv/"));
    let faults = {
        let mut state = shared.lock();
        *state.request_counts.entry(name).or_default() += 1;
        state.faults
    };
    if faults.unresponsive {
        return hang().await;
    }
    sleep(faults.delay).await;
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return json_response(StatusCode::PAYLOAD_TOO_LARGE, "");
    };
    let is_write = method == Method::PUT && !is_read_only(&path, &body);
    let response = match (method, path.split_once('/')) {
        (Method::GET, Some(("kv", key))) => read_key(&shared, key, &query).await,
        (Method::PUT, Some(("kv", key))) => write_key(&shared, key, &query, body),
        (Method::PUT, None) if path == "txn" => run_transaction(&shared, &body),
        (Method::PUT, Some(("session", rest))) => write_session(&shared, rest, &body),
        _ => json_response(StatusCode::NOT_FOUND, ""),
    };
    if is_write && shared.consume_lost_response() {
        return hang().await;
    }
    response
}

/// Returns whether a request is a transaction without writes.
fn is_read_only(path: &str, body: &[u8]) -> bool {
    let steps = serde_json::from_slice::<Vec<TransactionStep>>(body).unwrap_or_default();
    path == "txn" && steps.iter().all(|step| step.kv.verb != "cas")
}

/// Delays the response beyond the client's timeout.
async fn hang() -> Response<ResponseBody> {
    sleep(MAX_WAIT).await;
    json_response(StatusCode::SERVICE_UNAVAILABLE, "")
}

async fn read_key(shared: &SharedState, key: &str, query: &str) -> Response<ResponseBody> {
    let known_index: u64 = query_parameter(query, "index")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let wait = query_parameter(query, "wait")
        .and_then(parse_duration)
        .unwrap_or_default();
    let deadline = Instant::now() + wait.min(MAX_WAIT);
    let mut changes = shared.changed.subscribe();
    loop {
        let value = shared.lock().get(Instant::now(), key);
        let index = value.as_ref().map_or(0, |value| value.index);
        let timed_out = Instant::now() >= deadline;
        if index != known_index || known_index == 0 || timed_out {
            return value_response(key, value);
        }
        // After a timeout, the next pass of the loop returns the value.
        let _ = timeout_at(deadline, changes.changed()).await;
    }
}

fn value_response(key: &str, value: Option<ValueState>) -> Response<ResponseBody> {
    let Some(value) = value else {
        return json_response(StatusCode::NOT_FOUND, "[]");
    };
    let record = ValueRecord {
        key: key.into(),
        value: Some(STANDARD.encode(&value.data)),
        modify_index: value.index,
        session: value.session.map(SessionId),
    };
    json_response(
        StatusCode::OK,
        serde_json::to_vec(&[record]).unwrap_or_default(),
    )
}

fn write_key(shared: &SharedState, key: &str, query: &str, body: Bytes) -> Response<ResponseBody> {
    let mut state = shared.lock();
    let written = match query_parameter(query, "acquire") {
        Some(session) => state.acquire(Instant::now(), key, session, body),
        None => {
            let expected = query_parameter(query, "cas").and_then(|text| text.parse().ok());
            state.put(key, expected, body)
        }
    };
    drop(state);
    shared.changed.send_modify(|count| *count += 1);
    json_response(StatusCode::OK, written.to_string())
}

/// Executes a transaction of reads and compare-and-swap writes atomically.
fn run_transaction(shared: &SharedState, body: &[u8]) -> Response<ResponseBody> {
    let Ok(steps) = serde_json::from_slice::<Vec<TransactionStep>>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "");
    };
    if steps.len() > MAX_TRANSACTION_STEPS {
        return json_response(StatusCode::PAYLOAD_TOO_LARGE, "");
    }
    let now = Instant::now();
    let mut state = shared.lock();
    let mut results = Vec::new();
    let mut errors = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let found = state.get(now, &step.kv.key);
        let index = found.as_ref().map_or(0, |value| value.index);
        if step.kv.verb == "cas" && step.kv.index != index {
            let what = "index is stale".to_owned();
            errors.push(TransactionError {
                op_index: number,
                what,
            });
        }
        if step.kv.verb == "get-or-empty" {
            let kv = value_record(&step.kv.key, found.as_ref());
            results.push(TransactionResult { kv });
        }
    }
    if !errors.is_empty() {
        let response = TransactionReply {
            results: Vec::new(),
            errors,
        };
        return json_response(
            StatusCode::CONFLICT,
            serde_json::to_vec(&response).unwrap_or_default(),
        );
    }
    for step in steps.iter().filter(|step| step.kv.verb == "cas") {
        let data = STANDARD.decode(step.kv.value.as_deref().unwrap_or_default());
        state.put(&step.kv.key, None, data.unwrap_or_default().into());
    }
    drop(state);
    shared.changed.send_modify(|count| *count += 1);
    let response = TransactionReply { results, errors };
    json_response(
        StatusCode::OK,
        serde_json::to_vec(&response).unwrap_or_default(),
    )
}

fn value_record(key: &str, value: Option<&ValueState>) -> ValueRecord {
    ValueRecord {
        key: key.into(),
        value: value.map(|value| STANDARD.encode(&value.data)),
        modify_index: value.map_or(0, |value| value.index),
        session: None,
    }
}

fn write_session(shared: &SharedState, rest: &str, body: &[u8]) -> Response<ResponseBody> {
    let now = Instant::now();
    let mut state = shared.lock();
    match rest.split_once('/') {
        None if rest == "create" => {
            let Ok(request) = serde_json::from_slice::<SessionRequest>(body) else {
                return json_response(StatusCode::BAD_REQUEST, "");
            };
            let ttl = parse_duration(&request.ttl).unwrap_or(Duration::from_secs(10));
            let id = SessionId(state.create_session(now, ttl));
            let record = SessionReply { id };
            json_response(
                StatusCode::OK,
                serde_json::to_vec(&record).unwrap_or_default(),
            )
        }
        Some(("renew", id)) if state.renew_session(now, id) => json_response(StatusCode::OK, "[]"),
        Some(("renew", _)) => json_response(StatusCode::NOT_FOUND, "[]"),
        Some(("destroy", id)) => {
            state.destroy_session(id);
            drop(state);
            shared.changed.send_modify(|count| *count += 1);
            json_response(StatusCode::OK, "true")
        }
        _ => {
            let mut response = Response::new(bytes_body(""));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}
