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
    pub(crate) run: GenerateRequest,
    pub(crate) link: u64,
    pub(crate) sender: LinkSender,
    pub(crate) offset: u32,
    pub(crate) prior: BytesMut,
    /// Counts the starts on the engine; events of an earlier start are dropped.
    pub(crate) starts: u64,
    pub(crate) task: Option<AbortHandle>,
    /// Number of its stream on the engine, once known.
    pub(crate) stream: Option<u64>,
    /// Whether it starts again once its pause is over.
    pub(crate) restart: bool,
}

impl SideJob {
    pub(crate) fn new(run: GenerateRequest, link: u64, sender: LinkSender) -> Self {
        Self {
            offset: run.prior_tokens,
            prior: BytesMut::from(&run.prior_output[..]),
            run,
            link,
            sender,
            starts: 0,
            task: None,
            stream: None,
            restart: false,
        }
    }

    pub(crate) fn fingerprint(&self) -> FingerprintId {
        FingerprintId(self.run.fingerprint)
    }

    pub(crate) fn attempt(&self) -> AttemptId {
        AttemptId(self.run.attempt)
    }

    /// Sends tokens on and remembers them for a resume.
    pub(crate) fn deliver(&mut self, tokens: TokenCount, text: &str) {
        let chunk = AnswerChunk {
            attempt: self.run.attempt,
            offset: self.offset,
            tokens: tokens.0,
            text: Bytes::copy_from_slice(text.as_bytes()),
        };
        self.offset += tokens.0;
        self.prior.extend_from_slice(text.as_bytes());
        // A link that is gone ends its jobs by itself.
        let _ = self.sender.send(FrameKind::Chunk(chunk));
    }

    pub(crate) fn end(&self, finish: FinishCode, kv_handle: String) {
        let end = AnswerEnd {
            attempt: self.run.attempt,
            total_tokens: self.offset,
            finish: finish.into(),
            kv_handle,
        };
        let _ = self.sender.send(FrameKind::End(end));
    }

    pub(crate) fn refuse(&self, reason: RefusalReason, retry_after_ms: u32) {
        let refusal = AttemptRefusal {
            attempt: self.run.attempt,
            reason: reason.to_string(),
            retry_after_ms,
        };
        let _ = self.sender.send(FrameKind::Refusal(refusal));
    }

    /// Stops its task on the engine, if any.
    pub(crate) fn abort(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
