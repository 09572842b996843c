//! Serves calls of plain services: repeated freely where that does no harm, once where it does.

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

use crate::claims::now_ms;
use crate::failure::CallerFailure;
use crate::reply::failure_reply;
use crate::state::EntryShared;
use crate::tickets::CallEnd;
use crate::verdicts::{
    claim_verdict,
    forged,
    judge_outcome,
    none_available,
    outcome_unknown, //
};

const KEY_HEADER: &str = "idempotency-key";
const KEY_LIMIT_BYTES: usize = 512;
const TICKET_PREFIX: &str = "t1~";
/// Times that a key is bound anew after its ticket turned out never to run.
const REBIND_LIMIT: usize = 3;

/// A call with its caller and rule.
struct ServiceCall {
    account: AccountName,
    service: ServiceName,
    call: CallName,
    rule: CallConfig,
    body: Bytes,
    until: Instant,
}

/// Serves one call of a plain service.
pub(crate) async fn serve_call(
    shared: Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let result = serve(&shared, service, call, headers, body).await;
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
            failure_reply(&failure)
        }
    }
}

/// Gives a ticket to a caller, for a call that must go on while the store is away.
pub(crate) async fn serve_ticket(
    shared: Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
) -> Response<ResponseBody> {
    let result = async {
        let call = read_call(&shared, service, call, headers, Bytes::new())?;
        new_ticket(&shared, &call).await
    };
    match result.await {
        Ok(ticket) => json_response(StatusCode::OK, format!("{{\"ticket\":\"{ticket}\"}}")),
        Err(failure) => failure_reply(&failure),
    }
}

fn read_call(
    shared: &EntryShared,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ServiceCall, CallerFailure> {
    let book = shared.lock().book.clone();
    let account = shared.admit_account(&book, headers)?;
    let names = service
        .parse::<ServiceName>()
        .ok()
        .zip(call.parse::<CallName>().ok());
    let found = names.and_then(|(service, call)| {
        let rule = book.services.get(&service)?.calls.get(&call).copied()?;
        Some((service, call, rule))
    });
    let Some((service, call, rule)) = found else {
        let message = "no such call; use a service and a call of the configuration";
        let failure = CallerFailure::invalid("unknown_call", message);
        return Err(failure.status(StatusCode::NOT_FOUND));
    };
    let until = Instant::now() + Duration::from_millis(rule.timeout_ms.into());
    Ok(ServiceCall {
        account,
        service,
        call,
        rule,
        body,
        until,
    })
}

async fn serve(
    shared: &Arc<EntryShared>,
    service: &str,
    call: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<CallOutcome, CallerFailure> {
    let call = read_call(shared, service, call, headers, body)?;
    if call.rule.idempotent {
        return run_repeatable(shared, &call).await;
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
        return run_ticket(shared, &call, text).await;
    }
    run_claimed(shared, &call, key).await
}

/// A call that may be repeated: again elsewhere until one answers or the time is over.
async fn run_repeatable(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
) -> Result<CallOutcome, CallerFailure> {
    let mut tried: Vec<InstanceId> = Vec::new();
    shared.lock().retries.record_request();
    loop {
        let sides = shared.service_sides(&call.service);
        let side = sides
            .iter()
            .find(|side| !tried.contains(side))
            .or(sides.first());
        let Some(side) = side.cloned() else {
            return Err(none_available());
        };
        log_call(
            shared,
            call,
            &side,
            "least busy side of the service; may be repeated",
        );
        // Half of the time left, so that another side can still be asked.
        let left = call.until.saturating_duration_since(Instant::now());
        let until = Instant::now() + left / 2;
        let run = CallRequest {
            attempt: 0,
            account: call.account.to_string(),
            call: call.call.to_string(),
            ticket: String::new(),
            body: call.body.clone(),
            timeout_ms: (left / 2).as_millis() as u32,
        };
        if let CallEnd::Outcome(outcome) = shared.send_call(&side, run, until).await
            && outcome.verdict() == VerdictCode::Done
        {
            return Ok(outcome);
        }
        tried.push(side);
        let over = call.until.saturating_duration_since(Instant::now()) < Duration::from_millis(5);
        if over || !shared.lock().retries.try_spend() {
            let message = "the plain service gave no answer; send the call again";
            return Err(CallerFailure::unknown("no_answer", message));
        }
        shared.metrics.retries.inc();
    }
}

async fn run_ticket(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
    text: &str,
) -> Result<CallOutcome, CallerFailure> {
    let Ok(ticket) = text.parse::<CallTicket>() else {
        return Err(forged(shared));
    };
    if !ticket.is_genuine(&shared.secret, &call.account, &call.call) {
        return Err(forged(shared));
    }
    log_call(shared, call, &ticket.instance, "the ticket names this side");
    let body = call.body.clone();
    let presented = shared.present(&ticket, &call.account, &call.call, body, call.until);
    match presented.await {
        CallEnd::Outcome(outcome) => judge_outcome(shared, outcome),
        // This caller's earlier tries may have run it, through this entry or another.
        CallEnd::Unsent | CallEnd::Lost => Err(outcome_unknown()),
    }
}

/// A call under the caller's own key: the key is bound to a ticket in the store first.
async fn run_claimed(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
    key: &[u8],
) -> Result<CallOutcome, CallerFailure> {
    let key = ClaimKey::new(&call.account, &call.call, key);
    let mut cancelled_ticket = None;
    for _ in 0..REBIND_LIMIT {
        let fresh = new_ticket(shared, call).await?;
        let record = ClaimRecord {
            ticket: fresh.to_unsigned(),
            body: body_digest(&call.body),
            at_ms: now_ms(),
        };
        let request = ClaimRequest {
            key: key.clone(),
            record,
            cancelled_ticket: cancelled_ticket.take(),
        };
        let bound = claim_verdict(shared.claim(request).await)?;
        let Ok(ticket) = bound.ticket.parse::<CallTicket>() else {
            return Err(outcome_unknown());
        };
        let ticket = ticket.signed(&shared.secret, &call.account, &call.call);
        let own = ticket == fresh;
        let reason = if own {
            "key claimed for this side"
        } else {
            "key was claimed for this side"
        };
        log_call(shared, call, &ticket.instance, reason);
        let body = call.body.clone();
        let presented = shared.present(&ticket, &call.account, &call.call, body, call.until);
        match presented.await {
            CallEnd::Outcome(outcome) if outcome.verdict() == VerdictCode::NotRun => {
                // The side said that this ticket never runs; the key may be bound anew.
                cancelled_ticket = Some(bound.ticket);
            }
            CallEnd::Outcome(outcome) => return judge_outcome(shared, outcome),
            CallEnd::Unsent | CallEnd::Lost => return Err(outcome_unknown()),
        }
    }
    Err(none_available())
}

async fn new_ticket(
    shared: &Arc<EntryShared>,
    call: &ServiceCall,
) -> Result<CallTicket, CallerFailure> {
    for side in shared.service_sides(&call.service) {
        if let Some(ticket) = shared.ask_ticket(&side, &call.account, &call.call).await {
            return Ok(ticket);
        }
    }
    Err(none_available())
}

fn log_call(shared: &EntryShared, call: &ServiceCall, side: &InstanceId, reason: &str) {
    let record = DecisionRecord::new(DecisionKind::Claim, reason)
        .request(&call.call)
        .chosen(side);
    shared.log.write(record);
}
