//! Assembles one answer from the chunks of several attempts.

use bytes::Bytes;
use units::{
    AttemptId,
    TokenCount, //
};

/// Decision about a chunk or about the end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkVerdict {
    /// Forward these bytes to the caller.
    Deliver(Bytes),
    /// The message belongs to an earlier attempt or repeats delivered tokens; drop it.
    Drop,
    /// Tokens are missing before this chunk; end the attempt and resume with a new one.
    Gap,
    /// All tokens of the answer have been delivered.
    Complete,
    /// The attempt's token count differs from the number of delivered tokens; end the attempt and
    /// resume with a new one.
    Truncated,
}

/// Accepts chunks of the current attempt only, in order and without gaps.
///
/// Chunks of earlier attempts may still arrive after a retry. They may differ from the delivered
/// text, because every attempt generates the rest of the answer anew.
#[derive(Debug, Clone)]
pub struct AnswerAssembler {
    attempt: Option<AttemptId>,
    delivered: TokenCount,
    text: Vec<u8>,
}

impl AnswerAssembler {
    /// Creates an assembler without any delivered tokens.
    pub fn new() -> Self {
        Self {
            attempt: None,
            delivered: TokenCount(0),
            text: Vec::new(),
        }
    }

    /// Makes `attempt` the current one and returns the token offset that it resumes from.
    ///
    /// Chunks of earlier attempts are dropped from now on.
    pub fn begin_attempt(&mut self, attempt: AttemptId) -> TokenCount {
        self.attempt = Some(attempt);
        self.delivered
    }

    /// Ends the current attempt; its later chunks are dropped.
    pub fn end_attempt(&mut self) {
        self.attempt = None;
    }

    /// Accepts a chunk of `tokens` tokens that starts at a token offset in the answer.
    pub fn accept_chunk(
        &mut self,
        attempt: AttemptId,
        offset: TokenCount,
        tokens: TokenCount,
        data: Bytes,
    ) -> ChunkVerdict {
        if self.attempt != Some(attempt) || offset < self.delivered {
            return ChunkVerdict::Drop;
        }
        if offset > self.delivered {
            return ChunkVerdict::Gap;
        }
        self.delivered.0 += tokens.0;
        self.text.extend_from_slice(&data);
        ChunkVerdict::Deliver(data)
    }

    /// Accepts the end of an attempt, with its token count for the whole answer.
    pub fn accept_end(&mut self, attempt: AttemptId, total: TokenCount) -> ChunkVerdict {
        if self.attempt != Some(attempt) {
            return ChunkVerdict::Drop;
        }
        if total == self.delivered {
            return ChunkVerdict::Complete;
        }
        ChunkVerdict::Truncated
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered(&self) -> TokenCount {
        self.delivered
    }

    /// Returns the text delivered so far.
    pub fn text(&self) -> &[u8] {
        &self.text
    }
}

impl Default for AnswerAssembler {
    fn default() -> Self {
        Self::new()
    }
}
