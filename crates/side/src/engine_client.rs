//! What is asked of a model engine over HTTP.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{
    Method,
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
use units::{
    EpochNumber,
    ModelName, //
};
use web::{
    HttpRequest,
    WebError,
    open_response,
    send_request, //
};

const CALL_TIME: Duration = Duration::from_millis(1_000);
/// An engine answers with headers at once, before it computes.
const OPEN_TIME: Duration = Duration::from_millis(2_000);
const REPLY_LIMIT_BYTES: usize = 64 * 1_024;

/// What an engine says of itself.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub(crate) struct EngineInfo {
    pub(crate) profile: EngineProfile,
    pub(crate) role: EngineRole,
    pub(crate) models: BTreeSet<ModelName>,
    pub(crate) away_ms: u64,
    pub(crate) highest_epoch: EpochNumber,
}

/// A completion as the engine takes it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct EngineCall<'a> {
    pub(crate) model: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) prior: &'a str,
    pub(crate) prompt_tokens: u32,
    pub(crate) offset: u32,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u32,
    pub(crate) kv_handle: &'a str,
    pub(crate) stream: bool,
}

/// One event of an engine's stream.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct EngineEvent {
    /// Number of the stream on the engine, in its first event.
    pub(crate) stream: Option<u64>,
    pub(crate) text: String,
    pub(crate) tokens: u32,
    pub(crate) finish_reason: Option<String>,
    pub(crate) kv_handle: String,
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderReply {
    Accepted,
    Fenced,
    /// Whether the engine took it is not known.
    Lost,
    Unsent,
}

/// Talks to the engine on the same instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineClient {
    address: SocketAddr,
}

impl EngineClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    pub(crate) async fn info(&self) -> Option<EngineInfo> {
        let request = HttpRequest::new(self.address, Method::GET, "/v1/engine");
        let reply = send_request(request, REPLY_LIMIT_BYTES, CALL_TIME)
            .await
            .ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    pub(crate) async fn open(&self, call: &EngineCall<'_>) -> Result<Response<Incoming>, WebError> {
        let body = serde_json::to_vec(call).unwrap_or_default();
        let request = HttpRequest::new(self.address, Method::POST, "/v1/completions").body(body);
        open_response(request, OPEN_TIME).await
    }

    /// Asks the engine to end a stream and to export its KV cache. The stream tells the rest.
    pub(crate) async fn pause(&self, stream: u64) {
        let body = format!("{{\"stream\":{stream}}}");
        let request = HttpRequest::new(self.address, Method::POST, "/v1/engine/pause").body(body);
        // A stream that can't be paused goes on, which costs room but loses nothing.
        let _ = send_request(request, REPLY_LIMIT_BYTES, CALL_TIME).await;
    }

    pub(crate) async fn order(&self, epoch: EpochNumber, role: EngineRole) -> OrderReply {
        let body = format!("{{\"role\":\"{role}\"}}");
        let request = HttpRequest::new(self.address, Method::POST, "/v1/engine/role")
            .header("x-fencing-number", epoch)
            .body(body);
        match send_request(request, REPLY_LIMIT_BYTES, CALL_TIME).await {
            Ok(reply) if reply.status == StatusCode::OK => OrderReply::Accepted,
            Ok(_) => OrderReply::Fenced,
            Err(error) if error.is_unsent() => OrderReply::Unsent,
            Err(_) => OrderReply::Lost,
        }
    }
}
