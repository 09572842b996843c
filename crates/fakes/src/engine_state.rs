//! State of a fake model engine, and the task that runs its steps in tokio time.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response,
    StatusCode, //
};
use policy::{
    EngineProfile,
    EngineRole, //
};
use serde::Deserialize;
use tokio::sync::{
    Notify,
    mpsc, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    EpochNumber,
    ModelName, //
};
use web::{
    ResponseBody,
    json_response, //
};

use crate::accepted_order::AcceptedOrder;
use crate::answer::token_for_hash;
use crate::engine_simulator::{
    EngineSimulator,
    StreamEnd,
    StreamKey, //
};

/// Faults to inject into an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Text that crashes the engine when a prompt contains it.
    pub poison_text: Option<String>,
    /// Duration of the restart after a crash that a prompt caused.
    pub restart_time: Duration,
    /// Whether streams stop sending events but stay open.
    pub stall_streams: bool,
}

/// Initial settings of a fake engine.
#[derive(Debug, Clone)]
pub struct FakeEngineSettings {
    /// Memory and speed parameters.
    pub profile: EngineProfile,
    /// Initial role.
    pub role: EngineRole,
    /// Loaded models.
    pub models: BTreeSet<ModelName>,
    /// Whether the engine rejects orders with a stale fencing number.
    pub checks_fencing: bool,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) simulator: EngineSimulator,
    pub(crate) models: BTreeSet<ModelName>,
    pub(crate) checks_fencing: bool,
    pub(crate) faults: EngineFaults,
    pub(crate) streams: BTreeMap<StreamKey, StreamState>,
    pub(crate) next_key: u64,
    pub(crate) highest_epoch: EpochNumber,
    pub(crate) accepted_orders: Vec<AcceptedOrder>,
    pub(crate) crash_count: u32,
    pub(crate) start_counts: BTreeMap<String, u32>,
}

#[derive(Debug)]
pub(crate) struct StreamState {
    pub(crate) prompt_hash: u64,
    pub(crate) next_token: u32,
    pub(crate) max_tokens: u32,
    pub(crate) sender: mpsc::Sender<Bytes>,
}

#[derive(Debug)]
pub(crate) struct SharedEngine {
    pub(crate) state: Mutex<EngineState>,
    pub(crate) wake: Notify,
}

impl SharedEngine {
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Crashes the engine, which aborts all streams.
pub(crate) fn crash_engine(state: &mut EngineState, restart_time: Duration) {
    state.crash_count += 1;
    state.simulator.crash(Instant::now() + restart_time);
    // Dropping the senders aborts the response bodies without a finish event.
    state.streams.clear();
}

/// Runs the steps of the simulator and sends the events of each step to the streams.
pub(crate) async fn run_steps(shared: Arc<SharedEngine>) {
    loop {
        let step = shared.lock().simulator.step(Instant::now());
        let Some((duration, events)) = step else {
            shared.wake.notified().await;
            continue;
        };
        sleep(duration).await;
        let mut state = shared.lock();
        for event in events {
            send_event(&mut state, event.key, event.has_token, event.end);
        }
    }
}

/// Sends the progress of one step to a stream.
///
/// A stream whose client disconnected or does not read its events in time is cancelled.
pub(crate) fn send_event(
    state: &mut EngineState,
    key: StreamKey,
    has_token: bool,
    end: Option<StreamEnd>,
) {
    let stall_streams = state.faults.stall_streams;
    let Some(stream) = state.streams.get_mut(&key) else {
        return;
    };
    let mut sent = true;
    if has_token && !stall_streams {
        let text = token_for_hash(stream.prompt_hash, stream.next_token);
        stream.next_token += 1;
        let event = format!("data: {{\"text\":\"{text}\",\"tokens\":1}}\n\n");
        sent = stream.sender.try_send(event.into()).is_ok();
    }
    if let Some(end) = end {
        if !stall_streams {
            // An error means that the client disconnected, and no finish event is needed.
            let _ = stream.sender.try_send(end_event(end, stream).into());
        }
        state.streams.remove(&key);
    } else if !sent {
        state.streams.remove(&key);
        state.simulator.cancel(key);
    }
}

/// Pauses a stream: ends its response with a handle to the KV cache, from which another attempt can
/// resume the stream.
pub(crate) fn pause_stream(shared: &SharedEngine, body: &[u8]) -> Response<ResponseBody> {
    #[derive(Deserialize)]
    struct PauseRequest {
        stream: u64,
    }
    let Ok(pause_request) = serde_json::from_slice::<PauseRequest>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let key = StreamKey(pause_request.stream);
    let mut state = shared.lock();
    let Some(stream) = state.streams.remove(&key) else {
        return json_response(StatusCode::NOT_FOUND, "{}");
    };
    state.simulator.cancel(key);
    let event = finish_event("paused", &kv_handle(&stream));
    // An error means that the client disconnected, and no finish event is needed.
    let _ = stream.sender.try_send(event.into());
    json_response(StatusCode::OK, "{}")
}

pub(crate) fn kv_handle(stream: &StreamState) -> String {
    format!("kv-{:016x}-{}", stream.prompt_hash, stream.next_token)
}

/// Formats the finish event and the end marker of a stream.
pub(crate) fn finish_event(reason: &str, handle: &str) -> String {
    let event = format!("{{\"finish_reason\":\"{reason}\",\"kv_handle\":\"{handle}\"}}");
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

pub(crate) fn end_event(end: StreamEnd, stream: &StreamState) -> String {
    let reason = match end {
        StreamEnd::Finished if stream.next_token >= stream.max_tokens => "length",
        StreamEnd::Finished => "stop",
        StreamEnd::Handoff => "handoff",
        StreamEnd::Interrupted => "interrupted",
    };
    let handle = match end {
        StreamEnd::Handoff => kv_handle(stream),
        _ => String::new(),
    };
    finish_event(reason, &handle)
}
