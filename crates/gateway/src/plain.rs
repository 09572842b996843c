//! Requests to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Response;
use logs::DecisionKind;
use policy::{
    AnswerSample,
    BackendLoad,
    BackendSelection,
    select_plain_server, //
};
use tokio::time::Instant;
use units::InstanceId;
use web::ResponseBody;

use crate::attempt::{
    AttemptError,
    CompleteResponse, //
};
use crate::drain::record_answer;
use crate::latency::ServerStage;
use crate::places::place_wait::wait_for_place;
use crate::request::{
    AttemptHistory,
    MAX_REFUSALS,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::send::{
    NO_ROOM,
    into_caller_response,
    read_response,
    start_attempt, //
};
use crate::servers::in_flight::InFlightGuard;
use crate::shared::GatewayState;
use crate::suspects::crash_suspects::check_suspect;
use crate::suspects::unframed_end::{
    ResponseServer,
    record_response_end, //
};
use crate::tokens::token_ticket::TokenTicket;
use crate::tokens::token_wait::select_with_token;
use crate::usage::usage_state::record_plain_begun;

/// Serves a request whose response is read completely before it is forwarded.
pub(crate) async fn serve_plain(
    context: &Arc<RequestContext>,
) -> Result<Response<ResponseBody>, RequestError> {
    let mut history = AttemptHistory::default();
    context.record_wanted(None);
    loop {
        if !context.has_time_for_attempt(&history) {
            return Err(RequestError::DeadlineExceeded);
        }
        let is_first = history.excluded.is_empty();
        let place = if is_first || has_candidate(context, &history) {
            wait_for_place(context, &history).await?
        } else {
            None
        };
        let selecting = select_with_token(context, &history, None, || {
            select_and_log(context, &history) //
        });
        let Some(server) = selecting.await? else {
            return Err(history.final_error("no_backend"));
        };
        let SelectedServer {
            instance,
            address,
            had_free_places,
            token,
        } = server;
        let load = BackendLoad {
            requests: 1,
            ..BackendLoad::default()
        };
        if let Err(AttemptError::Quarantined(remaining)) = check_suspect(context).await {
            return Err(history.quarantine_error(remaining));
        }
        let mut in_flight = InFlightGuard::new(context, &instance, load, token);
        let started = Instant::now();
        let metadata = context.attempt_metadata(&instance, context.urgency().position());
        let result = match start_attempt(context, address, &metadata, None).await {
            Ok(response) => read_response(context, &instance, response).await,
            Err(error) => Err(error),
        };
        if matches!(result, Err(AttemptError::Unreachable)) {
            in_flight.return_token();
        }
        drop(in_flight);
        if matches!(
            result,
            Ok(_) | Err(AttemptError::Unsure(_) | AttemptError::DeadlineExceeded)
        ) {
            record_plain_begun(context, started.elapsed());
        }
        if let Some(place) = &place {
            match &result {
                Ok(response) if !is_failure(response) => {
                    let target = context.rule.target;
                    place.record_answer(&instance, started.elapsed(), target, had_free_places);
                }
                Err(AttemptError::NotProcessed(NO_ROOM)) => place.record_rejection(),
                _ => {}
            }
        }
        drop(place);
        history.excluded.insert(instance.clone());
        match result {
            Ok(response) => {
                history.maybe_processed += 1;
                if is_failure(&response) && claim_retry(context, &history) {
                    context.log_retry(&instance, "error_status");
                    continue;
                }
                let elapsed = started.elapsed();
                context
                    .shared
                    .lock()
                    .fleet
                    .record_response_time(&instance, elapsed);
                let latencies = &context.shared.metrics.latencies;
                latencies.observe_stage(ServerStage::Plain, &instance, elapsed);
                let total = context.started.elapsed();
                latencies.observe_answer(&context.rule, total);
                let run = elapsed;
                record_answer(&context.shared, &context.rule, AnswerSample { total, run });
                let is_success = response.http.status().is_success();
                let is_framed = response.metadata.is_framed;
                let server = ResponseServer {
                    instance: instance.clone(),
                    address,
                };
                record_response_end(
                    context,
                    server,
                    is_framed,
                    is_success && response.metadata.is_signed,
                );
                log_response(context, &instance, &response);
                if is_success && !response.metadata.is_signed {
                    return Err(RequestError::Unsure("answer_unsigned"));
                }
                return Ok(into_caller_response(response));
            }
            Err(AttemptError::Unreachable) => {
                history.record_unreachable(started.elapsed());
                if history.has_been_unreachable() {
                    return Err(history.final_error("unreached"));
                }
                context.log_retry(&instance, "unreached");
            }
            Err(AttemptError::NotProcessed(reason)) => {
                history.refused += 1;
                if reason == NO_ROOM {
                    let rank = context.rank().to_string();
                    let rejected_calls = &context.shared.metrics.rejected_calls;
                    rejected_calls.with_label_values(&[&rank]).inc();
                }
                let may_retry = history.refused < MAX_REFUSALS && history.maybe_processed == 0;
                if !(may_retry && context.shared.try_spend_retry(&context.service)) {
                    return Err(history.final_error(reason));
                }
                context.log_retry(&instance, reason);
            }
            Err(AttemptError::Unsure(reason)) => {
                history.maybe_processed += 1;
                if !claim_retry(context, &history) {
                    return Err(RequestError::Unsure(reason));
                }
                context.log_retry(&instance, reason);
            }
            Err(AttemptError::DeadlineExceeded) => return Err(RequestError::DeadlineExceeded),
            Err(AttemptError::Quarantined(remaining)) => {
                return Err(history.quarantine_error(remaining));
            }
        }
    }
}

/// A selected backend server, with the token for the request if it has a limit.
struct SelectedServer {
    instance: InstanceId,
    address: SocketAddr,
    /// Whether less than half of its places were known to be taken.
    had_free_places: bool,
    token: Option<TokenTicket>,
}

/// Selects the next backend server among those that have not been tried.
fn select_server(
    context: &RequestContext,
    history: &AttemptHistory,
    state: &GatewayState,
) -> Option<BackendSelection> {
    let request = context.selection_request(history);
    select_plain_server(&state.fleet, Instant::now(), request)
}

/// Selects the next backend server, takes a token for it and logs the selection.
fn select_and_log(context: &RequestContext, history: &AttemptHistory) -> Option<SelectedServer> {
    let mut state = context.shared.lock();
    let mut selection = select_server(context, history, &state)?;
    let instance = selection.instance.clone();
    let view = state.fleet.get(&instance)?;
    let address = view.record.address;
    let had_free_places = view.total_load().requests * 2 < view.record.slots;
    let group = context.server_group(history, None);
    selection.without_token = state.count_without_token(group.filter(&history.excluded));
    let token = TokenTicket::take(&context.shared, &mut state, &instance);
    drop(state);
    context.log_selection(
        &selection,
        "backend server with the least expected response time",
    );
    Some(SelectedServer {
        instance,
        address,
        had_free_places,
        token,
    })
}

/// Returns whether a backend server that has not been tried can be selected now.
fn has_candidate(context: &RequestContext, history: &AttemptHistory) -> bool {
    select_server(context, history, &context.shared.lock()).is_some()
}

/// Returns whether a response is a server error or an unsigned success.
fn is_failure(response: &CompleteResponse) -> bool {
    let status = response.http.status();
    status.is_server_error() || (status.is_success() && !response.metadata.is_signed)
}

/// Returns whether a request that may have been processed may be retried, and charges the retry
/// to the retry budget. If no other backend server can be selected, the outcome of the last
/// attempt goes to the caller.
fn claim_retry(context: &RequestContext, history: &AttemptHistory) -> bool {
    context.may_retry(history)
        && has_candidate(context, history)
        && context.shared.try_spend_retry(&context.service)
}

fn log_response(context: &RequestContext, instance: &InstanceId, response: &CompleteResponse) {
    let record = context
        .record(DecisionKind::Finish, "answered")
        .chosen(instance)
        .input("status", response.http.status().as_u16())
        .input("taken_ms", context.started.elapsed().as_millis() as u64);
    let failed = is_failure(response);
    context
        .shared
        .log
        .write(if failed { record.failure() } else { record });
}
