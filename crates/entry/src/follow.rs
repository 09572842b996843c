//! Runs one attempt of a completion and follows it to its end.

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

use crate::attempt::AttemptEvent;
use crate::drive::{
    AnswerDriver,
    AnswerEvent,
    RETRY_AFTER, //
};
use crate::link::is_whole;

/// How one attempt ended.
pub(crate) enum AttemptEnd {
    Whole(FinishCode),
    Handoff(String),
    /// Not run; the reason and when to come back.
    Refused(String, Duration),
    /// The engine crashed while it ran.
    Crashed,
    /// It ended early for another reason.
    Interrupted,
    /// The caller is gone.
    Abandoned,
    /// The time for the whole answer is over.
    TimeOver,
}

impl AnswerDriver {
    pub(crate) async fn attempt(&mut self, choice: &RouteChoice, isolated: bool) -> AttemptEnd {
        let fingerprint = self.work.fingerprint;
        let (id, mut events) = {
            let mut state = self.shared.lock();
            state.unproven.begin(fingerprint, &choice.instance);
            state.attempts.open(&choice.instance)
        };
        self.proven = false;
        let end = match self.send_run(id, choice, isolated) {
            true => self.follow(id, &mut events).await,
            false => AttemptEnd::Refused("link_down".into(), RETRY_AFTER),
        };
        self.prove();
        self.assembler.end_attempt();
        self.shared.lock().attempts.close(id);
        let left_running = matches!(end, AttemptEnd::Abandoned | AttemptEnd::TimeOver);
        if left_running || matches!(end, AttemptEnd::Interrupted) {
            let cancel = AttemptCancel { attempt: id.0 };
            self.send(&choice.instance, FrameKind::Cancel(cancel));
        }
        end
    }

    /// Notes once for each attempt that it has shown a token or ended.
    pub(crate) fn prove(&mut self) {
        if !std::mem::replace(&mut self.proven, true) {
            let fingerprint = self.work.fingerprint;
            self.shared.lock().unproven.end(fingerprint);
        }
    }

    pub(crate) fn send(&self, instance: &InstanceId, kind: FrameKind) -> bool {
        let state = self.shared.lock();
        state
            .links
            .get(instance)
            .is_some_and(|link| link.sender.send(kind))
    }

    pub(crate) fn send_run(&mut self, id: AttemptId, choice: &RouteChoice, isolated: bool) -> bool {
        let offset = self.assembler.begin_attempt(id);
        let now = Instant::now();
        let target = &self.work.target;
        let start = if offset.0 > 0 {
            target.first_token_time()
        } else {
            self.work.start_budget(now)
        };
        let run = GenerateRequest {
            attempt: id.0,
            request: Bytes::copy_from_slice(&self.work.request.0.to_be_bytes()),
            class: self.work.class.to_string(),
            rank: self.work.rank().index() as u32,
            model: self.work.api.model.to_string(),
            prompt: self.work.api.prompt.clone(),
            prior_output: Bytes::copy_from_slice(self.assembler.text()),
            prior_tokens: offset.0,
            prompt_tokens: self.work.api.prompt_tokens.0,
            max_tokens: self.work.api.max_tokens.0,
            first_token_ms: start.as_millis() as u32,
            fingerprint: self.work.fingerprint.0,
            kv_handle: self.kv_handle.clone(),
            isolated,
            token_gap_ms: target.token_gap_ms,
        };
        self.send(&choice.instance, FrameKind::Generate(run))
    }

    /// Passes the chunks of an attempt on until it ends.
    pub(crate) async fn follow(
        &mut self,
        id: AttemptId,
        events: &mut mpsc::UnboundedReceiver<AttemptEvent>,
    ) -> AttemptEnd {
        let deadline = self.answer_deadline();
        loop {
            let next = tokio::select! {
                next = timeout_at(deadline, events.recv()) => next,
                _ = self.out.closed() => return AttemptEnd::Abandoned,
            };
            let Ok(Some(event)) = next else {
                return AttemptEnd::TimeOver;
            };
            match event {
                AttemptEvent::Chunk {
                    offset,
                    tokens,
                    data,
                } => {
                    if tokens.0 > 0 {
                        self.may_have_run = true;
                        self.prove();
                    }
                    let verdict = self.assembler.accept_chunk(id, offset, tokens, data);
                    if let Some(end) = self.take_verdict(verdict).await {
                        return end;
                    }
                }
                AttemptEvent::End {
                    total,
                    finish,
                    kv_handle,
                } => {
                    return self.judge_end(id, total, finish, kv_handle);
                }
                AttemptEvent::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    let after = Duration::from_millis(retry_after_ms.into());
                    return AttemptEnd::Refused(reason, after);
                }
                AttemptEvent::Lost => return AttemptEnd::Interrupted,
                AttemptEvent::Outcome(_) | AttemptEvent::Tickets(_) => {}
            }
        }
    }

    /// Hands a chunk out, or says why the attempt ends.
    pub(crate) async fn take_verdict(&mut self, verdict: ChunkVerdict) -> Option<AttemptEnd> {
        match verdict {
            ChunkVerdict::Deliver(data) if data.is_empty() => None,
            ChunkVerdict::Deliver(data) => {
                let taken = self.hand_out(data).await;
                (!taken).then_some(AttemptEnd::Abandoned)
            }
            ChunkVerdict::Gap => Some(AttemptEnd::Interrupted),
            _ => None,
        }
    }

    pub(crate) fn judge_end(
        &mut self,
        id: AttemptId,
        total: TokenCount,
        finish: FinishCode,
        kv_handle: String,
    ) -> AttemptEnd {
        match (self.assembler.accept_end(id, total), finish) {
            (ChunkVerdict::Complete, code) if is_whole(code) => AttemptEnd::Whole(code),
            (ChunkVerdict::Complete, FinishCode::Handoff) => AttemptEnd::Handoff(kv_handle),
            (_, FinishCode::Crashed) => AttemptEnd::Crashed,
            _ => AttemptEnd::Interrupted,
        }
    }

    /// Hands a part to the caller, who must take it within the stall time.
    pub(crate) async fn hand_out(&mut self, data: Bytes) -> bool {
        if self.assembler.text().len() == data.len() {
            let first = self.work.arrived.elapsed();
            self.shared.metrics.first_token.observe(first.as_secs_f64());
        }
        let stall = Duration::from_millis(self.shared.settings.limits.stall_ms.into());
        let sending = self.out.send(AnswerEvent::Part(data));
        matches!(tokio::time::timeout(stall, sending).await, Ok(Ok(())))
    }
}
