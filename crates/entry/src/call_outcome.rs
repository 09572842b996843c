//! Maps results of claims and calls to the failures that callers receive.

use std::time::Duration;

use hyper::StatusCode;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    ClaimRecord,
    ClaimVerdict, //
};
use wire::{
    CallOutcome,
    VerdictCode, //
};

use crate::caller_failure::CallerFailure;
use crate::claims::ClaimResult;
use crate::state::EntryShared;

/// Time after which callers may retry a call that was not run.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the claim that binds a key, or a failure if there is none.
pub(crate) fn claim_record(result: ClaimResult) -> Result<ClaimRecord, CallerFailure> {
    match result {
        ClaimResult::Decided(ClaimVerdict::Bound(record)) => Ok(record),
        ClaimResult::Decided(ClaimVerdict::BodyMismatch) => {
            let message = "this key was used for another body; use a new key for a new call";
            let failure = CallerFailure::invalid("key_reused", message);
            Err(failure.with_status(StatusCode::UNPROCESSABLE_ENTITY))
        }
        ClaimResult::Decided(ClaimVerdict::ShardFull) => {
            let message = "too many keys are remembered; try again later or use a ticket";
            Err(CallerFailure::not_run("claims_full", message, RETRY_AFTER))
        }
        ClaimResult::NoEffect => {
            let message = "the store is out of reach; try again later or use a ticket";
            Err(CallerFailure::not_run(
                "store_unavailable",
                message,
                RETRY_AFTER,
            ))
        }
        ClaimResult::Unknown => Err(outcome_unknown()),
    }
}

/// Returns the outcome of a call that has run, or a failure for any other outcome.
pub(crate) fn check_outcome(
    shared: &EntryShared,
    outcome: CallOutcome,
) -> Result<CallOutcome, CallerFailure> {
    match outcome.verdict() {
        VerdictCode::Done => Ok(outcome),
        VerdictCode::NotRun => {
            let message = format!(
                "the call was not run ({}); get a new ticket",
                outcome.reason
            );
            Err(CallerFailure::not_run("not_run", message, RETRY_AFTER))
        }
        VerdictCode::Forged => Err(forged_ticket(shared)),
        VerdictCode::Unknown | VerdictCode::Unset => Err(outcome_unknown()),
    }
}

/// Returns the failure of a call that no side process accepts.
pub(crate) fn none_available() -> CallerFailure {
    let message = "no backend server of this service takes work; try again later";
    CallerFailure::not_run("none_available", message, RETRY_AFTER)
}

/// Returns the failure of a call that may have run.
pub(crate) fn outcome_unknown() -> CallerFailure {
    let message = "the call may have run; ask again with the same key, or look it up by hand";
    CallerFailure::unknown("outcome_unknown", message)
}

/// Logs and returns the failure of a ticket that was not issued for this account and call.
pub(crate) fn forged_ticket(shared: &EntryShared) -> CallerFailure {
    let reason = "ticket is forged or was issued for another account or call";
    shared
        .log
        .write(DecisionRecord::new(DecisionKind::Intruder, reason));
    let message = "this ticket was not given out for this account and call; get one of your own";
    CallerFailure::invalid("forged_ticket", message).with_status(StatusCode::FORBIDDEN)
}
