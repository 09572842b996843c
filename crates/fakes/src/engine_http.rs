//! HTTP interface of the fake model engine.

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

use crate::accepted_order::AcceptedOrder;
use crate::answer::hash_prompt;
use crate::engine_simulator::{
    EngineSimulator,
    StreamKey,
    StreamSpec, //
};
use crate::engine_state::{
    EngineFaults,
    EngineState,
    FakeEngineSettings,
    SharedEngine,
    StreamState,
    crash_engine,
    pause_stream,
    run_steps,
    send_event, //
};
use crate::server::{
    ServerHandle,
    start_server, //
};

const MAX_BODY_BYTES: usize = 2 * 1_024 * 1_024;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const STREAM_BUFFER_EVENTS: usize = 64;
/// Maximum length of the prompt prefix that the prefix cache stores.
const MAX_PREFIX_BYTES: usize = 256;

/// A fake model engine. Its steps follow tokio time, which a test can pause.
#[derive(Debug)]
pub struct FakeEngine {
    server: ServerHandle,
    shared: Arc<SharedEngine>,
    step_task: tokio::task::JoinHandle<()>,
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

impl FakeEngine {
    /// Starts an engine. Port 0 selects a free port.
    pub async fn start(address: SocketAddr, settings: FakeEngineSettings) -> std::io::Result<Self> {
        let state = EngineState {
            simulator: EngineSimulator::new(settings.profile, settings.role),
            models: settings.models,
            checks_fencing: settings.checks_fencing,
            faults: EngineFaults::default(),
            streams: BTreeMap::new(),
            next_key: 0,
            highest_epoch: EpochNumber(0),
            accepted_orders: Vec::new(),
            crash_count: 0,
            start_counts: BTreeMap::new(),
        };
        let state = Mutex::new(state);
        let shared = Arc::new(SharedEngine {
            state,
            wake: Notify::new(),
        });
        let handler_state = shared.clone();
        let handler = move |request| handle(handler_state.clone(), request);
        let server = start_server(address, handler).await?;
        let step_task = tokio::spawn(run_steps(shared.clone()));
        Ok(Self {
            server,
            shared,
            step_task,
        })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Crashes the engine, which is unavailable for `restart_time` afterwards.
    pub fn crash(&self, restart_time: Duration) {
        crash_engine(&mut self.shared.lock(), restart_time);
        self.shared.wake.notify_one();
    }

    /// Returns the number of crashes since the start.
    pub fn crash_count(&self) -> u32 {
        self.shared.lock().crash_count
    }

    /// Returns the role change orders that the engine accepted.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.shared.lock().accepted_orders.clone()
    }

    /// Returns the current role, or the new role during a role change.
    pub fn role(&self) -> EngineRole {
        self.shared.lock().simulator.role()
    }

    /// Returns the number of accepted requests for each prompt.
    pub fn start_counts(&self) -> BTreeMap<String, u32> {
        self.shared.lock().start_counts.clone()
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CompletionRequest {
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
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    match (method, path.as_str()) {
        (Method::POST, "/v1/completions") => complete(&shared, &body),
        (Method::GET, "/v1/engine") => engine_info(&shared),
        (Method::POST, "/v1/engine/pause") => pause_stream(&shared, &body),
        (Method::POST, "/v1/engine/role") => {
            let text = fencing.as_ref().and_then(|value| value.to_str().ok());
            let epoch = text.and_then(|text| text.parse().ok()).unwrap_or_default();
            change_role(&shared, epoch, &body)
        }
        _ => json_response(StatusCode::NOT_FOUND, "{}"),
    }
}

fn engine_info(shared: &SharedEngine) -> Response<ResponseBody> {
    let state = shared.lock();
    let now = Instant::now();
    let remaining = state
        .simulator
        .unavailable_until()
        .map(|until| until.saturating_duration_since(now));
    let info = EngineInfo {
        profile: state.simulator.profile(),
        role: state.simulator.role(),
        models: &state.models,
        streams: state.simulator.stream_count(),
        used: state.simulator.used_pieces().0,
        away_ms: remaining.unwrap_or_default().as_millis() as u64,
        highest_epoch: state.highest_epoch,
    };
    json_response(
        StatusCode::OK,
        serde_json::to_vec(&info).unwrap_or_default(),
    )
}

fn change_role(shared: &SharedEngine, epoch: EpochNumber, body: &[u8]) -> Response<ResponseBody> {
    #[derive(Deserialize)]
    struct RoleRequest {
        role: EngineRole,
    }
    let Ok(role_request) = serde_json::from_slice::<RoleRequest>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let now = Instant::now();
    let mut state = shared.lock();
    if state.checks_fencing && epoch < state.highest_epoch {
        return json_response(StatusCode::CONFLICT, "{\"error\":\"old fencing number\"}");
    }
    state.highest_epoch = state.highest_epoch.max(epoch);
    let ended = state.simulator.change_role(now, role_request.role);
    let completed_at = state.simulator.unavailable_until().unwrap_or(now);
    state.accepted_orders.push(AcceptedOrder {
        received_at: now,
        epoch,
        role: role_request.role,
        completed_at,
    });
    for event in ended {
        send_event(&mut state, event.key, event.has_token, event.end);
    }
    drop(state);
    shared.wake.notify_one();
    json_response(StatusCode::OK, "{\"accepted\":true}")
}

fn complete(shared: &SharedEngine, body: &[u8]) -> Response<ResponseBody> {
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let mut state = shared.lock();
    let now = Instant::now();
    let is_unavailable = state
        .simulator
        .unavailable_until()
        .is_some_and(|until| until > now);
    if is_unavailable || !state.models.contains(&completion.model) {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, "{\"error\":\"not ready\"}");
    }
    *state
        .start_counts
        .entry(completion.prompt.clone())
        .or_default() += 1;
    let is_poisoned = state
        .faults
        .poison_text
        .as_ref()
        .is_some_and(|text| completion.prompt.contains(text));
    if is_poisoned {
        let restart_time = state.faults.restart_time;
        crash_engine(&mut state, restart_time);
        drop(state);
        shared.wake.notify_one();
        // Dropping the sender aborts the response body without a finish event.
        let (_, body) = channel_body(1);
        return Response::new(body);
    }
    let (sender, response_body) = channel_body(STREAM_BUFFER_EVENTS);
    let key = StreamKey(state.next_key);
    state.next_key += 1;
    let prefix_bytes =
        &completion.prompt.as_bytes()[..completion.prompt.len().min(MAX_PREFIX_BYTES)];
    // The prefix counts as one token for every four bytes.
    let spec = StreamSpec {
        key,
        priority: completion.priority,
        context_tokens: TokenCount(completion.prompt_tokens + completion.offset),
        max_output_tokens: TokenCount(completion.max_tokens.saturating_sub(completion.offset)),
        prefix_hash: hash_prompt(prefix_bytes),
        prefix_tokens: TokenCount((prefix_bytes.len() / 4) as u32),
        imports_kv_cache: !completion.kv_handle.is_empty(),
    };
    let stream = StreamState {
        prompt_hash: hash_prompt(completion.prompt.as_bytes()),
        next_token: completion.offset,
        max_tokens: completion.max_tokens,
        sender,
    };
    // The channel is empty, so that sending the first event cannot fail for lack of capacity.
    let first = format!("data: {{\"stream\":{}}}\n\n", key.0);
    let _ = stream.sender.try_send(first.into());
    state.streams.insert(key, stream);
    state.simulator.submit(spec);
    drop(state);
    shared.wake.notify_one();
    let mut response = Response::new(response_body);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
