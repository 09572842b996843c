//! Calls of the plain service.
//!
//! A call with a ticket runs at most once; its outcome is recorded for repeated requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CallRecord,
    CallTicket,
    TicketVerdict, //
};
use units::{
    AccountName,
    CallName, //
};
use web::{
    HttpRequest,
    send_request, //
};
use wire::{
    CallOutcome,
    CallRequest,
    FrameKind,
    LinkSender,
    TicketGrant,
    TicketRequest,
    VerdictCode, //
};

use crate::state::{
    CallWaiter,
    SideShared, //
};

/// Limit on the response body of the plain service.
const MAX_RESPONSE_BYTES: usize = 256 * 1_024;
/// Maximum number of tickets granted per request.
const MAX_TICKETS_PER_GRANT: u32 = 64;

/// Returns an outcome without a response of the plain service.
fn empty_outcome(attempt: u64, verdict: VerdictCode, reason: &str) -> CallOutcome {
    CallOutcome {
        attempt,
        verdict: verdict.into(),
        status: 0,
        body: Bytes::new(),
        reason: reason.into(),
    }
}

/// Returns the outcome of a call that ran, with the recorded response.
fn recorded_outcome(attempt: u64, record: &CallRecord) -> CallOutcome {
    CallOutcome {
        attempt,
        verdict: VerdictCode::Done.into(),
        status: record.status.into(),
        body: record.body.clone(),
        reason: String::new(),
    }
}

impl SideShared {
    /// Issues the requested tickets, or none if the process is draining.
    pub(crate) fn grant_tickets(&self, request: &TicketRequest, sender: &LinkSender) {
        let names = request
            .account
            .parse::<AccountName>()
            .ok()
            .zip(request.call.parse::<CallName>().ok());
        let state = self.lock();
        let count = if state.is_draining() {
            0
        } else {
            request.count.min(MAX_TICKETS_PER_GRANT)
        };
        let mut tickets = Vec::new();
        if let Some((account, call)) = names {
            let now = self.clock.timestamp();
            let issue = |_| {
                state
                    .ticket_registry
                    .issue(now, rand::random(), &account, &call)
                    .to_string()
            };
            tickets.extend((0..count).map(issue));
        }
        let attempt = request.attempt;
        let _ = sender.send(FrameKind::TicketGrant(TicketGrant { attempt, tickets }));
    }

    /// Runs a call, or sends its outcome if the ticket was used before.
    pub(crate) fn handle_call(self: &Arc<Self>, request: CallRequest, sender: LinkSender) {
        let attempt = request.attempt;
        let verdict = match self.admit_call(&request, &sender) {
            Ok(nonce) => {
                tokio::spawn(self.clone().execute_call(request, nonce, sender));
                return;
            }
            Err(None) => return,
            Err(Some(verdict)) => verdict,
        };
        let outcome = match verdict {
            TicketVerdict::Done(record) => recorded_outcome(attempt, &record),
            TicketVerdict::NotRun(reason) => empty_outcome(attempt, VerdictCode::NotRun, reason),
            TicketVerdict::Unknown(reason) => empty_outcome(attempt, VerdictCode::Unknown, reason),
            TicketVerdict::Run | TicketVerdict::Join | TicketVerdict::Forged => {
                self.metrics.intruders.inc();
                let reason = "a ticket was forged or presented for another call";
                self.log
                    .write(DecisionRecord::new(DecisionKind::Intruder, reason));
                empty_outcome(attempt, VerdictCode::Forged, reason)
            }
        };
        let _ = sender.send(FrameKind::Outcome(outcome));
    }

    /// Decides whether a call runs.
    ///
    /// Returns the nonce of the ticket, if any, for a call that must run, and `Err(None)` if the
    /// call is already running and this request now waits for its outcome. Otherwise returns the
    /// verdict to send.
    fn admit_call(
        &self,
        request: &CallRequest,
        sender: &LinkSender,
    ) -> Result<Option<u64>, Option<TicketVerdict>> {
        let mut state = self.lock();
        if request.ticket.is_empty() {
            if state.is_draining() {
                return Err(Some(TicketVerdict::NotRun("leaving")));
            }
            state.drain_gate.try_enter();
            return Ok(None);
        }
        let parsed = (request.ticket.parse::<CallTicket>().ok())
            .zip(request.account.parse::<AccountName>().ok())
            .zip(request.call.parse::<CallName>().ok());
        let Some(((ticket, account), call)) = parsed else {
            return Err(Some(TicketVerdict::Forged));
        };
        let now = self.clock.timestamp();
        match state.ticket_registry.present(now, &ticket, &account, &call) {
            TicketVerdict::Run if state.is_draining() => {
                state.ticket_registry.cancel(ticket.nonce);
                Err(Some(TicketVerdict::NotRun("leaving")))
            }
            TicketVerdict::Run => {
                state.drain_gate.try_enter();
                Ok(Some(ticket.nonce))
            }
            TicketVerdict::Join => {
                let waiter = CallWaiter {
                    sender: sender.clone(),
                    attempt: request.attempt,
                };
                state
                    .call_waiters
                    .entry(ticket.nonce)
                    .or_default()
                    .push(waiter);
                Err(None)
            }
            verdict => Err(Some(verdict)),
        }
    }

    /// Sends a call to the plain service, records the outcome and sends it to all who wait for it.
    async fn execute_call(
        self: Arc<Self>,
        request: CallRequest,
        nonce: Option<u64>,
        sender: LinkSender,
    ) {
        self.metrics.calls.inc();
        let record = DecisionRecord::new(DecisionKind::Call, "sent to the plain service")
            .chosen(&request.call)
            .request(format!("{:016x}", request.attempt));
        self.log.write(record);
        let http_request = HttpRequest::new(
            self.settings.backend,
            Method::POST,
            format!("/{}", request.call),
        )
        .header("content-type", "application/json")
        .body(request.body);
        let timeout = Duration::from_millis(request.timeout_ms.into());
        let result = send_request(http_request, MAX_RESPONSE_BYTES, timeout).await;
        let mut state = self.lock();
        let mut outcome = match result {
            Ok(response) => {
                let status = response.status.as_u16();
                let record = CallRecord {
                    status,
                    body: response.body,
                };
                let outcome = recorded_outcome(request.attempt, &record);
                nonce.inspect(|nonce| state.ticket_registry.complete(*nonce, record));
                outcome
            }
            Err(error) if error.is_unsent() => {
                nonce.inspect(|nonce| state.ticket_registry.cancel(*nonce));
                empty_outcome(
                    request.attempt,
                    VerdictCode::NotRun,
                    "the plain service is out of reach",
                )
            }
            Err(error) => {
                nonce.inspect(|nonce| state.ticket_registry.mark_lost(*nonce));
                empty_outcome(request.attempt, VerdictCode::Unknown, &error.to_string())
            }
        };
        state.drain_gate.leave();
        let waiters = nonce
            .and_then(|nonce| state.call_waiters.remove(&nonce))
            .unwrap_or_default();
        drop(state);
        // If the link is closed, the caller can retry with the same idempotency key.
        let _ = sender.send(FrameKind::Outcome(outcome.clone()));
        for waiter in waiters {
            outcome.attempt = waiter.attempt;
            let _ = waiter.sender.send(FrameKind::Outcome(outcome.clone()));
        }
        self.work_changed.notify_waiters();
    }
}
