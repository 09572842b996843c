//! Puts the chunks of several attempts together to one whole answer.

use bytes::Bytes;
use units::{
    AttemptId,
    TokenCount, //
};

/// What to do with a chunk or an end.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkVerdict {
    /// Hand these bytes to the caller.
    Deliver(Bytes),
    /// The chunk belongs to an ended attempt or was seen before; drop it.
    Drop,
    /// Tokens are missing before this chunk; end the attempt and resume.
    Gap,
    /// The answer is whole.
    Complete,
    /// The attempt ended before the count it states; end it and resume.
    Truncated,
}

/// Accepts the chunks of the current attempt only, in order and without gaps.
#[derive(Debug, Clone)]
pub struct AnswerAssembler {
    attempt: Option<AttemptId>,
    delivered: TokenCount,
    text: Vec<u8>,
}

impl AnswerAssembler {
    /// An answer of which nothing was handed out.
    pub fn new() -> Self {
        Self {
            attempt: None,
            delivered: TokenCount(0),
            text: Vec::new(),
        }
    }

    /// Makes an attempt the current one; chunks of earlier ones are dropped from here on.
    pub fn begin_attempt(&mut self, attempt: AttemptId) -> TokenCount {
        self.attempt = Some(attempt);
        self.delivered
    }

    /// Ends the current attempt.
    pub fn end_attempt(&mut self) {
        self.attempt = None;
    }

    /// Takes a chunk that starts at a token offset of the whole answer.
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

    /// Takes the end of an attempt, which states the tokens of the whole answer.
    pub fn accept_end(&mut self, attempt: AttemptId, total: TokenCount) -> ChunkVerdict {
        if self.attempt != Some(attempt) {
            return ChunkVerdict::Drop;
        }
        if total == self.delivered {
            return ChunkVerdict::Complete;
        }
        ChunkVerdict::Truncated
    }

    /// Tokens handed out so far.
    pub fn delivered(&self) -> TokenCount {
        self.delivered
    }

    /// Text handed out so far.
    pub fn text(&self) -> &[u8] {
        &self.text
    }
}

impl Default for AnswerAssembler {
    fn default() -> Self {
        Self::new()
    }
}
