//! Request that waits for the engine or runs on it.

use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::task::AbortHandle;
use units::{
    AttemptId,
    FingerprintId,
    TokenCount, //
};
use wire::{
    AnswerChunk,
    AnswerEnd,
    AttemptRefusal,
    FinishCode,
    FrameKind,
    GenerateRequest,
    LinkSender, //
};

use policy::RefusalReason;

/// Request together with the link on which it arrived and its progress.
#[derive(Debug)]
pub(crate) struct SideJob {
    pub(crate) request: GenerateRequest,
    pub(crate) link_id: u64,
    pub(crate) sender: LinkSender,
    /// Number of tokens in `output`.
    pub(crate) output_tokens: u32,
    /// Text generated so far, including by earlier attempts, from which the next run resumes.
    pub(crate) output: BytesMut,
    /// Number of the current run on the engine; events of earlier runs are ignored.
    pub(crate) run_number: u64,
    /// Task of the current run, or `None` while no run is active.
    pub(crate) task: Option<AbortHandle>,
    /// Id of the stream on the engine, once the engine has reported it.
    pub(crate) engine_stream_id: Option<u64>,
    /// Whether the job starts again as soon as the engine has completed its pause.
    pub(crate) restart_after_pause: bool,
}

impl SideJob {
    pub(crate) fn new(request: GenerateRequest, link_id: u64, sender: LinkSender) -> Self {
        Self {
            output_tokens: request.prior_tokens,
            output: BytesMut::from(&request.prior_output[..]),
            request,
            link_id,
            sender,
            run_number: 0,
            task: None,
            engine_stream_id: None,
            restart_after_pause: false,
        }
    }

    pub(crate) fn fingerprint(&self) -> FingerprintId {
        FingerprintId(self.request.fingerprint)
    }

    pub(crate) fn attempt(&self) -> AttemptId {
        AttemptId(self.request.attempt)
    }

    /// Sends tokens to the entry and stores them for a resume.
    pub(crate) fn send_tokens(&mut self, tokens: TokenCount, text: &str) {
        let chunk = AnswerChunk {
            attempt: self.request.attempt,
            offset: self.output_tokens,
            tokens: tokens.0,
            text: Bytes::copy_from_slice(text.as_bytes()),
        };
        self.output_tokens += tokens.0;
        self.output.extend_from_slice(text.as_bytes());
        // The task of a closed link cancels the jobs of the link.
        let _ = self.sender.send(FrameKind::Chunk(chunk));
    }

    /// Sends the end of the stream to the entry.
    pub(crate) fn send_end(&self, finish: FinishCode, kv_handle: String) {
        let end = AnswerEnd {
            attempt: self.request.attempt,
            total_tokens: self.output_tokens,
            finish: finish.into(),
            kv_handle,
        };
        let _ = self.sender.send(FrameKind::End(end));
    }

    /// Sends a refusal to the entry.
    pub(crate) fn refuse(&self, reason: RefusalReason, retry_after_ms: u32) {
        let refusal = AttemptRefusal {
            attempt: self.request.attempt,
            reason: reason.to_string(),
            retry_after_ms,
        };
        let _ = self.sender.send(FrameKind::Refusal(refusal));
    }

    /// Aborts the task of the current run, if any.
    pub(crate) fn abort_task(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
