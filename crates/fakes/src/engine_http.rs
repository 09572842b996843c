//! A model engine over HTTP, driven by the model in real or paused time.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use policy::{
    EngineProfile,
    EngineRole, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{
    EpochNumber,
    ModelName,
    TokenCount, //
};
use web::{
    ResponseBody,
    channel_body,
    json_response,
    read_body, //
};

use crate::answer::hash_of;
use crate::engine_model::{
    EngineModel,
    StreamKey,
    StreamSpec, //
};
use crate::engine_state::{
    EngineFaults,
    EngineState,
    FakeEngineSettings,
    SharedEngine,
    StreamState,
    crash,
    drive,
    emit,
    pause, //
};
use crate::order_log::OrderEntry;
use crate::server::{
    ServerHandle,
    start, //
};

const BODY_LIMIT_BYTES: usize = 2 * 1_024 * 1_024;
const BODY_TIME: Duration = Duration::from_secs(5);
const STREAM_DEPTH: usize = 64;
/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;

/// A model engine on loopback.
#[derive(Debug)]
pub struct FakeEngine {
    server: ServerHandle,
    shared: Arc<SharedEngine>,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl FakeEngine {
    /// Starts an engine; port 0 lets the kernel pick one.
    pub async fn start(address: SocketAddr, settings: FakeEngineSettings) -> std::io::Result<Self> {
        let state = EngineState {
            model: EngineModel::new(settings.profile, settings.role),
            models: settings.models,
            checks_fencing: settings.checks_fencing,
            faults: EngineFaults::default(),
            streams: BTreeMap::new(),
            next_key: 0,
            highest_epoch: EpochNumber(0),
            orders: Vec::new(),
            crashes: 0,
            runs: BTreeMap::new(),
        };
        let state = Mutex::new(state);
        let shared = Arc::new(SharedEngine {
            state,
            wake: Notify::new(),
        });
        let handler_state = shared.clone();
        let handler = move |request| handle(handler_state.clone(), request);
        let server = start(address, handler).await?;
        let driver = tokio::spawn(drive(shared.clone()));
        Ok(Self {
            server,
            shared,
            driver,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Crashes the engine; it is away for a time.
    pub fn crash(&self, away: Duration) {
        crash(&mut self.shared.lock(), away);
        self.shared.wake.notify_one();
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u32 {
        self.shared.lock().crashes
    }

    /// Orders received so far.
    pub fn orders(&self) -> Vec<OrderEntry> {
        self.shared.lock().orders.clone()
    }

    /// Role that the engine has.
    pub fn role(&self) -> EngineRole {
        self.shared.lock().model.role()
    }

    /// How often each prompt was started.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock().runs.clone()
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CompletionCall {
    model: ModelName,
    prompt: String,
    prompt_tokens: u32,
    #[serde(default)]
    offset: u32,
    max_tokens: u32,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    kv_handle: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EngineInfo<'a> {
    profile: &'a EngineProfile,
    role: EngineRole,
    models: &'a BTreeSet<ModelName>,
    streams: usize,
    used: u32,
    away_ms: u64,
    highest_epoch: EpochNumber,
}

async fn handle(shared: Arc<SharedEngine>, request: Request<Incoming>) -> Response<ResponseBody> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let fencing = request.headers().get("x-fencing-number").cloned();
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT_BYTES, BODY_TIME).await else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    match (method, path.as_str()) {
        (Method::POST, "/v1/completions") => complete(&shared, &body),
        (Method::GET, "/v1/engine") => show(&shared),
        (Method::POST, "/v1/engine/pause") => pause(&shared, &body),
        (Method::POST, "/v1/engine/role") => {
            let text = fencing.as_ref().and_then(|value| value.to_str().ok());
            let epoch = text.and_then(|text| text.parse().ok()).unwrap_or_default();
            order(&shared, epoch, &body)
        }
        _ => json_response(StatusCode::NOT_FOUND, "{}"),
    }
}

fn show(shared: &SharedEngine) -> Response<ResponseBody> {
    let state = shared.lock();
    let now = Instant::now();
    let away = state
        .model
        .away_until()
        .map(|until| until.saturating_duration_since(now));
    let info = EngineInfo {
        profile: state.model.profile(),
        role: state.model.role(),
        models: &state.models,
        streams: state.model.streams(),
        used: state.model.used().0,
        away_ms: away.unwrap_or_default().as_millis() as u64,
        highest_epoch: state.highest_epoch,
    };
    json_response(
        StatusCode::OK,
        serde_json::to_vec(&info).unwrap_or_default(),
    )
}

fn order(shared: &SharedEngine, epoch: EpochNumber, body: &[u8]) -> Response<ResponseBody> {
    #[derive(Deserialize)]
    struct RoleCall {
        role: EngineRole,
    }
    let Ok(call) = serde_json::from_slice::<RoleCall>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let now = Instant::now();
    let mut state = shared.lock();
    if state.checks_fencing && epoch < state.highest_epoch {
        return json_response(StatusCode::CONFLICT, "{\"error\":\"old fencing number\"}");
    }
    state.highest_epoch = state.highest_epoch.max(epoch);
    let ended = state.model.change_role(now, call.role);
    let until = state.model.away_until().unwrap_or(now);
    state.orders.push(OrderEntry {
        at: now,
        epoch,
        role: call.role,
        until,
    });
    for event in ended {
        emit(&mut state, event.key, event.token, event.end);
    }
    drop(state);
    shared.wake.notify_one();
    json_response(StatusCode::OK, "{\"accepted\":true}")
}

fn complete(shared: &SharedEngine, body: &[u8]) -> Response<ResponseBody> {
    let Ok(call) = serde_json::from_slice::<CompletionCall>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let mut state = shared.lock();
    let now = Instant::now();
    let away = state.model.away_until().is_some_and(|until| until > now);
    if away || !state.models.contains(&call.model) {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, "{\"error\":\"not ready\"}");
    }
    *state.runs.entry(call.prompt.clone()).or_default() += 1;
    let poisoned = state
        .faults
        .poison
        .as_ref()
        .is_some_and(|text| call.prompt.contains(text));
    if poisoned {
        let restart = state.faults.restart;
        crash(&mut state, restart);
        drop(state);
        shared.wake.notify_one();
        // The closed channel cuts the reply without an end.
        let (_, body) = channel_body(1);
        return Response::new(body);
    }
    let (sender, reply_body) = channel_body(STREAM_DEPTH);
    let key = StreamKey(state.next_key);
    state.next_key += 1;
    let prefix_bytes = &call.prompt.as_bytes()[..call.prompt.len().min(PREFIX_BYTES)];
    let spec = StreamSpec {
        key,
        priority: call.priority,
        context: TokenCount(call.prompt_tokens + call.offset),
        output: TokenCount(call.max_tokens.saturating_sub(call.offset)),
        prefix: hash_of(prefix_bytes),
        prefix_tokens: TokenCount((prefix_bytes.len() / 4) as u32),
        imported: !call.kv_handle.is_empty(),
    };
    let stream = StreamState {
        hash: hash_of(call.prompt.as_bytes()),
        next: call.offset,
        total: call.max_tokens,
        sender,
    };
    // The channel is empty and holds this first event.
    let first = format!("data: {{\"stream\":{}}}\n\n", key.0);
    let _ = stream.sender.try_send(first.into());
    state.streams.insert(key, stream);
    state.model.submit(spec);
    drop(state);
    shared.wake.notify_one();
    let mut reply = Response::new(reply_body);
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
