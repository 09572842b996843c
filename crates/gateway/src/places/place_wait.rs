//! Waiting at the gateway while the places of all plain servers are taken.

use std::sync::Arc;
use std::time::Duration;

use logs::DecisionKind;
use policy::{
    HeldCall,
    PlaceVerdict,
    ServicePlaces, //
};
use tokio::sync::oneshot;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::places::place_state::{
    has_named_limit,
    place_supply, //
};
use crate::places::place_ticket::{
    PlaceTicket,
    admit_held, //
};
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;

/// Interval at which a held call checks for a place that no answer has announced.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a place for a call to a plain service once it may be sent, or fails if it cannot be answered
/// before its deadline. Returns `None` if tokens decide when it is sent.
pub(crate) async fn wait_for_place(
    context: &Arc<RequestContext>,
    history: &AttemptHistory,
) -> Result<Option<PlaceTicket>, RequestError> {
    let Some((ticket, waker)) = enter(context, history)? else {
        return Ok(None);
    };
    let Some(mut waker) = waker else {
        return Ok(Some(ticket));
    };
    let joined_at = Instant::now();
    loop {
        tokio::select! {
            _ = &mut waker => {
                record_wait(context, joined_at, "sent");
                return Ok(Some(ticket));
            }
            () = sleep(CHECK_INTERVAL) => {}
        }
        let now = Instant::now();
        let mut guard = context.shared.lock();
        let state = &mut *guard;
        admit_held(state, &context.service);
        let places = &mut state.places.service_mut(&context.service).places;
        let is_useless = now + places.response_time() > context.deadline;
        if is_useless && places.is_held(ticket.id) {
            let supply = place_supply(&state.fleet, now, &context.service, state.members.len());
            let delay = places.give_up(now, ticket.id, supply, rand::random());
            log_wait(context, now, places, "call is given up: places are taken");
            drop(guard);
            record_wait(context, joined_at, "given_up");
            return Err(refusal(history, delay));
        }
    }
}

type EnteredCall = (PlaceTicket, Option<oneshot::Receiver<()>>);

/// Decides on a call that arrives: whether it is sent, held or refused.
fn enter(
    context: &Arc<RequestContext>,
    history: &AttemptHistory,
) -> Result<Option<EnteredCall>, RequestError> {
    let now = Instant::now();
    let call = HeldCall {
        rank: context.rank(),
        due: context.started + context.rule.target,
        deadline: context.deadline,
    };
    let mut guard = context.shared.lock();
    let state = &mut *guard;
    if state.token_state.limited_count > 0 && has_named_limit(&state.fleet, &context.service) {
        return Ok(None);
    }
    let supply = place_supply(&state.fleet, now, &context.service, state.members.len());
    if supply.places == 0 {
        return Ok(None);
    }
    let calls = state.places.service_mut(&context.service);
    let ticket = |id| PlaceTicket {
        shared: context.shared.clone(),
        service: context.service.clone(),
        id,
    };
    match calls.places.enter(now, call, supply, rand::random()) {
        PlaceVerdict::Sent(id) => Ok(Some((ticket(id), None))),
        PlaceVerdict::Held(id) => {
            let (sender, receiver) = oneshot::channel();
            calls.wakers.insert(id, sender);
            log_wait(
                context,
                now,
                &calls.places,
                "call is held: places are taken",
            );
            Ok(Some((ticket(id), Some(receiver))))
        }
        PlaceVerdict::Refused(delay) => {
            log_wait(
                context,
                now,
                &calls.places,
                "call is refused: places are taken",
            );
            drop(guard);
            record_wait(context, now, "refused");
            Err(refusal(history, delay))
        }
    }
}

fn refusal(history: &AttemptHistory, delay: Duration) -> RequestError {
    if history.maybe_processed > 0 {
        RequestError::Unsure("places_taken")
    } else {
        RequestError::PlacesTaken(delay)
    }
}

/// Counts a call that was held or refused, and the time for which it was held.
fn record_wait(context: &RequestContext, joined_at: Instant, outcome: &str) {
    let rank = context.rank().to_string();
    let metrics = &context.shared.metrics;
    metrics
        .held_calls
        .with_label_values(&[&rank, outcome])
        .inc();
    let held = joined_at.elapsed().as_millis() as u64;
    metrics
        .held_milliseconds
        .with_label_values(&[&rank])
        .inc_by(held);
}

/// Logs why a call is not sent now.
fn log_wait(context: &RequestContext, now: Instant, places: &ServicePlaces, reason: &str) {
    let queue_age = places.queue_age(now).map(|age| age.as_millis() as u64);
    let time_left = context.deadline.saturating_duration_since(now);
    let record = context
        .record(DecisionKind::Route, reason)
        .input("rank", context.rank())
        .input("in_flight", places.in_flight())
        .input("limit", places.limit())
        .input("held", places.held())
        .input("response_ms", places.response_time().as_millis() as u64)
        .input("queue_seen_ms_ago", queue_age)
        .input("left_ms", time_left.as_millis() as u64);
    context.shared.log.write(record);
}
