//! A request that waits or runs beside this backend server.

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

/// A request with the link on which it came.
#[derive(Debug)]
pub(crate) struct SideJob {
    pub(crate) request: GenerateRequest,
    pub(crate) link_id: u64,
    pub(crate) sender: LinkSender,
    pub(crate) output_tokens: u32,
    pub(crate) output: BytesMut,
    /// Counts the starts on the engine; events of an earlier start are dropped.
    pub(crate) run_number: u64,
    pub(crate) task: Option<AbortHandle>,
    /// Number of its stream on the engine, once known.
    pub(crate) engine_stream_id: Option<u64>,
    /// Whether it starts again once its pause is over.
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

    /// Sends tokens on and remembers them for a resume.
    pub(crate) fn send_tokens(&mut self, tokens: TokenCount, text: &str) {
        let chunk = AnswerChunk {
            attempt: self.request.attempt,
            offset: self.output_tokens,
            tokens: tokens.0,
            text: Bytes::copy_from_slice(text.as_bytes()),
        };
        self.output_tokens += tokens.0;
        self.output.extend_from_slice(text.as_bytes());
        // A link that is gone ends its jobs by itself.
        let _ = self.sender.send(FrameKind::Chunk(chunk));
    }

    pub(crate) fn send_end(&self, finish: FinishCode, kv_handle: String) {
        let end = AnswerEnd {
            attempt: self.request.attempt,
            total_tokens: self.output_tokens,
            finish: finish.into(),
            kv_handle,
        };
        let _ = self.sender.send(FrameKind::End(end));
    }

    pub(crate) fn refuse(&self, reason: RefusalReason, retry_after_ms: u32) {
        let refusal = AttemptRefusal {
            attempt: self.request.attempt,
            reason: reason.to_string(),
            retry_after_ms,
        };
        let _ = self.sender.send(FrameKind::Refusal(refusal));
    }

    /// Stops its task on the engine, if any.
    pub(crate) fn abort_task(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
