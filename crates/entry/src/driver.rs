//! Runs a completion over several attempts until the answer is complete or has failed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    AnswerAssembler,
    RouteChoice,
    RouteRefusal,
    RouteRequirements,
    SuspectVerdict, //
};
use tokio::sync::mpsc;
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    InstanceId,
    PieceCount,
    TokenCount, //
};
use wire::FinishCode;

use crate::caller_failure::{
    CallerFailure,
    ExecutionState, //
};
use crate::completion_job::CompletionJob;
use crate::driver_attempt::AttemptEnd;
use crate::state::EntryShared;

/// Maximum number of attempts before the first token.
const MAX_START_ATTEMPTS: usize = 4;
/// Maximum number of attempts for one answer.
const MAX_TOTAL_ATTEMPTS: usize = 24;
/// Delay before a resume is tried again while no backend server is available.
const RESUME_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a suspect request checks whether the attempt of an identical one has ended.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Default time after which callers are told to retry.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Finish reason of an answer that ended early but reached the completeness that its class
/// requires.
const INCOMPLETE_FINISH: &str = "incomplete";

/// Event that a driver sends to the response.
#[derive(Debug, Clone)]
pub(crate) enum AnswerEvent {
    Chunk(Bytes),
    Complete {
        finish: &'static str,
        tokens: TokenCount,
    },
    Failed(CallerFailure),
}

/// Produces the answer to one completion request.
pub(crate) struct AnswerDriver {
    pub(crate) shared: Arc<EntryShared>,
    pub(crate) job: CompletionJob,
    pub(crate) events: mpsc::Sender<AnswerEvent>,
    pub(crate) assembler: AnswerAssembler,
    /// Engines already tried, which the next attempt avoids.
    pub(crate) excluded: BTreeSet<InstanceId>,
    /// Handle of the KV cache that a prefill engine has handed off; empty if there is none.
    pub(crate) kv_handle: String,
    pub(crate) may_have_run: bool,
    /// Whether the current attempt no longer pins the request to its engine.
    pub(crate) pin_released: bool,
    pub(crate) attempts: usize,
}

impl AnswerDriver {
    pub(crate) fn new(
        shared: Arc<EntryShared>,
        job: CompletionJob,
        events: mpsc::Sender<AnswerEvent>,
    ) -> Self {
        Self {
            shared,
            job,
            events,
            assembler: AnswerAssembler::new(),
            excluded: BTreeSet::new(),
            kv_handle: String::new(),
            may_have_run: false,
            pin_released: true,
            attempts: 0,
        }
    }

    /// Runs attempts until the answer is complete or has failed, and sends the last event.
    pub(crate) async fn run(mut self) {
        let result = match self.run_attempts().await {
            Err(_) if self.meets_completeness() => Ok(Some(INCOMPLETE_FINISH)),
            result => result,
        };
        let last_event = match result {
            Ok(Some(finish)) => {
                let tokens = self.assembler.delivered();
                self.log_result(DecisionKind::Finish, finish);
                AnswerEvent::Complete { finish, tokens }
            }
            Ok(None) => {
                self.log_result(DecisionKind::Finish, "caller disconnected");
                return;
            }
            Err(failure) => {
                let kind = match failure.execution {
                    ExecutionState::NotRun => DecisionKind::Refuse,
                    ExecutionState::Unknown => DecisionKind::Finish,
                };
                self.log_result(kind, failure.code);
                self.shared
                    .metrics
                    .refusals
                    .with_label_values(&[failure.code])
                    .inc();
                AnswerEvent::Failed(failure)
            }
        };
        // The caller may have disconnected.
        let _ = self.events.send(last_event).await;
    }

    /// Runs attempts until one completes the answer and returns the finish reason, or `None` if the
    /// caller disconnected.
    async fn run_attempts(&mut self) -> Result<Option<&'static str>, CallerFailure> {
        self.shared.lock().retry_bucket.record_request();
        loop {
            let isolated = self.requires_isolation()?;
            if self.assembler.delivered() >= self.job.request.max_tokens {
                return Ok(Some("length"));
            }
            if isolated && self.is_trial_running() {
                self.wait_for_trial().await?;
                continue;
            }
            let choice = match self.route(isolated) {
                Ok(choice) => choice,
                Err(refusal) => {
                    self.wait_for_engine(refusal).await?;
                    continue;
                }
            };
            self.attempts += 1;
            let end = self.run_attempt(&choice, isolated).await;
            self.excluded.insert(choice.instance);
            match end {
                AttemptEnd::Complete(code) => {
                    self.clear_suspect(isolated);
                    return Ok(Some(finish_reason(code)));
                }
                AttemptEnd::CallerDisconnected => return Ok(None),
                AttemptEnd::DeadlineExceeded => {
                    let message = "the answer took longer than this entry allows; ask for less";
                    return Err(CallerFailure::unknown("answer_timeout", message));
                }
                AttemptEnd::Refused(reason, delay) => self.handle_refusal(&reason, delay)?,
                AttemptEnd::Handoff(handle) => {
                    self.kv_handle = handle;
                    self.excluded.clear();
                }
                AttemptEnd::Crashed | AttemptEnd::Interrupted => self.handle_interruption()?,
            }
        }
    }

    /// Returns whether a failed answer has reached the completeness that its class requires.
    fn meets_completeness(&self) -> bool {
        let required = self.job.target.completeness * f64::from(self.job.request.max_tokens.0);
        let delivered = f64::from(self.assembler.delivered().0);
        self.job.target.completeness < 1.0 && delivered >= required
    }

    /// Returns whether the request must run in isolation, or a failure if it is quarantined.
    fn requires_isolation(&self) -> Result<bool, CallerFailure> {
        let fingerprint = self.job.fingerprint;
        let now = Instant::now();
        let mut state = self.shared.lock();
        match state.suspects.verdict(now, fingerprint, 0) {
            SuspectVerdict::Unrestricted => Ok(false),
            SuspectVerdict::Isolated => Ok(true),
            SuspectVerdict::Trial => {
                state.suspects.record_trial(now, fingerprint);
                Ok(true)
            }
            SuspectVerdict::Quarantined(duration) => {
                let message = "this request crashed backend servers twice; change it or wait";
                let mut failure = CallerFailure::not_run("quarantined", message, duration);
                if self.may_have_run {
                    failure.execution = ExecutionState::Unknown;
                }
                Err(failure)
            }
        }
    }

    /// Returns whether an identical request runs through this entry without a first token so far.
    fn is_trial_running(&self) -> bool {
        let fingerprint = self.job.fingerprint;
        self.shared
            .lock()
            .request_pins
            .pinned_instance(fingerprint)
            .is_some()
    }

    /// Waits one poll interval for the attempt of an identical request, or fails if the deadline of
    /// the first token has passed.
    async fn wait_for_trial(&self) -> Result<(), CallerFailure> {
        let out_of_time = self.job.first_token_budget(Instant::now()).is_zero();
        if out_of_time && !self.may_have_run {
            let message = "the same request is tried alone; send this one again later";
            return Err(CallerFailure::not_run("on_trial", message, RETRY_AFTER));
        }
        sleep(TRIAL_POLL_INTERVAL).await;
        Ok(())
    }

    /// Clears the suspicion against a request whose isolated attempt completed the answer.
    fn clear_suspect(&self, isolated: bool) {
        if isolated {
            let fingerprint = self.job.fingerprint;
            let mut state = self.shared.lock();
            state.suspects.record_completed(Instant::now(), fingerprint);
        }
    }

    /// Selects an engine for the next attempt.
    fn route(&mut self, isolated: bool) -> Result<RouteChoice, RouteRefusal> {
        let now = Instant::now();
        let delivered = self.assembler.delivered();
        let mut guard = self.shared.lock();
        let state = &mut *guard;
        let context_tokens = TokenCount(self.job.request.prompt_tokens.0 + delivered.0);
        let remaining_output = self.job.remaining_output(delivered);
        let required_pieces = (context_tokens.0 + remaining_output.0).div_ceil(state.piece_tokens);
        let is_resume = delivered.0 > 0;
        let requirements = RouteRequirements {
            model: self.job.request.model.clone(),
            rank: self.job.rank(),
            prefill_work: state.cost_model.prefill_work(context_tokens),
            decode_work: state.cost_model.decode_work(remaining_output),
            required_pieces: PieceCount(required_pieces),
            prefix_hash: self.job.prefix_hash,
            time_budget: if is_resume {
                Duration::MAX
            } else {
                self.job.first_token_budget(now)
            },
            imports_kv_cache: !self.kv_handle.is_empty(),
            pinned: state.request_pins.pinned_instance(self.job.fingerprint),
            trial_fingerprint: isolated.then_some(self.job.fingerprint),
            excluded: self.excluded.clone(),
        };
        let choice = state.router.route(now, &requirements, &mut state.rng);
        drop(guard);
        if let Ok(choice) = &choice {
            self.log_route(choice, is_resume);
        }
        choice
    }

    /// Fails a request that cannot start in time, or waits before an answer in progress is resumed.
    async fn wait_for_engine(&mut self, refusal: RouteRefusal) -> Result<(), CallerFailure> {
        let started = self.may_have_run || self.assembler.delivered().0 > 0;
        let deadline_passed = self.answer_deadline() <= Instant::now();
        if !started || deadline_passed || self.attempts >= MAX_TOTAL_ATTEMPTS {
            return Err(self.routing_failure(refusal));
        }
        // Engines that failed earlier may have recovered.
        self.excluded.clear();
        if matches!(refusal, RouteRefusal::NoneAvailable) && !self.kv_handle.is_empty() {
            self.kv_handle.clear();
        }
        sleep(RESUME_DELAY).await;
        Ok(())
    }

    /// Returns the failure of a request for which no engine was selected.
    fn routing_failure(&self, refusal: RouteRefusal) -> CallerFailure {
        let mut failure = match refusal {
            RouteRefusal::NoneAvailable => {
                let message = "no backend server with this model takes work; try again later";
                CallerFailure::not_run("none_available", message, RETRY_AFTER)
            }
            RouteRefusal::WouldMissTarget(wait) => {
                let message = "the answer would start too late for its class; try again later";
                CallerFailure::not_run("would_miss_target", message, wait.max(RETRY_AFTER))
            }
        };
        if self.may_have_run {
            failure.execution = ExecutionState::Unknown;
        }
        failure
    }

    /// Prepares a retry after a refused attempt, or fails the request.
    ///
    /// Only retries of requests that have not started count against the retry budget.
    fn handle_refusal(&mut self, reason: &str, retry_after: Duration) -> Result<(), CallerFailure> {
        self.kv_handle.clear();
        let started = self.may_have_run || self.assembler.delivered().0 > 0;
        let may_retry = self.attempts
            < if started {
                MAX_TOTAL_ATTEMPTS
            } else {
                MAX_START_ATTEMPTS
            };
        if may_retry && (started || self.shared.lock().retry_bucket.try_spend()) {
            self.shared.metrics.retries.inc();
            return Ok(());
        }
        let message = format!("backend servers refused the request ({reason}); try again later");
        let mut failure = CallerFailure::not_run("refused", message, retry_after);
        if self.may_have_run {
            failure.execution = ExecutionState::Unknown;
        }
        Err(failure)
    }

    /// Prepares a resume after an interrupted attempt, or fails the request.
    fn handle_interruption(&mut self) -> Result<(), CallerFailure> {
        self.kv_handle.clear();
        self.may_have_run = true;
        self.shared.metrics.resumes.inc();
        if self.attempts >= MAX_TOTAL_ATTEMPTS {
            let message = "the answer broke off too often; send the request again";
            return Err(CallerFailure::unknown("broken_off", message));
        }
        Ok(())
    }

    /// Returns the deadline of the whole answer.
    pub(crate) fn answer_deadline(&self) -> Instant {
        let timeout = Duration::from_millis(self.shared.settings.limits.answer_ms.into());
        self.job.arrived_at + timeout
    }

    fn log_route(&self, choice: &RouteChoice, is_resume: bool) {
        let kind = if is_resume {
            DecisionKind::Resume
        } else {
            DecisionKind::Route
        };
        let describe_candidate = |(instance, duration): &(InstanceId, Duration)| {
            format!("{instance} in {} ms", duration.as_millis())
        };
        let considered = choice.considered.iter().map(describe_candidate).collect();
        let reason = match (choice.expects_cache_hit, self.kv_handle.is_empty()) {
            (_, false) => "lowest expected wait and load; imports the KV cache",
            (true, _) => "lowest expected wait and load; prompt prefix expected in its cache",
            (false, _) => "lowest expected wait and load",
        };
        let record = DecisionRecord::new(kind, reason)
            .request(self.job.request_id)
            .class(&self.job.class)
            .chosen(&choice.instance)
            .considered(considered);
        self.shared.log.write(record);
    }

    fn log_result(&self, kind: DecisionKind, reason: &str) {
        let record = DecisionRecord::new(kind, reason)
            .request(self.job.request_id)
            .class(&self.job.class);
        self.shared.log.write(record);
    }
}

fn finish_reason(code: FinishCode) -> &'static str {
    if code == FinishCode::Length {
        "length"
    } else {
        "stop"
    }
}
