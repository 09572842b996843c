//! One request of a caller on its way through the gateway.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method,
    Uri, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    AttemptMetadata, //
    RequestMetadata,
};
use policy::{
    BackendSelection,
    EngineCapacity,
    PromptUrgency,
    QueuePosition,
    RouteRule, //
    SelectionRequest,
};
use tokio::time::Instant;
use units::{
    ConfigVersion,
    FingerprintId,
    InstanceId,
    ServiceName, //
};

use crate::request_error::RequestError;
use crate::shared::GatewayShared;

/// A request with the route that it takes.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) service: ServiceName,
    pub(crate) config_version: ConfigVersion,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The same when a caller sends the request again.
    pub(crate) fingerprint: FingerprintId,
    pub(crate) metadata: RequestMetadata,
    pub(crate) started: Instant,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
}

impl RequestContext {
    /// The request's id as text.
    pub(crate) fn id(&self) -> String {
        String::from_utf8_lossy(&self.metadata.request_id).into_owned()
    }

    /// What decides on the place of its prompt.
    pub(crate) fn urgency(&self) -> PromptUrgency {
        PromptUrgency {
            rank: self.rule.rank,
            target: self.rule.target,
        }
    }

    /// Place of the prompt among those of the prefill engine that has read it soonest.
    pub(crate) fn queue_position(
        &self,
        selection: &BackendSelection,
        capacity: EngineCapacity,
    ) -> QueuePosition {
        let start = self.started.elapsed() + selection.expected_wait;
        let prefill_time = capacity.prefill_time(selection.uncached_tokens);
        self.urgency().position_at(start, prefill_time)
    }

    /// Tokens that are likely to be generated.
    pub(crate) fn output_tokens(&self) -> u32 {
        let limit = self.metadata.max_output_tokens.0;
        let expected = self
            .metadata
            .expected_output_tokens
            .map_or(limit, |expected| expected.0);
        expected.min(limit.max(1))
    }

    /// Time left until the caller or the route gives up.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What a placement needs to know of the request.
    pub(crate) fn selection_request<'a>(
        &'a self,
        history: &'a AttemptHistory,
    ) -> SelectionRequest<'a> {
        SelectionRequest {
            service: &self.service,
            centre: &self.shared.settings.data_centre,
            excluded: &history.excluded,
        }
    }

    /// What a send to a backend server says beside the caller's headers.
    pub(crate) fn attempt_metadata(
        &self,
        instance: &InstanceId,
        position: QueuePosition,
    ) -> AttemptMetadata {
        let capacity = self.shared.lock().engine_capacity(&self.service);
        let full_prefill_time = capacity.prefill_time(self.metadata.prompt_layout.tokens());
        AttemptMetadata {
            instance: instance.clone(),
            time_left: Some(self.time_left()),
            priority: self.urgency().priority(position, full_prefill_time),
            prefill_only: false,
            kv_source: None,
            resume_after_event: None,
        }
    }

    /// Whether a request that may have run may run once more.
    pub(crate) fn may_retry(&self, history: &AttemptHistory) -> bool {
        self.rule.kind.is_retryable() && history.maybe_processed < self.rule.max_attempts
    }

    /// Logs why a send is repeated or given up.
    pub(crate) fn log_retry(&self, instance: &InstanceId, reason: &str) {
        let record = self.record(DecisionKind::Retry, reason).chosen(instance);
        self.shared
            .log
            .write(record.input("left_ms", self.time_left_ms()));
    }

    /// Logs a choice with the scores behind it.
    pub(crate) fn log_selection(&self, selection: &BackendSelection, reason: &str) {
        let scores = selection.considered.iter();
        let scores = scores.map(|(instance, score)| format!("{instance}:{score}"));
        let record = self
            .record(DecisionKind::Route, reason)
            .chosen(&selection.instance)
            .considered(scores.collect())
            .input("config", self.config_version.0)
            .input("uncached_tokens", selection.uncached_tokens)
            .input("left_ms", self.time_left_ms())
            .input("wait_ms", selection.expected_wait.as_millis() as u64);
        self.shared.log.write(record);
    }

    /// Logs that a prompt goes behind all others.
    pub(crate) fn log_late_prompt(&self, selection: &BackendSelection) {
        let record = self
            .record(
                DecisionKind::Route,
                "late in any case, read after all others",
            )
            .chosen(&selection.instance)
            .input("target_ms", self.rule.target.as_millis() as u64)
            .input("held_ms", self.started.elapsed().as_millis() as u64)
            .input("wait_ms", selection.expected_wait.as_millis() as u64);
        self.shared.log.write(record);
    }

    fn time_left_ms(&self) -> u64 {
        self.time_left().as_millis() as u64
    }

    /// A log record about this request.
    pub(crate) fn record(&self, kind: DecisionKind, reason: impl Into<String>) -> DecisionRecord {
        DecisionRecord::new(kind, reason)
            .request(self.id())
            .class(&self.rule.name)
    }
}

/// Sends of one request that backend servers may refuse before it is given up.
pub(crate) const MAX_REFUSALS: u32 = 3;
/// Backend servers that may be out of reach before a request is given up.
pub(crate) const MAX_UNREACHABLE_SERVERS: u32 = 3;

/// Sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Sends that may have run.
    pub(crate) maybe_processed: u32,
    /// Sends that backend servers refused without running them.
    pub(crate) refused: u32,
    /// Backend servers that were out of reach.
    pub(crate) unreachable: u32,
    /// Sends that only had the prompt read.
    pub(crate) prefill_attempts: u32,
    /// Backend servers that are not tried again.
    pub(crate) excluded: BTreeSet<InstanceId>,
}

impl AttemptHistory {
    /// Whether any send has arrived at a backend server; the first one is not a repeat.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.maybe_processed + self.refused == 0
    }

    /// Whether nothing has been tried yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.is_first_attempt() && self.prefill_attempts + self.unreachable == 0
    }

    /// The answer that is true when a request is given up.
    pub(crate) fn final_error(&self, reason: &'static str) -> RequestError {
        if self.maybe_processed > 0 {
            RequestError::Unsure(reason)
        } else {
            RequestError::Unavailable(reason)
        }
    }
}
