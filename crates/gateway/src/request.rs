//! A request of a caller and the history of its attempts.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::atomic::AtomicBool;
use std::sync::{
    Arc,
    Mutex, //
};
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
    AttemptMetadata,
    RequestMetadata, //
};
use policy::{
    BackendLoad,
    BackendSelection,
    CallerAccount,
    EngineCapacity,
    EngineStage,
    PromptUrgency,
    QueuePosition,
    RouteRule,
    SelectionRequest,
    VersionRule, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    ConfigVersion,
    FingerprintId,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    SuspectId, //
};

use crate::request_error::RequestError;
use crate::shared::GatewayShared;
use crate::suspects::crash_suspects::CrashWitness;
use crate::tokens::token_state::ServerGroup;

/// Time without data from a backend server before the first check whether it is unresponsive, and
/// between further checks.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time left below which no further attempt is made, since its answer would not be read: neither the
/// response nor what the backend server says of itself.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(25);

/// Longest time before the deadline at which a backend server gives up.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// A request of a caller with the route that matches it.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) service: ServiceName,
    pub(crate) config_version: ConfigVersion,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Identical when a caller sends the same request again.
    pub(crate) fingerprint: FingerprintId,
    /// What may crash a backend server that runs the request.
    pub(crate) suspects: Arc<[SuspectId]>,
    /// Numbers of crashes at which suspects are tried once more in spite of them.
    pub(crate) trial_crashes: Mutex<BTreeMap<SuspectId, usize>>,
    /// Whether a backend server may have run the request.
    pub(crate) may_have_run: AtomicBool,
    pub(crate) metadata: RequestMetadata,
    /// Account of the caller.
    pub(crate) account: CallerAccount,
    /// When the request arrived.
    pub(crate) started: Instant,
    /// End of the caller's or the route's timeout, whichever is shorter, less a margin for an error
    /// response of the gateway.
    pub(crate) deadline: Instant,
}

impl RequestContext {
    /// Returns the request ID as text.
    pub(crate) fn id(&self) -> String {
        String::from_utf8_lossy(&self.metadata.request_id).into_owned()
    }

    /// Returns the request as a witness of crashes.
    pub(crate) fn witness(&self) -> CrashWitness {
        CrashWitness {
            fingerprint: self.fingerprint,
            suspects: self.suspects.clone(),
            request_id: self.metadata.request_id.clone(),
        }
    }

    /// Returns the rank of the request: that of the account goes before that of the route.
    pub(crate) fn rank(&self) -> u8 {
        self.account.rank(self.rule.rank)
    }

    /// Returns the rank and the target that determine the prompt's queue position.
    pub(crate) fn urgency(&self) -> PromptUrgency {
        PromptUrgency {
            rank: self.rank(),
            target: self.rule.target,
        }
    }

    /// Returns the queue position of the prompt on the selected prefill engine, whose load is `queued`.
    pub(crate) fn queue_position(
        &self,
        selection: &BackendSelection,
        capacity: EngineCapacity,
        queued: BackendLoad,
    ) -> QueuePosition {
        let start = self.started.elapsed() + selection.expected_wait;
        let prefill_time = capacity.prefill_time(selection.uncached_tokens);
        let mean_queued = capacity.prefill_time(queued.mean_prompt_tokens());
        let urgency = self.urgency();
        urgency.position_among(start, prefill_time, mean_queued)
    }

    /// Returns the expected number of output tokens: the caller's estimate, capped at its limit, or
    /// the limit if the caller gives no estimate.
    pub(crate) fn output_tokens(&self) -> u32 {
        let limit = self.metadata.max_output_tokens.0;
        let expected = self
            .metadata
            .expected_output_tokens
            .map_or(limit, |expected| expected.0);
        expected.min(limit.max(1))
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Counts the request as demand on the limited backend servers of a stage.
    pub(crate) fn record_wanted(&self, stage: Option<EngineStage>) {
        let mut state = self.shared.lock();
        let group = ServerGroup {
            service: self.service.clone(),
            stage,
            version: VersionRule::Any,
        };
        state.token_state.record_wanted(Instant::now(), group);
    }

    /// Returns the backend servers of a stage that may serve the request.
    pub(crate) fn server_group(
        &self,
        history: &AttemptHistory,
        stage: Option<EngineStage>,
    ) -> ServerGroup {
        ServerGroup {
            service: self.service.clone(),
            stage,
            version: history.version.clone(),
        }
    }

    /// Returns the request's constraints on backend selection.
    pub(crate) fn selection_request<'a>(
        &'a self,
        history: &'a AttemptHistory,
    ) -> SelectionRequest<'a> {
        SelectionRequest {
            service: &self.service,
            centre: &self.shared.settings.data_centre,
            excluded: &history.excluded,
            version: &history.version,
            preferred_version: None,
        }
    }

    /// Returns the metadata that an attempt sends in addition to the caller's headers.
    pub(crate) fn attempt_metadata(
        &self,
        instance: &InstanceId,
        position: QueuePosition,
    ) -> AttemptMetadata {
        let capacity = self.shared.lock().engine_capacity(&self.service);
        let full_prefill_time = capacity.prefill_time(self.metadata.prompt_layout.tokens());
        AttemptMetadata {
            instance: instance.clone(),
            time_left: Some(self.time_left().saturating_sub(self.answer_margin())),
            priority: self.urgency().priority(position, full_prefill_time),
            prefill_only: false,
            kv_source: None,
            resume_after_event: None,
            account: self.account.clone(),
        }
    }

    /// Returns the time in which the answer of a backend server that gives up must arrive before the
    /// deadline. It says that the request has not run, and may say that the server rests.
    fn answer_margin(&self) -> Duration {
        MAX_ANSWER_MARGIN.min(self.time_left() / 4)
    }

    /// Waits until a backend server shows no liveness signal on any connection.
    pub(crate) async fn wait_until_unresponsive(&self, instance: &InstanceId) {
        loop {
            sleep(LIVENESS_CHECK_INTERVAL).await;
            if self.shared.is_unresponsive(instance) {
                return;
            }
        }
    }

    /// Returns whether there is time for another attempt. The first one is made in any case.
    pub(crate) fn has_time_for_attempt(&self, history: &AttemptHistory) -> bool {
        history.is_empty() || self.time_left() >= MIN_ATTEMPT_TIME
    }

    /// Returns whether a request that may have been processed may be sent again.
    pub(crate) fn may_retry(&self, history: &AttemptHistory) -> bool {
        self.rule.kind.is_retryable() && history.maybe_processed < self.rule.max_attempts
    }

    /// Charges the next attempt to the retry budget if it is a retry. Returns false if the budget is
    /// exhausted.
    fn charge_attempt(&self, history: &mut AttemptHistory) -> bool {
        if !history.needs_charge() {
            return true;
        }
        let is_charged = self.shared.try_spend_retry(&self.service);
        history.charged += u32::from(is_charged);
        is_charged
    }

    /// Charges a decode attempt in the same way. The first one may overdraw the budget, since a gateway
    /// without budget, as after its start, would refuse a caller whose prompt was rejected once.
    pub(crate) fn charge_decode(&self, history: &mut AttemptHistory) -> bool {
        if self.charge_attempt(history) {
            return true;
        }
        let is_charged =
            history.is_first_attempt() && self.shared.try_overdraw_retry(&self.service);
        history.charged += u32::from(is_charged);
        is_charged
    }

    /// Charges a prefill-only attempt in the same way, together with the decode attempt that follows it if
    /// it is rejected. Otherwise a repeated prefill could use up what the decode attempt needs.
    pub(crate) fn charge_prefill(&self, history: &mut AttemptHistory) -> bool {
        if !history.needs_charge() {
            return true;
        }
        let is_charged = self.charge_attempt(history);
        let is_reserved = is_charged && self.shared.try_spend_retry(&self.service);
        history.charged += u32::from(is_reserved);
        is_reserved
    }

    /// Logs why an attempt failed, before it is retried or given up.
    pub(crate) fn log_retry(&self, instance: &InstanceId, reason: &str) {
        let record = self
            .record(DecisionKind::Retry, reason)
            .chosen(instance)
            .input("version", self.version_text(instance))
            .input("left_ms", self.time_left_ms());
        self.shared.log.write(record);
    }

    /// Returns the software version in the entry of a backend server, for the log.
    fn version_text(&self, instance: &InstanceId) -> Option<String> {
        let state = self.shared.lock();
        let version = state.fleet.get(instance)?.record.version.as_ref();
        version.map(SoftwareVersion::to_string)
    }

    /// Logs that a backend server has fallen silent within a stream.
    pub(crate) fn log_silence(&self, instance: &InstanceId, may_retry: bool) {
        let state = self.shared.lock();
        let view = state.fleet.get(instance);
        let silent_time = view.and_then(|view| view.silent_time(Instant::now()));
        drop(state);
        let record = self
            .record(DecisionKind::Retry, "backend server silent within a stream")
            .chosen(instance)
            .input("silent_ms", silent_time.map(|time| time.as_millis() as u64))
            .input("may_retry", may_retry)
            .input("left_ms", self.time_left_ms());
        self.shared.log.write(record);
    }

    /// Logs what became of an attempt beside a silent stream.
    pub(crate) fn log_standby(&self, instance: &InstanceId, outcome: &str, cause: &str) {
        let metrics = &self.shared.metrics;
        metrics.standbys.with_label_values(&[outcome]).inc();
        let record = self
            .record(DecisionKind::Retry, "attempt beside a silent stream ended")
            .chosen(instance)
            .input("version", self.version_text(instance))
            .input("outcome", outcome)
            .input("cause", cause)
            .input("left_ms", self.time_left_ms());
        self.shared.log.write(record);
    }

    /// Logs a backend selection with the scores of the candidates.
    pub(crate) fn log_selection(&self, selection: &BackendSelection, reason: &str) {
        let scores = selection.considered.iter();
        let scores = scores.map(|(instance, score)| format!("{instance}:{score}"));
        let record = self
            .record(DecisionKind::Route, reason)
            .chosen(&selection.instance)
            .considered(scores.collect())
            .input("config", self.config_version.0)
            .input(
                "version",
                selection.version.as_ref().map(SoftwareVersion::as_str),
            )
            .input("without_token", selection.without_token)
            .input("uncached_tokens", selection.uncached_tokens)
            .input("left_ms", self.time_left_ms())
            .input("wait_ms", selection.expected_wait.as_millis() as u64);
        self.shared.log.write(record);
    }

    /// Logs that a prompt is expected to miss its target and is queued behind all others.
    pub(crate) fn log_late_prompt(&self, selection: &BackendSelection) {
        let record = self
            .record(
                DecisionKind::Route,
                "prompt is expected to miss its latency target; prefilled after all other prompts",
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

    /// Returns a log record about this request.
    pub(crate) fn record(&self, kind: DecisionKind, reason: impl Into<String>) -> DecisionRecord {
        let record = DecisionRecord::new(kind, reason)
            .request(self.id())
            .class(&self.rule.name);
        match self.account.name() {
            Some(account) => record.input("account", account.as_str()),
            None => record,
        }
    }
}

/// Number of refused attempts at which a request fails.
pub(crate) const MAX_REFUSALS: u32 = 3;
/// Time spent on unreachable backend servers at which a request fails. Servers that refuse connections
/// at once leave time for many others, those that do not answer for a few.
pub(crate) const MAX_UNREACHABLE_TIME: Duration = Duration::from_millis(900);

/// Attempts made so far for one request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Attempts that backend servers may have processed.
    pub(crate) maybe_processed: u32,
    /// Attempts that backend servers refused without processing them.
    pub(crate) refused: u32,
    /// Attempts that did not reach a backend server.
    pub(crate) unreachable: u32,
    /// Time spent on these.
    pub(crate) unreachable_time: Duration,
    /// Attempts that count against the retry budget: all that reached a backend server, but the first
    /// prefill-only one that was accepted.
    pub(crate) counted: u32,
    /// Retries that were charged to the retry budget.
    pub(crate) charged: u32,
    /// Prefill-only attempts that were accepted.
    pub(crate) accepted_prefills: u32,
    /// Prefill-only attempts that reached an engine.
    pub(crate) prefill_attempts: u32,
    /// Backend servers that are not selected again.
    pub(crate) excluded: BTreeSet<InstanceId>,
    /// Software versions that may go on with the stream.
    pub(crate) version: VersionRule,
    /// Whether the caller has events of the stream.
    pub(crate) has_begun: bool,
    /// Backend server to which an attempt is being sent.
    pub(crate) sending_to: Option<InstanceId>,
}

impl AttemptHistory {
    /// Counts an attempt that was given up while it was being sent, which may have been processed.
    pub(crate) fn record_given_up(&mut self) {
        if let Some(instance) = self.sending_to.take() {
            self.counted += 1;
            self.maybe_processed += 1;
            self.excluded.insert(instance);
        }
    }

    /// Records the version of the process that made events for the caller. Returns whether these are
    /// the first events of the stream, which determine its version.
    pub(crate) fn record_version(&mut self, version: Option<&SoftwareVersion>) -> bool {
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        if is_first {
            self.version = VersionRule::begun_by(version);
        }
        is_first
    }

    /// Returns whether the next attempt has to be charged to the retry budget.
    pub(crate) fn needs_charge(&self) -> bool {
        self.counted > self.charged
    }

    /// Counts a prefill-only attempt that reached an engine.
    pub(crate) fn record_prefill(&mut self, is_accepted: bool) {
        let is_first_accepted = is_accepted && self.accepted_prefills == 0;
        self.accepted_prefills += u32::from(is_accepted);
        self.counted += u32::from(!is_first_accepted);
    }

    /// Returns whether an engine has prefilled the prompt.
    pub(crate) fn has_prefilled(&self) -> bool {
        self.accepted_prefills > 0
    }

    /// Counts an attempt that did not reach its backend server.
    pub(crate) fn record_unreachable(&mut self, elapsed: Duration) {
        self.unreachable += 1;
        self.unreachable_time += elapsed;
    }

    /// Returns whether backend servers have been out of reach for as long as is allowed.
    pub(crate) fn has_been_unreachable(&self) -> bool {
        self.unreachable_time >= MAX_UNREACHABLE_TIME
    }

    /// Returns whether backend servers have refused the request or were out of reach as often as is
    /// allowed.
    pub(crate) fn has_failed_too_often(&self) -> bool {
        self.refused >= MAX_REFUSALS || self.has_been_unreachable()
    }

    /// Returns whether no attempt has reached a backend server, prefill-only attempts aside.
    fn is_first_attempt(&self) -> bool {
        self.maybe_processed + self.refused == 0
    }

    /// Returns whether no attempt of any kind has been made.
    pub(crate) fn is_empty(&self) -> bool {
        self.is_first_attempt() && self.prefill_attempts + self.unreachable == 0
    }

    /// Returns the error for a request that must not be sent for some time, since it may crash
    /// backend servers.
    pub(crate) fn quarantine_error(&self, remaining: Duration) -> RequestError {
        if self.maybe_processed > 0 {
            RequestError::Unsure("kept_out")
        } else {
            RequestError::Quarantined(remaining)
        }
    }

    /// Returns the error for a request that is not sent again, according to whether any attempt may
    /// have been processed.
    pub(crate) fn final_error(&self, reason: &'static str) -> RequestError {
        if self.maybe_processed > 0 {
            RequestError::Unsure(reason)
        } else {
            RequestError::Unavailable(reason)
        }
    }
}
