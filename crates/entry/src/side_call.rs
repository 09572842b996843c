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

use crate::attempt_table::AttemptEvent;
use crate::state::EntryShared;

/// Time for a side process to give out a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_millis(1_000);
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What came back for a presented call.
pub(crate) enum CallResult {
    Outcome(CallOutcome),
    /// Nothing was sent.
    NotSent,
    /// It was sent, and its side process is gone.
    NoOutcome,
}

impl EntryShared {
    /// Side processes of a service that take work, the least busy first.
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

    /// Asks a side process for one ticket.
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

    /// Presents a ticket to the run of the side process that gave it out, again while that run is
    /// reachable: the ticket makes repeats harmless.
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

    /// Waits until the link to one run of a side process is up; false when it can't be.
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
                // Another run has taken its place; the one that gave the ticket out is gone.
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
