//! Calls of the plain service: tickets, single execution, recorded outcomes.

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

const REPLY_LIMIT_BYTES: usize = 256 * 1_024;
/// Tickets given out for one question.
const GRANT_LIMIT: u32 = 64;

fn outcome(attempt: u64, verdict: VerdictCode, reason: &str) -> CallOutcome {
    CallOutcome {
        attempt,
        verdict: verdict.into(),
        status: 0,
        body: Bytes::new(),
        reason: reason.into(),
    }
}

fn done(attempt: u64, record: &CallRecord) -> CallOutcome {
    CallOutcome {
        attempt,
        verdict: VerdictCode::Done.into(),
        status: record.status.into(),
        body: record.body.clone(),
        reason: String::new(),
    }
}

impl SideShared {
    /// Gives out tickets, unless the process leaves.
    pub(crate) fn grant_tickets(&self, ask: &TicketRequest, sender: &LinkSender) {
        let names = ask
            .account
            .parse::<AccountName>()
            .ok()
            .zip(ask.call.parse::<CallName>().ok());
        let state = self.lock();
        let count = if state.is_leaving() {
            0
        } else {
            ask.count.min(GRANT_LIMIT)
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
        let attempt = ask.attempt;
        let _ = sender.send(FrameKind::TicketGrant(TicketGrant { attempt, tickets }));
    }

    /// Runs a call, or answers with what is known of it.
    pub(crate) fn run_call(self: &Arc<Self>, run: CallRequest, sender: LinkSender) {
        let attempt = run.attempt;
        let verdict = match self.judge(&run, &sender) {
            Ok(nonce) => {
                tokio::spawn(self.clone().execute(run, nonce, sender));
                return;
            }
            Err(None) => return,
            Err(Some(verdict)) => verdict,
        };
        let answer = match verdict {
            TicketVerdict::Done(record) => done(attempt, &record),
            TicketVerdict::NotRun(reason) => outcome(attempt, VerdictCode::NotRun, reason),
            TicketVerdict::Unknown(reason) => outcome(attempt, VerdictCode::Unknown, reason),
            TicketVerdict::Run | TicketVerdict::Join | TicketVerdict::Forged => {
                self.metrics.intruders.inc();
                let reason = "a ticket was forged or presented for another call";
                self.log
                    .write(DecisionRecord::new(DecisionKind::Intruder, reason));
                outcome(attempt, VerdictCode::Forged, reason)
            }
        };
        let _ = sender.send(FrameKind::Outcome(answer));
    }

    /// The nonce to run under, nothing when the caller was joined to a running call, or a verdict.
    fn judge(
        &self,
        run: &CallRequest,
        sender: &LinkSender,
    ) -> Result<Option<u64>, Option<TicketVerdict>> {
        let mut state = self.lock();
        if run.ticket.is_empty() {
            if state.is_leaving() {
                return Err(Some(TicketVerdict::NotRun("leaving")));
            }
            state.drain.try_enter();
            return Ok(None);
        }
        let parsed = (run.ticket.parse::<CallTicket>().ok())
            .zip(run.account.parse::<AccountName>().ok())
            .zip(run.call.parse::<CallName>().ok());
        let Some(((ticket, account), call)) = parsed else {
            return Err(Some(TicketVerdict::Forged));
        };
        let now = self.clock.timestamp();
        match state.ticket_registry.present(now, &ticket, &account, &call) {
            TicketVerdict::Run if state.is_leaving() => {
                state.ticket_registry.cancel(ticket.nonce);
                Err(Some(TicketVerdict::NotRun("leaving")))
            }
            TicketVerdict::Run => {
                state.drain.try_enter();
                Ok(Some(ticket.nonce))
            }
            TicketVerdict::Join => {
                let waiter = CallWaiter {
                    sender: sender.clone(),
                    attempt: run.attempt,
                };
                state.joins.entry(ticket.nonce).or_default().push(waiter);
                Err(None)
            }
            verdict => Err(Some(verdict)),
        }
    }

    async fn execute(self: Arc<Self>, run: CallRequest, nonce: Option<u64>, sender: LinkSender) {
        self.metrics.calls.inc();
        let record = DecisionRecord::new(DecisionKind::Call, "sent to the plain service")
            .chosen(&run.call)
            .request(format!("{:016x}", run.attempt));
        self.log.write(record);
        let call = HttpRequest::new(
            self.settings.backend,
            Method::POST,
            format!("/{}", run.call),
        )
        .header("content-type", "application/json")
        .body(run.body);
        let time = Duration::from_millis(run.timeout_ms.into());
        let sent = send_request(call, REPLY_LIMIT_BYTES, time).await;
        let mut state = self.lock();
        let mut answer = match sent {
            Ok(reply) => {
                let status = reply.status.as_u16();
                let record = CallRecord {
                    status,
                    body: reply.body,
                };
                let answer = done(run.attempt, &record);
                nonce.inspect(|nonce| state.ticket_registry.complete(*nonce, record));
                answer
            }
            Err(error) if error.is_unsent() => {
                nonce.inspect(|nonce| state.ticket_registry.cancel(*nonce));
                outcome(
                    run.attempt,
                    VerdictCode::NotRun,
                    "the plain service is out of reach",
                )
            }
            Err(error) => {
                nonce.inspect(|nonce| state.ticket_registry.mark_lost(*nonce));
                outcome(run.attempt, VerdictCode::Unknown, &error.to_string())
            }
        };
        state.drain.leave();
        let waiters = nonce
            .and_then(|nonce| state.joins.remove(&nonce))
            .unwrap_or_default();
        drop(state);
        // A caller whose link is gone may ask again under the same key.
        let _ = sender.send(FrameKind::Outcome(answer.clone()));
        for waiter in waiters {
            answer.attempt = waiter.attempt;
            let _ = waiter.sender.send(FrameKind::Outcome(answer.clone()));
        }
        self.changed.notify_waiters();
    }
}
