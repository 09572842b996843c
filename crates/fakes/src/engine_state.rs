//! State of a model engine: its streams, faults and orders, moved on in real or paused time.

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

use crate::answer::token_of;
use crate::engine_model::{
    EngineModel,
    StreamEnd,
    StreamKey, //
};
use crate::order_log::OrderEntry;

/// Faults of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Text in a prompt that crashes the engine.
    pub poison: Option<String>,
    /// Time that a restart after a crash takes.
    pub restart: Duration,
    /// Streams stop sending without an end.
    pub silent: bool,
}

/// How an engine stand-in starts.
#[derive(Debug, Clone)]
pub struct FakeEngineSettings {
    /// Memory and step times.
    pub profile: EngineProfile,
    /// Role at the start.
    pub role: EngineRole,
    /// Models loaded.
    pub models: BTreeSet<ModelName>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) models: BTreeSet<ModelName>,
    pub(crate) checks_fencing: bool,
    pub(crate) faults: EngineFaults,
    pub(crate) streams: BTreeMap<StreamKey, StreamState>,
    pub(crate) next_key: u64,
    pub(crate) highest_epoch: EpochNumber,
    pub(crate) orders: Vec<OrderEntry>,
    pub(crate) crashes: u32,
    pub(crate) runs: BTreeMap<String, u32>,
}

#[derive(Debug)]
pub(crate) struct StreamState {
    pub(crate) hash: u64,
    pub(crate) next: u32,
    pub(crate) total: u32,
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

pub(crate) fn crash(state: &mut EngineState, away: Duration) {
    state.crashes += 1;
    state.model.crash(Instant::now() + away);
    // Dropped senders cut the streams without an end.
    state.streams.clear();
}

pub(crate) async fn drive(shared: Arc<SharedEngine>) {
    loop {
        let stepped = shared.lock().model.step(Instant::now());
        let Some((duration, events)) = stepped else {
            shared.wake.notified().await;
            continue;
        };
        sleep(duration).await;
        let mut state = shared.lock();
        for event in events {
            emit(&mut state, event.key, event.token, event.end);
        }
    }
}

pub(crate) fn emit(state: &mut EngineState, key: StreamKey, token: bool, end: Option<StreamEnd>) {
    let silent = state.faults.silent;
    let Some(stream) = state.streams.get_mut(&key) else {
        return;
    };
    let mut sent = true;
    if token && !silent {
        let text = token_of(stream.hash, stream.next);
        stream.next += 1;
        let line = format!("data: {{\"text\":\"{text}\",\"tokens\":1}}\n\n");
        sent = stream.sender.try_send(line.into()).is_ok();
    }
    if let Some(end) = end {
        if !silent {
            // A reader that is gone needs no end.
            let _ = stream.sender.try_send(end_line(end, stream).into());
        }
        state.streams.remove(&key);
    } else if !sent {
        state.streams.remove(&key);
        state.model.cancel(key);
    }
}

/// Ends a stream and exports its KV cache, from which it can be resumed.
pub(crate) fn pause(shared: &SharedEngine, body: &[u8]) -> Response<ResponseBody> {
    #[derive(Deserialize)]
    struct PauseCall {
        stream: u64,
    }
    let Ok(call) = serde_json::from_slice::<PauseCall>(body) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let key = StreamKey(call.stream);
    let mut state = shared.lock();
    let Some(stream) = state.streams.remove(&key) else {
        return json_response(StatusCode::NOT_FOUND, "{}");
    };
    state.model.cancel(key);
    let line = finish_line("paused", &kv_handle(&stream));
    // A reader that is gone needs no end.
    let _ = stream.sender.try_send(line.into());
    json_response(StatusCode::OK, "{}")
}

pub(crate) fn kv_handle(stream: &StreamState) -> String {
    format!("kv-{:016x}-{}", stream.hash, stream.next)
}

pub(crate) fn finish_line(reason: &str, handle: &str) -> String {
    let event = format!("{{\"finish_reason\":\"{reason}\",\"kv_handle\":\"{handle}\"}}");
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

pub(crate) fn end_line(end: StreamEnd, stream: &StreamState) -> String {
    let reason = match end {
        StreamEnd::Finished if stream.next >= stream.total => "length",
        StreamEnd::Finished => "stop",
        StreamEnd::Handoff => "handoff",
        StreamEnd::Interrupted => "interrupted",
    };
    let handle = match end {
        StreamEnd::Handoff => kv_handle(stream),
        _ => String::new(),
    };
    finish_line(reason, &handle)
}
