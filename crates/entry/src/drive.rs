//! Drives a completion over as many attempts as it takes, to one whole answer or one failure.

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

use crate::failure::{
    CallerFailure,
    RunTruth, //
};
use crate::follow::AttemptEnd;
use crate::state::EntryShared;
use crate::work::WorkItem;

/// Attempts that a request may take before its first token.
const START_ATTEMPTS: usize = 4;
/// Attempts that an answer may take in all.
const TOTAL_ATTEMPTS: usize = 24;
/// Pause before a resume when no backend server is available.
const RESUME_PAUSE: Duration = Duration::from_millis(200);
/// Pause between looks at the trial of the same request.
const TRIAL_PAUSE: Duration = Duration::from_millis(25);
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Finish reason of an answer that broke off within the completeness of its class.
const INCOMPLETE: &str = "incomplete";

/// What a driver hands out.
#[derive(Debug, Clone)]
pub(crate) enum AnswerEvent {
    Part(Bytes),
    Whole {
        finish: &'static str,
        tokens: TokenCount,
    },
    Failed(CallerFailure),
}

/// Serves one request.
pub(crate) struct AnswerDriver {
    pub(crate) shared: Arc<EntryShared>,
    pub(crate) work: WorkItem,
    pub(crate) out: mpsc::Sender<AnswerEvent>,
    pub(crate) assembler: AnswerAssembler,
    pub(crate) tried: BTreeSet<InstanceId>,
    pub(crate) kv_handle: String,
    pub(crate) may_have_run: bool,
    pub(crate) proven: bool,
    pub(crate) attempts: usize,
}

impl AnswerDriver {
    pub(crate) fn new(
        shared: Arc<EntryShared>,
        work: WorkItem,
        out: mpsc::Sender<AnswerEvent>,
    ) -> Self {
        Self {
            shared,
            work,
            out,
            assembler: AnswerAssembler::new(),
            tried: BTreeSet::new(),
            kv_handle: String::new(),
            may_have_run: false,
            proven: true,
            attempts: 0,
        }
    }

    /// Runs attempts until the answer is whole or has failed, and hands out the last event.
    pub(crate) async fn run(mut self) {
        let result = match self.serve().await {
            Err(_) if self.is_complete_enough() => Ok(Some(INCOMPLETE)),
            result => result,
        };
        let last = match result {
            Ok(Some(finish)) => {
                let tokens = self.assembler.delivered();
                self.log_end(DecisionKind::Finish, finish);
                AnswerEvent::Whole { finish, tokens }
            }
            Ok(None) => {
                self.log_end(DecisionKind::Finish, "the caller is gone");
                return;
            }
            Err(failure) => {
                let kind = match failure.truth {
                    RunTruth::NotRun => DecisionKind::Refuse,
                    RunTruth::Unknown => DecisionKind::Finish,
                };
                self.log_end(kind, failure.code);
                self.shared
                    .metrics
                    .refusals
                    .with_label_values(&[failure.code])
                    .inc();
                AnswerEvent::Failed(failure)
            }
        };
        // The caller may be gone.
        let _ = self.out.send(last).await;
    }

    async fn serve(&mut self) -> Result<Option<&'static str>, CallerFailure> {
        self.shared.lock().retries.record_request();
        loop {
            let alone = self.check_suspect()?;
            if self.assembler.delivered() >= self.work.api.max_tokens {
                return Ok(Some("length"));
            }
            if alone && self.is_on_trial() {
                self.wait_for_trial().await?;
                continue;
            }
            let choice = match self.route(alone) {
                Ok(choice) => choice,
                Err(refusal) => {
                    self.wait_for_room(refusal).await?;
                    continue;
                }
            };
            self.attempts += 1;
            let end = self.attempt(&choice, alone).await;
            self.tried.insert(choice.instance);
            match end {
                AttemptEnd::Whole(code) => {
                    self.clear_suspect(alone);
                    return Ok(Some(finish_name(code)));
                }
                AttemptEnd::Abandoned => return Ok(None),
                AttemptEnd::TimeOver => {
                    let message = "the answer took longer than this entry allows; ask for less";
                    return Err(CallerFailure::unknown("answer_timeout", message));
                }
                AttemptEnd::Refused(reason, after) => self.after_refusal(&reason, after)?,
                AttemptEnd::Handoff(handle) => {
                    self.kv_handle = handle;
                    self.tried.clear();
                }
                AttemptEnd::Crashed | AttemptEnd::Interrupted => self.after_break()?,
            }
        }
    }

    /// Whether an answer that can't go on has reached the completeness of its class.
    fn is_complete_enough(&self) -> bool {
        let wanted = self.work.target.completeness * f64::from(self.work.api.max_tokens.0);
        let delivered = f64::from(self.assembler.delivered().0);
        self.work.target.completeness < 1.0 && delivered >= wanted
    }

    /// Whether the request must run alone; fails when it may not run at all.
    fn check_suspect(&self) -> Result<bool, CallerFailure> {
        let fingerprint = self.work.fingerprint;
        match self
            .shared
            .lock()
            .suspects
            .verdict(Instant::now(), fingerprint)
        {
            SuspectVerdict::Unrestricted => Ok(false),
            SuspectVerdict::Isolated => Ok(true),
            SuspectVerdict::Quarantined(time) => {
                let message = "this request crashed backend servers twice; change it or wait";
                let mut failure = CallerFailure::not_run("quarantined", message, time);
                if self.may_have_run {
                    failure.truth = RunTruth::Unknown;
                }
                Err(failure)
            }
        }
    }

    /// Whether the same request runs through this entry and has shown no token.
    fn is_on_trial(&self) -> bool {
        let fingerprint = self.work.fingerprint;
        self.shared.lock().unproven.place(fingerprint).is_some()
    }

    /// Waits a little for the trial of the same request, while there is time.
    async fn wait_for_trial(&self) -> Result<(), CallerFailure> {
        let over = self.work.start_budget(Instant::now()).is_zero();
        if over && !self.may_have_run {
            let message = "the same request is tried alone; send this one again later";
            return Err(CallerFailure::not_run("on_trial", message, RETRY_AFTER));
        }
        sleep(TRIAL_PAUSE).await;
        Ok(())
    }

    fn clear_suspect(&self, alone: bool) {
        if alone {
            let fingerprint = self.work.fingerprint;
            self.shared.lock().suspects.clear(fingerprint);
        }
    }

    fn route(&mut self, alone: bool) -> Result<RouteChoice, RouteRefusal> {
        let now = Instant::now();
        let delivered = self.assembler.delivered();
        let mut guard = self.shared.lock();
        let state = &mut *guard;
        let context = TokenCount(self.work.api.prompt_tokens.0 + delivered.0);
        let left = self.work.output_left(delivered);
        let pieces = (context.0 + left.0).div_ceil(state.piece_tokens);
        let resumes = delivered.0 > 0;
        let requirements = RouteRequirements {
            model: self.work.api.model.clone(),
            rank: self.work.rank(),
            prefill_work: state.cost.prefill_work(context),
            decode_work: state.cost.decode_work(left),
            required_pieces: PieceCount(pieces),
            prefix_hash: self.work.prefix,
            time_budget: if resumes {
                Duration::MAX
            } else {
                self.work.start_budget(now)
            },
            imports_kv_cache: !self.kv_handle.is_empty(),
            pinned: state.unproven.place(self.work.fingerprint),
            trial_fingerprint: alone.then_some(self.work.fingerprint),
            excluded: self.tried.clone(),
        };
        let choice = state.router.route(now, &requirements, &mut state.rng);
        drop(guard);
        if let Ok(choice) = &choice {
            self.log_route(choice, resumes);
        }
        choice
    }

    /// Ends a request that can't start in time, or waits a little before a resume.
    async fn wait_for_room(&mut self, refusal: RouteRefusal) -> Result<(), CallerFailure> {
        let started = self.may_have_run || self.assembler.delivered().0 > 0;
        let time_over = self.answer_deadline() <= Instant::now();
        if !started || time_over || self.attempts >= TOTAL_ATTEMPTS {
            return Err(self.no_room(refusal));
        }
        // The ones that were tried may be good again.
        self.tried.clear();
        if matches!(refusal, RouteRefusal::NoneAvailable) && !self.kv_handle.is_empty() {
            self.kv_handle.clear();
        }
        sleep(RESUME_PAUSE).await;
        Ok(())
    }

    fn no_room(&self, refusal: RouteRefusal) -> CallerFailure {
        let mut failure = match refusal {
            RouteRefusal::NoneAvailable => {
                let message = "no backend server with this model takes work; try again later";
                CallerFailure::not_run("none_available", message, RETRY_AFTER)
            }
            RouteRefusal::WouldMiss(wait) => {
                let message = "the answer would start too late for its class; try again later";
                CallerFailure::not_run("would_miss_target", message, wait.max(RETRY_AFTER))
            }
        };
        if self.may_have_run {
            failure.truth = RunTruth::Unknown;
        }
        failure
    }

    fn after_refusal(&mut self, reason: &str, after: Duration) -> Result<(), CallerFailure> {
        self.kv_handle.clear();
        let started = self.may_have_run || self.assembler.delivered().0 > 0;
        let more = self.attempts
            < if started {
                TOTAL_ATTEMPTS
            } else {
                START_ATTEMPTS
            };
        if more && (started || self.shared.lock().retries.try_spend()) {
            self.shared.metrics.retries.inc();
            return Ok(());
        }
        let message = format!("backend servers refused the request ({reason}); try again later");
        let mut failure = CallerFailure::not_run("refused", message, after);
        if self.may_have_run {
            failure.truth = RunTruth::Unknown;
        }
        Err(failure)
    }

    fn after_break(&mut self) -> Result<(), CallerFailure> {
        self.kv_handle.clear();
        self.may_have_run = true;
        self.shared.metrics.resumes.inc();
        if self.attempts >= TOTAL_ATTEMPTS {
            let message = "the answer broke off too often; send the request again";
            return Err(CallerFailure::unknown("broken_off", message));
        }
        Ok(())
    }

    pub(crate) fn answer_deadline(&self) -> Instant {
        let time = Duration::from_millis(self.shared.settings.limits.answer_ms.into());
        self.work.arrived + time
    }

    fn log_route(&self, choice: &RouteChoice, resumes: bool) {
        let kind = if resumes {
            DecisionKind::Resume
        } else {
            DecisionKind::Route
        };
        let shown = |(instance, time): &(InstanceId, Duration)| {
            format!("{instance} in {} ms", time.as_millis())
        };
        let considered = choice.considered.iter().map(shown).collect();
        let reason = match (choice.expects_cache_hit, self.kv_handle.is_empty()) {
            (_, false) => "takes over the KV cache, least predicted start and load",
            (true, _) => "prefix is cached there, least predicted start and load",
            (false, _) => "least predicted start and load",
        };
        let record = DecisionRecord::new(kind, reason)
            .request(self.work.request)
            .class(&self.work.class)
            .chosen(&choice.instance)
            .considered(considered);
        self.shared.log.write(record);
    }

    fn log_end(&self, kind: DecisionKind, reason: &str) {
        let record = DecisionRecord::new(kind, reason)
            .request(self.work.request)
            .class(&self.work.class);
        self.shared.log.write(record);
    }
}

fn finish_name(code: FinishCode) -> &'static str {
    if code == FinishCode::Length {
        "length"
    } else {
        "stop"
    }
}
