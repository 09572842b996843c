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
use crate::request::{
    AttemptHistory,
    MAX_REFUSALS,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::send::{
    into_caller_response,
    read_response,
    start_attempt, //
};
use crate::servers::in_flight::InFlightGuard;
use crate::shared::GatewayState;
use crate::suspects::crash_suspects::check_suspect;
use crate::suspects::unframed_end::record_response_end;
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
        let selecting = select_with_token(context, &history, None, || {
            select_and_log(context, &history) //
        });
        let Some(server) = selecting.await? else {
            return Err(history.final_error("no_backend"));
        };
        let SelectedServer {
            instance,
            address,
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
                let is_proven = is_success && response.metadata.is_signed;
                record_response_end(context, response.unframed_end.clone(), is_proven);
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
    let address = state.fleet.get(&instance)?.record.address;
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
        token,
    })
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
        && select_server(context, history, &context.shared.lock()).is_some()
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
