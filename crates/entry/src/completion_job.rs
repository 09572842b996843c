//! A caller's completion with all that decides how it is served.

use std::time::Duration;

use conf::ClassTarget;
use policy::ServiceRank;
use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    ClassName,
    FingerprintId,
    RequestId,
    TokenCount, //
};

use crate::completion_api::CompletionRequest;

/// Bytes of a prompt whose hash stands for its prefix.
const HASHED_PREFIX_BYTES: usize = 256;

/// A completion to serve.
#[derive(Debug, Clone)]
pub(crate) struct CompletionJob {
    pub(crate) request_id: RequestId,
    pub(crate) class: ClassName,
    pub(crate) target: ClassTarget,
    pub(crate) request: CompletionRequest,
    /// Stands for the class and the body.
    pub(crate) fingerprint: FingerprintId,
    /// Stands for the first part of the prompt.
    pub(crate) prefix_hash: u64,
    pub(crate) arrived_at: Instant,
    pub(crate) created_unix_s: u64,
}

/// Fingerprint of a class and a body, to recognise a request that is sent again.
pub(crate) fn request_fingerprint(class: &ClassName, prompt: &[u8]) -> FingerprintId {
    let seed = XxHash3_64::oneshot(class.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, prompt))
}

/// Hash of the first part of a prompt.
pub(crate) fn prompt_prefix_hash(prompt: &[u8]) -> u64 {
    let end = prompt.len().min(HASHED_PREFIX_BYTES);
    XxHash3_64::oneshot(&prompt[..end])
}

impl CompletionJob {
    pub(crate) fn rank(&self) -> ServiceRank {
        self.target.rank
    }

    /// Time left until the first token is due.
    pub(crate) fn first_token_budget(&self, now: Instant) -> Duration {
        let due = self.arrived_at + self.target.first_token_time();
        due.saturating_duration_since(now)
    }

    /// Tokens still to generate after some were delivered.
    pub(crate) fn remaining_output(&self, delivered: TokenCount) -> TokenCount {
        TokenCount(self.request.max_tokens.0.saturating_sub(delivered.0))
    }
}
