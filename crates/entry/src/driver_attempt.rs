//! Runs a single attempt of a completion.

use std::time::Duration;

use bytes::Bytes;
use policy::{
    ChunkVerdict,
    RouteChoice, //
};
use tokio::sync::mpsc;
use tokio::time::{
    Instant,
    timeout_at, //
};
use units::{
    AttemptId,
    InstanceId,
    TokenCount, //
};
use wire::{
    AttemptCancel,
    FinishCode,
    FrameKind,
    GenerateRequest, //
};

use crate::attempt_table::AttemptEvent;
use crate::driver::{
    AnswerDriver,
    AnswerEvent,
    RETRY_AFTER, //
};
use crate::link::is_complete;

/// Result of one attempt.
pub(crate) enum AttemptEnd {
    Complete(FinishCode),
    /// Prefill is complete; the KV cache is held under this handle.
    Handoff(String),
    /// The attempt was refused, for this reason and with this delay before a retry.
    Refused(String, Duration),
    /// The engine crashed during the attempt.
    Crashed,
    /// The attempt ended early for another reason.
    Interrupted,
    /// The caller disconnected or stopped reading.
    CallerDisconnected,
    /// The deadline of the answer has passed.
    DeadlineExceeded,
}

impl AnswerDriver {
    /// Runs one attempt on the selected engine and cancels it if it may still run at the end.
    pub(crate) async fn run_attempt(&mut self, choice: &RouteChoice, isolated: bool) -> AttemptEnd {
        let fingerprint = self.job.fingerprint;
        let (id, mut events) = {
            let mut state = self.shared.lock();
            state
                .request_pins
                .add_attempt(fingerprint, &choice.instance);
            state.attempts.open(&choice.instance)
        };
        self.pin_released = false;
        let end = match self.send_generate(id, choice, isolated) {
            true => self.follow_events(id, &mut events).await,
            false => AttemptEnd::Refused("link_down".into(), RETRY_AFTER),
        };
        self.release_pin();
        self.assembler.end_attempt();
        self.shared.lock().attempts.close(id);
        let may_still_run = matches!(
            end,
            AttemptEnd::CallerDisconnected | AttemptEnd::DeadlineExceeded
        );
        if may_still_run || matches!(end, AttemptEnd::Interrupted) {
            let cancel = AttemptCancel { attempt: id.0 };
            self.send_frame(&choice.instance, FrameKind::Cancel(cancel));
        }
        end
    }

    /// Releases the pin of the current attempt, unless it is released already.
    pub(crate) fn release_pin(&mut self) {
        if !std::mem::replace(&mut self.pin_released, true) {
            let fingerprint = self.job.fingerprint;
            self.shared.lock().request_pins.remove_attempt(fingerprint);
        }
    }

    pub(crate) fn send_frame(&self, instance: &InstanceId, frame: FrameKind) -> bool {
        let state = self.shared.lock();
        state
            .links
            .get(instance)
            .is_some_and(|link| link.sender.send(frame))
    }

    pub(crate) fn send_generate(
        &mut self,
        id: AttemptId,
        choice: &RouteChoice,
        isolated: bool,
    ) -> bool {
        let offset = self.assembler.begin_attempt(id);
        let now = Instant::now();
        let target = &self.job.target;
        let first_token_budget = if offset.0 > 0 {
            target.first_token_time()
        } else {
            self.job.first_token_budget(now)
        };
        let request = GenerateRequest {
            attempt: id.0,
            request: Bytes::copy_from_slice(&self.job.request_id.0.to_be_bytes()),
            class: self.job.class.to_string(),
            rank: self.job.rank().index() as u32,
            model: self.job.request.model.to_string(),
            prompt: self.job.request.prompt.clone(),
            prior_output: Bytes::copy_from_slice(self.assembler.text()),
            prior_tokens: offset.0,
            prompt_tokens: self.job.request.prompt_tokens.0,
            max_tokens: self.job.request.max_tokens.0,
            first_token_ms: first_token_budget.as_millis() as u32,
            fingerprint: self.job.fingerprint.0,
            kv_handle: self.kv_handle.clone(),
            isolated,
            token_gap_ms: target.token_gap_ms,
        };
        self.send_frame(&choice.instance, FrameKind::Generate(request))
    }

    /// Delivers the chunks of an attempt to the caller until the attempt ends.
    pub(crate) async fn follow_events(
        &mut self,
        id: AttemptId,
        events: &mut mpsc::UnboundedReceiver<AttemptEvent>,
    ) -> AttemptEnd {
        let deadline = self.answer_deadline();
        loop {
            let next = tokio::select! {
                next = timeout_at(deadline, events.recv()) => next,
                _ = self.events.closed() => return AttemptEnd::CallerDisconnected,
            };
            let Ok(Some(event)) = next else {
                return AttemptEnd::DeadlineExceeded;
            };
            match event {
                AttemptEvent::Chunk {
                    offset,
                    tokens,
                    data,
                } => {
                    if tokens.0 > 0 {
                        self.may_have_run = true;
                        self.release_pin();
                    }
                    let verdict = self.assembler.accept_chunk(id, offset, tokens, data);
                    if let Some(end) = self.handle_chunk(verdict).await {
                        return end;
                    }
                }
                AttemptEvent::End {
                    total,
                    finish,
                    kv_handle,
                } => {
                    return self.classify_end(id, total, finish, kv_handle);
                }
                AttemptEvent::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    return AttemptEnd::Refused(reason, retry_after);
                }
                AttemptEvent::LinkLost => return AttemptEnd::Interrupted,
                AttemptEvent::Outcome(_) | AttemptEvent::Tickets(_) => {}
            }
        }
    }

    /// Delivers a chunk, or returns why the attempt ends.
    pub(crate) async fn handle_chunk(&mut self, verdict: ChunkVerdict) -> Option<AttemptEnd> {
        match verdict {
            ChunkVerdict::Deliver(data) if data.is_empty() => None,
            ChunkVerdict::Deliver(data) => {
                let delivered = self.deliver_chunk(data).await;
                (!delivered).then_some(AttemptEnd::CallerDisconnected)
            }
            ChunkVerdict::Gap => Some(AttemptEnd::Interrupted),
            _ => None,
        }
    }

    pub(crate) fn classify_end(
        &mut self,
        id: AttemptId,
        total: TokenCount,
        finish: FinishCode,
        kv_handle: String,
    ) -> AttemptEnd {
        match (self.assembler.accept_end(id, total), finish) {
            (ChunkVerdict::Complete, code) if is_complete(code) => AttemptEnd::Complete(code),
            (ChunkVerdict::Complete, FinishCode::Handoff) => AttemptEnd::Handoff(kv_handle),
            (_, FinishCode::Crashed) => AttemptEnd::Crashed,
            _ => AttemptEnd::Interrupted,
        }
    }

    /// Delivers a chunk to the response.
    ///
    /// Returns false if the caller disconnected or did not read within the stall timeout.
    pub(crate) async fn deliver_chunk(&mut self, data: Bytes) -> bool {
        if self.assembler.text().len() == data.len() {
            let first_token_latency = self.job.arrived_at.elapsed();
            self.shared
                .metrics
                .first_token_seconds
                .observe(first_token_latency.as_secs_f64());
        }
        let stall_timeout = Duration::from_millis(self.shared.settings.limits.stall_ms.into());
        let sent = self.events.send(AnswerEvent::Chunk(data));
        matches!(tokio::time::timeout(stall_timeout, sent).await, Ok(Ok(())))
    }
}
