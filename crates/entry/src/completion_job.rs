//! A completion request together with the properties that determine how it is served.

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

/// Length of the prompt prefix whose hash selects engines that may have the prefix cached.
const HASHED_PREFIX_BYTES: usize = 256;

/// Completion request to serve.
#[derive(Debug, Clone)]
pub(crate) struct CompletionJob {
    pub(crate) request_id: RequestId,
    pub(crate) class: ClassName,
    pub(crate) target: ClassTarget,
    pub(crate) request: CompletionRequest,
    /// Hash of the class and the prompt.
    pub(crate) fingerprint: FingerprintId,
    /// Hash of the prompt prefix.
    pub(crate) prefix_hash: u64,
    pub(crate) arrived_at: Instant,
    /// Creation time that is returned to the caller, in seconds since the Unix epoch.
    pub(crate) created_unix_s: u64,
}

/// Returns the fingerprint of a class and a prompt, which identifies a request that is sent again.
pub(crate) fn request_fingerprint(class: &ClassName, prompt: &[u8]) -> FingerprintId {
    let seed = XxHash3_64::oneshot(class.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, prompt))
}

/// Returns the hash of the prompt prefix.
pub(crate) fn prompt_prefix_hash(prompt: &[u8]) -> u64 {
    let end = prompt.len().min(HASHED_PREFIX_BYTES);
    XxHash3_64::oneshot(&prompt[..end])
}

impl CompletionJob {
    pub(crate) fn rank(&self) -> ServiceRank {
        self.target.rank
    }

    /// Returns the time left until the deadline of the first token.
    pub(crate) fn first_token_budget(&self, now: Instant) -> Duration {
        let due = self.arrived_at + self.target.first_token_time();
        due.saturating_duration_since(now)
    }

    /// Returns the number of tokens still to generate after `delivered` tokens.
    pub(crate) fn remaining_output(&self, delivered: TokenCount) -> TokenCount {
        TokenCount(self.request.max_tokens.0.saturating_sub(delivered.0))
    }
}
