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

const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An engine answers with headers at once, before it computes.
const RESPONSE_HEADER_TIMEOUT: Duration = Duration::from_millis(2_000);
const MAX_RESPONSE_BYTES: usize = 64 * 1_024;

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
pub(crate) struct CompletionRequest<'a> {
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
pub(crate) enum OrderOutcome {
    Accepted,
    Fenced,
    /// Whether the engine took it is not known.
    ReplyLost,
    NotSent,
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

    pub(crate) async fn fetch_info(&self) -> Option<EngineInfo> {
        let request = HttpRequest::new(self.address, Method::GET, "/v1/engine");
        let response = send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    pub(crate) async fn open_completion(
        &self,
        completion: &CompletionRequest<'_>,
    ) -> Result<Response<Incoming>, WebError> {
        let body = serde_json::to_vec(completion).unwrap_or_default();
        let request = HttpRequest::new(self.address, Method::POST, "/v1/completions").body(body);
        open_response(request, RESPONSE_HEADER_TIMEOUT).await
    }

    /// Asks the engine to end a stream and to export its KV cache. The stream tells the rest.
    pub(crate) async fn pause_stream(&self, stream: u64) {
        let body = format!("{{\"stream\":{stream}}}");
        let request = HttpRequest::new(self.address, Method::POST, "/v1/engine/pause").body(body);
        // A stream that can't be paused goes on, which costs room but loses nothing.
        let _ = send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await;
    }

    pub(crate) async fn set_role(&self, epoch: EpochNumber, role: EngineRole) -> OrderOutcome {
        let body = format!("{{\"role\":\"{role}\"}}");
        let request = HttpRequest::new(self.address, Method::POST, "/v1/engine/role")
            .header("x-fencing-number", epoch)
            .body(body);
        match send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => OrderOutcome::Accepted,
            Ok(_) => OrderOutcome::Fenced,
            Err(error) if error.is_unsent() => OrderOutcome::NotSent,
            Err(_) => OrderOutcome::ReplyLost,
        }
    }
}
