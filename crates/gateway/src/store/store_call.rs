//! Calls of the platform's store, counted by purpose and outcome.

use std::future::Future;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyRange,
    PlatformError,
    StoreRevision, //
};
use tokio::time::Instant;

use crate::shared::GatewayShared;
use crate::store::store_era::observe_era;

/// What a store call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Waits for changes.
    Watch,
    /// Reads all keys under a prefix.
    Load,
    /// Keeps this gateway registered.
    Membership,
    /// Acquires, renews or ends the planner lease.
    PlannerLease,
    /// Writes evidence on crash suspects, or reads it again after a conflict.
    Suspects,
    /// Writes records of streams.
    StreamRecords,
    /// Reads the latest records of streams for a caller that takes one up.
    StreamLookup,
    /// Writes the versions of a service.
    Versions,
    /// Reads and writes the fixed reports of usage.
    Usage,
}

/// Status of a call beyond the rate that the store allows.
const TOO_MANY_CALLS: u16 = 429;

impl CallPurpose {
    /// Returns whether the gateway follows the store's changes by such calls.
    fn follows_changes(self) -> bool {
        matches!(self, Self::Watch | Self::Load)
    }

    /// Returns the purpose's name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Load => "load",
            Self::Membership => "membership",
            Self::PlannerLease => "planner_lease",
            Self::Suspects => "suspects",
            Self::StreamRecords => "stream_records",
            Self::StreamLookup => "stream_lookup",
            Self::Versions => "versions",
            Self::Usage => "usage",
        }
    }
}

/// Fails if the era has risen since a response was made.
pub(crate) fn check_era(
    shared: &GatewayShared,
    revision: StoreRevision,
) -> Result<(), PlatformError> {
    if shared.lock().era.is_current(revision.era) {
        Ok(())
    } else {
        Err(PlatformError::EraEnded)
    }
}

/// Awaits a store call and records whether the store answered.
pub(crate) async fn track_store_call<T>(
    shared: &GatewayShared,
    purpose: CallPurpose,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let sent_at = Instant::now();
    let result = count_store_call(shared, purpose, call).await;
    let error = match &result {
        Ok(_) | Err(PlatformError::HistoryGone | PlatformError::EraEnded) => None,
        // A store that takes no more writes still tells of its changes.
        Err(PlatformError::Status {
            status: TOO_MANY_CALLS,
        }) if !purpose.follows_changes() => None,
        Err(error) => Some(error.to_string()),
    };
    record_store_result(shared, sent_at, error);
    result
}

/// Awaits a store call and counts it by whether the store answered. Unlike [`track_store_call`], a
/// failure says nothing about the entries of backend servers.
pub(crate) async fn count_store_call<T>(
    shared: &GatewayShared,
    purpose: CallPurpose,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let result = call.await;
    let is_answered = !matches!(result, Err(PlatformError::Http { .. }));
    observe_era(shared, is_answered);
    let outcome = match &result {
        Ok(_) | Err(PlatformError::HistoryGone | PlatformError::EraEnded) => "answered",
        Err(_) => "failed",
    };
    let calls = &shared.metrics.store_calls;
    calls.with_label_values(&[purpose.as_str(), outcome]).inc();
    result
}

/// Reads all keys under a prefix and counts the calls as [`count_store_call`] does. Fails if the era has
/// risen meanwhile.
pub(crate) async fn count_range(
    shared: &GatewayShared,
    purpose: CallPurpose,
    prefix: &str,
) -> Result<KeyRange, PlatformError> {
    let range = count_store_call(shared, purpose, shared.store.range(prefix)).await?;
    check_era(shared, range.revision)?;
    Ok(range)
}

/// Records whether the store answered, and logs when that changes.
fn record_store_result(shared: &GatewayShared, sent_at: Instant, error: Option<String>) {
    let now = Instant::now();
    let mut state = shared.lock();
    let has_changed = match &error {
        Some(_) => state.store_health.record_failure(now, sent_at),
        None => state.store_health.record_success(now),
    };
    drop(state);
    if !has_changed {
        return;
    }
    let record = match error {
        Some(error) => {
            let record = DecisionRecord::new(DecisionKind::Dependency, "store does not answer");
            record.input("error", error).failure()
        }
        None => DecisionRecord::new(DecisionKind::Dependency, "store answers again"),
    };
    shared.log.write(record);
}
