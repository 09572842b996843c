//! Failures of callers' requests, and whether the failed request may have run.

use std::time::Duration;

use hyper::StatusCode;

/// Whether a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run, at least in part.
    Unknown,
}

/// Failure that is returned to the caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerFailure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) execution: ExecutionState,
    pub(crate) retry_after: Option<Duration>,
}

impl CallerFailure {
    /// Creates the failure of a request that the caller must correct.
    pub(crate) fn invalid(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code,
            message: message.into(),
            execution: ExecutionState::NotRun,
            retry_after: None,
        }
    }

    /// Creates the failure of a request that was not run and may be sent again later.
    pub(crate) fn not_run(code: &'static str, message: impl Into<String>, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            message: message.into(),
            execution: ExecutionState::NotRun,
            retry_after: Some(after),
        }
    }

    /// Creates the failure of a request that may have run.
    pub(crate) fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            code,
            message: message.into(),
            execution: ExecutionState::Unknown,
            retry_after: None,
        }
    }

    /// Replaces the HTTP status.
    #[must_use]
    pub(crate) fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }
}
