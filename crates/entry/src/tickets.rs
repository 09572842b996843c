//! Gets tickets from side processes and presents them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use policy::CallTicket;
use tokio::time::{
    Instant,
    timeout_at, //
};
use units::{
    AccountName,
    CallName,
    IncarnationId,
    InstanceId,
    ServiceName, //
};
use wire::{
    CallOutcome,
    CallRequest,
    FrameKind,
    TicketRequest, //
};

use crate::attempt::AttemptEvent;
use crate::state::EntryShared;

/// Time for a side process to give out a ticket.
const TICKET_TIME: Duration = Duration::from_millis(1_000);
const DIAL_POLL: Duration = Duration::from_millis(50);

/// What came back for a presented call.
pub(crate) enum CallEnd {
    Outcome(CallOutcome),
    /// Nothing was sent.
    Unsent,
    /// It was sent, and its side process is gone.
    Lost,
}

impl EntryShared {
    /// Side processes of a service that take work, the least busy first.
    pub(crate) fn service_sides(&self, service: &ServiceName) -> Vec<InstanceId> {
        let state = self.lock();
        let leaving = state.listed_leaving();
        let mut found: Vec<(usize, InstanceId)> = Vec::new();
        for (instance, link) in &state.links {
            let serves = link.service.as_ref() == Some(service) && link.load.accepting;
            if serves && !link.leaving && !leaving.contains(instance) {
                found.push((state.attempts.count_on(instance), instance.clone()));
            }
        }
        found.sort();
        found.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Asks a side process for one ticket.
    pub(crate) async fn ask_ticket(
        &self,
        instance: &InstanceId,
        account: &AccountName,
        call: &CallName,
    ) -> Option<CallTicket> {
        let (id, mut events) = self.lock().attempts.open(instance);
        let ask = TicketRequest {
            attempt: id.0,
            account: account.to_string(),
            call: call.to_string(),
            count: 1,
        };
        let sent = self.send_to(instance, FrameKind::TicketRequest(ask));
        let until = Instant::now() + TICKET_TIME;
        let answer = if sent {
            timeout_at(until, events.recv()).await.ok().flatten()
        } else {
            None
        };
        self.lock().attempts.close(id);
        match answer {
            Some(AttemptEvent::Tickets(tickets)) => tickets.first()?.parse().ok(),
            _ => None,
        }
    }

    /// Sends a call and waits for its outcome.
    pub(crate) async fn send_call(
        &self,
        instance: &InstanceId,
        mut run: CallRequest,
        until: Instant,
    ) -> CallEnd {
        let (id, mut events) = self.lock().attempts.open(instance);
        run.attempt = id.0;
        let sent = self.send_to(instance, FrameKind::Call(run));
        let mut end = CallEnd::Unsent;
        if sent {
            end = match timeout_at(until, events.recv()).await {
                Ok(Some(AttemptEvent::Outcome(outcome))) => CallEnd::Outcome(outcome),
                _ => CallEnd::Lost,
            };
        }
        self.lock().attempts.close(id);
        end
    }

    /// Presents a ticket to the run of the side process that gave it out, again while that run is
    /// reachable: the ticket makes repeats harmless.
    pub(crate) async fn present(
        self: &Arc<Self>,
        ticket: &CallTicket,
        account: &AccountName,
        call: &CallName,
        body: Bytes,
        until: Instant,
    ) -> CallEnd {
        let mut sent = false;
        loop {
            if !self
                .await_link(&ticket.instance, ticket.incarnation, until)
                .await
            {
                return if sent { CallEnd::Lost } else { CallEnd::Unsent };
            }
            let left = until.saturating_duration_since(Instant::now());
            let run = CallRequest {
                attempt: 0,
                account: account.to_string(),
                call: call.to_string(),
                ticket: ticket.to_string(),
                body: body.clone(),
                timeout_ms: left.as_millis() as u32,
            };
            match self.send_call(&ticket.instance, run, until).await {
                CallEnd::Outcome(outcome) => return CallEnd::Outcome(outcome),
                CallEnd::Lost => sent = true,
                CallEnd::Unsent => {}
            }
            if Instant::now() >= until {
                return if sent { CallEnd::Lost } else { CallEnd::Unsent };
            }
        }
    }

    /// Waits until the link to one run of a side process is up; false when it can't be.
    async fn await_link(
        self: &Arc<Self>,
        instance: &InstanceId,
        incarnation: IncarnationId,
        until: Instant,
    ) -> bool {
        loop {
            let found = self.lock().links.get(instance).map(|link| link.incarnation);
            match found {
                Some(run) if run == incarnation => return true,
                // Another run has taken its place; the one that gave the ticket out is gone.
                Some(_) => return false,
                None => {}
            }
            if Instant::now() >= until || !self.lock().listed.contains_key(instance) {
                return false;
            }
            self.dial(instance);
            tokio::time::sleep(DIAL_POLL).await;
        }
    }

    fn send_to(&self, instance: &InstanceId, kind: FrameKind) -> bool {
        let state = self.lock();
        state
            .links
            .get(instance)
            .is_some_and(|link| link.sender.send(kind))
    }
}
