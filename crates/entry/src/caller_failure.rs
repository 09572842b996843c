//! Why a caller's request failed, and what the caller may rely on.

use std::time::Duration;

use hyper::StatusCode;

/// Whether any of a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    /// Nothing of it ran and nothing of it will.
    NotRun,
    /// Some of it may have run.
    Unknown,
}

/// A failure to be told to the caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerFailure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) execution: ExecutionState,
    pub(crate) retry_after: Option<Duration>,
}

impl CallerFailure {
    /// A request that the caller must correct.
    pub(crate) fn invalid(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code,
            message: message.into(),
            execution: ExecutionState::NotRun,
            retry_after: None,
        }
    }

    /// A request that was not run and may be sent again later.
    pub(crate) fn not_run(code: &'static str, message: impl Into<String>, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message: message.into(),
            execution: ExecutionState::NotRun,
            retry_after: Some(after),
        }
    }

    /// A request of which some may have run.
    pub(crate) fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            code,
            message: message.into(),
            execution: ExecutionState::Unknown,
            retry_after: None,
        }
    }

    /// Sets another status.
    #[must_use]
    pub(crate) fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }
}
