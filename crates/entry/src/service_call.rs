//! Handles calls of plain services.
//!
//! Idempotent calls are retried on other side processes. Other calls run at most once and need an
//! idempotency key or a ticket.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use conf::CallConfig;
use hyper::header::HeaderMap;
use hyper::{
    Response,
    StatusCode, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CallTicket,
    ClaimKey,
    ClaimRecord,
    ClaimRequest,
    body_digest, //
};
use tokio::time::Instant;
use units::{
    AccountName,
    CallName,
    InstanceId,
    ServiceName, //
};
use web::{
    ResponseBody,
    json_response, //
};
use wire::{
    CallOutcome,
    CallRequest,
    VerdictCode, //
};

use crate::call_outcome::{
    check_outcome,
    claim_record,
    forged_ticket,
    none_available,
    outcome_unknown, //
};
use crate::caller_failure::CallerFailure;
use crate::claims::unix_time_ms;
use crate::error_response::failure_response;
use crate::side_call::CallResult;
use crate::state::EntryShared;

const KEY_HEADER: &str = "idempotency-key";
const KEY_LIMIT_BYTES: usize = 512;
const TICKET_PREFIX: &str = "t1~";
/// Maximum number of tickets to which one call binds its key. A further ticket is needed if the
/// side process refuses to run the previous one.
const MAX_KEY_BINDINGS: usize = 3;

/// Call of a plain service, with its account and its configured rule.
struct ServiceCall {
    account: AccountName,
    service: ServiceName,
    call_name: CallName,
    rule: CallConfig,
    body: Bytes,
    deadline: Instant,
}

/// Serves a call of a plain service.
pub(crate) async fn serve_call(
    shared: Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let result = run_call(&shared, service, call, headers, body).await;
    match result {
        Ok(outcome) => {
            let status = u16::try_from(outcome.status).ok();
            let status = status.and_then(|code| StatusCode::from_u16(code).ok());
            json_response(status.unwrap_or(StatusCode::BAD_GATEWAY), outcome.body)
        }
        Err(failure) => {
            shared
                .metrics
                .refusals
                .with_label_values(&[failure.code])
                .inc();
            failure_response(&failure)
        }
    }
}

/// Issues a ticket to a caller, for a call that must work during an outage of the store.
pub(crate) async fn serve_ticket(
    shared: Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
) -> Response<ResponseBody> {
    let result = async {
        let call = parse_call(&shared, service, call, headers, Bytes::new())?;
        obtain_ticket(&shared, &call).await
    };
    match result.await {
        Ok(ticket) => json_response(StatusCode::OK, format!("{{\"ticket\":\"{ticket}\"}}")),
        Err(failure) => failure_response(&failure),
    }
}

fn parse_call(
    shared: &EntryShared,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ServiceCall, CallerFailure> {
    let book = shared.lock().book.clone();
    let account = shared.admit_account(&book, headers)?;
    let parsed_names = service
        .parse::<ServiceName>()
        .ok()
        .zip(call.parse::<CallName>().ok());
    let matched_call = parsed_names.and_then(|(service, call)| {
        let rule = book.services.get(&service)?.calls.get(&call).copied()?;
        Some((service, call, rule))
    });
    let Some((service, call_name, rule)) = matched_call else {
        let message = "no such call; use a service and a call of the configuration";
        let failure = CallerFailure::invalid("unknown_call", message);
        return Err(failure.with_status(StatusCode::NOT_FOUND));
    };
    let deadline = Instant::now() + Duration::from_millis(rule.timeout_ms.into());
    Ok(ServiceCall {
        account,
        service,
        call_name,
        rule,
        body,
        deadline,
    })
}

async fn run_call(
    shared: &Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<CallOutcome, CallerFailure> {
    let call = parse_call(shared, service, call, headers, body)?;
    if call.rule.idempotent {
        return run_idempotent(shared, &call).await;
    }
    let key = headers.get(KEY_HEADER).map(|value| value.as_bytes());
    let Some(key) = key.filter(|key| !key.is_empty() && key.len() <= KEY_LIMIT_BYTES) else {
        let message = format!(
            "this call may not be repeated; set {KEY_HEADER} to a key of 1 to \
             {KEY_LIMIT_BYTES} bytes that you use for this call only"
        );
        return Err(CallerFailure::invalid("missing_key", message));
    };
    let text = std::str::from_utf8(key).unwrap_or_default();
    if text.starts_with(TICKET_PREFIX) {
        return run_with_ticket(shared, &call, text).await;
    }
    run_with_key(shared, &call, key).await
}

/// Runs an idempotent call and retries it on other side processes until one replies, the deadline
/// passes or the retry budget is spent.
async fn run_idempotent(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
) -> Result<CallOutcome, CallerFailure> {
    let mut tried_sides: Vec<InstanceId> = Vec::new();
    shared.lock().retry_bucket.record_request();
    loop {
        let sides = shared.available_sides(&call.service);
        let side = sides
            .iter()
            .find(|side| !tried_sides.contains(side))
            .or(sides.first());
        let Some(side) = side.cloned() else {
            return Err(none_available());
        };
        log_call(
            shared,
            call,
            &side,
            "side process with the fewest in-flight attempts; idempotent call",
        );
        // Half of the remaining time, so that another side process can still be tried.
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let deadline = Instant::now() + remaining / 2;
        let request = CallRequest {
            attempt: 0,
            account: call.account.to_string(),
            call: call.call_name.to_string(),
            ticket: String::new(),
            body: call.body.clone(),
            timeout_ms: (remaining / 2).as_millis() as u32,
        };
        if let CallResult::Outcome(outcome) = shared.send_call(&side, request, deadline).await
            && outcome.verdict() == VerdictCode::Done
        {
            return Ok(outcome);
        }
        tried_sides.push(side);
        let out_of_time =
            call.deadline.saturating_duration_since(Instant::now()) < Duration::from_millis(5);
        if out_of_time || !shared.lock().retry_bucket.try_spend() {
            let message = "the plain service gave no answer; send the call again";
            return Err(CallerFailure::unknown("no_answer", message));
        }
        shared.metrics.retries.inc();
    }
}

/// Runs a call under a ticket that the caller obtained earlier.
async fn run_with_ticket(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
    text: &str,
) -> Result<CallOutcome, CallerFailure> {
    let Ok(ticket) = text.parse::<CallTicket>() else {
        return Err(forged_ticket(shared));
    };
    if !ticket.is_genuine(&shared.secret, &call.account, &call.call_name) {
        return Err(forged_ticket(shared));
    }
    log_call(
        shared,
        call,
        &ticket.instance,
        "ticket was issued by this side process",
    );
    let body = call.body.clone();
    let result =
        shared.call_with_ticket(&ticket, &call.account, &call.call_name, body, call.deadline);
    match result.await {
        CallResult::Outcome(outcome) => check_outcome(shared, outcome),
        // An earlier request with this ticket may have run the call, through this or another
        // entry.
        CallResult::NotSent | CallResult::NoOutcome => Err(outcome_unknown()),
    }
}

/// Runs a call under the caller's idempotency key, which is first bound to a ticket in the store.
async fn run_with_key(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
    key: &[u8],
) -> Result<CallOutcome, CallerFailure> {
    let key = ClaimKey::new(&call.account, &call.call_name, key);
    let mut cancelled_ticket = None;
    for _ in 0..MAX_KEY_BINDINGS {
        let new_ticket = obtain_ticket(shared, call).await?;
        let record = ClaimRecord {
            ticket: new_ticket.to_unsigned(),
            body: body_digest(&call.body),
            at_ms: unix_time_ms(),
        };
        let request = ClaimRequest {
            key: key.clone(),
            record,
            cancelled_ticket: cancelled_ticket.take(),
        };
        let claim = claim_record(shared.claim(request).await)?;
        let Ok(ticket) = claim.ticket.parse::<CallTicket>() else {
            return Err(outcome_unknown());
        };
        let ticket = ticket.signed(&shared.secret, &call.account, &call.call_name);
        let is_new = ticket == new_ticket;
        let reason = if is_new {
            "idempotency key bound to a new ticket of this side process"
        } else {
            "idempotency key was already bound to a ticket of this side process"
        };
        log_call(shared, call, &ticket.instance, reason);
        let body = call.body.clone();
        let result =
            shared.call_with_ticket(&ticket, &call.account, &call.call_name, body, call.deadline);
        match result.await {
            CallResult::Outcome(outcome) if outcome.verdict() == VerdictCode::NotRun => {
                // The side process will never run this ticket, so the key may be bound to another.
                cancelled_ticket = Some(claim.ticket);
            }
            CallResult::Outcome(outcome) => return check_outcome(shared, outcome),
            CallResult::NotSent | CallResult::NoOutcome => return Err(outcome_unknown()),
        }
    }
    Err(none_available())
}

/// Requests a ticket from the side processes of the service, one after the other.
async fn obtain_ticket(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
) -> Result<CallTicket, CallerFailure> {
    for side in shared.available_sides(&call.service) {
        if let Some(ticket) = shared
            .request_ticket(&side, &call.account, &call.call_name)
            .await
        {
            return Ok(ticket);
        }
    }
    Err(none_available())
}

fn log_call(shared: &EntryShared, call: &ServiceCall, side: &InstanceId, reason: &str) {
    let record = DecisionRecord::new(DecisionKind::Claim, reason)
        .request(&call.call_name)
        .chosen(side);
    shared.log.write(record);
}
