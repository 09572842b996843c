//! Sends calls and ticket requests to side processes.

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

use crate::attempt_table::AttemptEvent;
use crate::state::EntryShared;

/// Time within which a side process must issue a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_millis(1_000);
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a call sent to a side process.
pub(crate) enum CallResult {
    Outcome(CallOutcome),
    /// The call was not sent.
    NotSent,
    /// The call was sent, but no outcome arrived before the deadline or the loss of the link.
    NoOutcome,
}

impl EntryShared {
    /// Returns the side processes of a service that accept calls, in ascending order of their
    /// in-flight attempts.
    pub(crate) fn available_sides(&self, service: &ServiceName) -> Vec<InstanceId> {
        let state = self.lock();
        let draining = state.draining_instances();
        let mut sides: Vec<(usize, InstanceId)> = Vec::new();
        for (instance, link) in &state.links {
            let is_available = link.service.as_ref() == Some(service) && link.load.accepting;
            if is_available && !link.draining && !draining.contains(instance) {
                sides.push((state.attempts.count_on(instance), instance.clone()));
            }
        }
        sides.sort();
        sides.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Requests one ticket from a side process.
    pub(crate) async fn request_ticket(
        &self,
        instance: &InstanceId,
        account: &AccountName,
        call: &CallName,
    ) -> Option<CallTicket> {
        let (id, mut events) = self.lock().attempts.open(instance);
        let request = TicketRequest {
            attempt: id.0,
            account: account.to_string(),
            call: call.to_string(),
            count: 1,
        };
        let sent = self.send_frame_to(instance, FrameKind::TicketRequest(request));
        let deadline = Instant::now() + TICKET_TIMEOUT;
        let event = if sent {
            timeout_at(deadline, events.recv()).await.ok().flatten()
        } else {
            None
        };
        self.lock().attempts.close(id);
        match event {
            Some(AttemptEvent::Tickets(tickets)) => tickets.first()?.parse().ok(),
            _ => None,
        }
    }

    /// Sends a call and waits for its outcome.
    pub(crate) async fn send_call(
        &self,
        instance: &InstanceId,
        mut request: CallRequest,
        deadline: Instant,
    ) -> CallResult {
        let (id, mut events) = self.lock().attempts.open(instance);
        request.attempt = id.0;
        let sent = self.send_frame_to(instance, FrameKind::Call(request));
        let mut result = CallResult::NotSent;
        if sent {
            result = match timeout_at(deadline, events.recv()).await {
                Ok(Some(AttemptEvent::Outcome(outcome))) => CallResult::Outcome(outcome),
                _ => CallResult::NoOutcome,
            };
        }
        self.lock().attempts.close(id);
        result
    }

    /// Sends a call to the incarnation of the side process that issued its ticket, and retries
    /// while that incarnation is reachable. The ticket prevents the call from running twice.
    pub(crate) async fn call_with_ticket(
        self: &Arc<Self>,
        ticket: &CallTicket,
        account: &AccountName,
        call: &CallName,
        body: Bytes,
        deadline: Instant,
    ) -> CallResult {
        let mut sent = false;
        loop {
            if !self
                .wait_for_link(&ticket.instance, ticket.incarnation, deadline)
                .await
            {
                return if sent {
                    CallResult::NoOutcome
                } else {
                    CallResult::NotSent
                };
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let request = CallRequest {
                attempt: 0,
                account: account.to_string(),
                call: call.to_string(),
                ticket: ticket.to_string(),
                body: body.clone(),
                timeout_ms: remaining.as_millis() as u32,
            };
            match self.send_call(&ticket.instance, request, deadline).await {
                CallResult::Outcome(outcome) => return CallResult::Outcome(outcome),
                CallResult::NoOutcome => sent = true,
                CallResult::NotSent => {}
            }
            if Instant::now() >= deadline {
                return if sent {
                    CallResult::NoOutcome
                } else {
                    CallResult::NotSent
                };
            }
        }
    }

    /// Waits for a link to one incarnation of a side process.
    ///
    /// Returns false if the incarnation has ended, the instance is no longer listed or the deadline
    /// has passed.
    async fn wait_for_link(
        self: &Arc<Self>,
        instance: &InstanceId,
        incarnation: IncarnationId,
        deadline: Instant,
    ) -> bool {
        loop {
            let linked = self.lock().links.get(instance).map(|link| link.incarnation);
            match linked {
                Some(linked) if linked == incarnation => return true,
                // The side process has restarted, so the incarnation that issued the ticket has
                // ended.
                Some(_) => return false,
                None => {}
            }
            if Instant::now() >= deadline || !self.lock().instances.contains_key(instance) {
                return false;
            }
            self.start_link_task(instance);
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
    }

    fn send_frame_to(&self, instance: &InstanceId, frame: FrameKind) -> bool {
        let state = self.lock();
        state
            .links
            .get(instance)
            .is_some_and(|link| link.sender.send(frame))
    }
}
