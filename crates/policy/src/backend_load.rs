//! Load of the requests in flight on a backend server.

use crate::PrefillBacklog;

/// In-flight load of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Number of in-flight requests.
    pub requests: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_backlog: PrefillBacklog,
    /// Tokens in the KV cache memory for running streams.
    pub kv_cache_tokens: u64,
}

impl BackendLoad {
    /// No load.
    pub const NONE: Self = Self {
        requests: 0,
        prefill_backlog: PrefillBacklog::NONE,
        kv_cache_tokens: 0,
    };

    /// Returns the mean number of prompt tokens that wait for prefill for each in-flight request.
    pub fn mean_prompt_tokens(&self) -> u32 {
        let requests = u64::from(self.requests.max(1));
        let mean = self.prefill_backlog.total_tokens() / requests;
        u32::try_from(mean).unwrap_or(u32::MAX)
    }

    /// Adds another load.
    pub fn add(&mut self, load: Self) {
        self.requests += load.requests;
        self.prefill_backlog.add(load.prefill_backlog);
        self.kv_cache_tokens += load.kv_cache_tokens;
    }

    /// Subtracts a load that has ended, saturating at zero.
    pub fn subtract(&mut self, load: Self) {
        self.requests = self.requests.saturating_sub(load.requests);
        self.prefill_backlog.subtract(load.prefill_backlog);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_sub(load.kv_cache_tokens);
    }
}
