//! Prefill of prompts on prefill engines, which hold the KV cache for decode engines.

use std::sync::Arc;

use policy::{
    BackendLoad,
    BackendSelection,
    PrefillBacklog,
    QueuePosition,
    SelectionRequest,
    VersionRule,
    prefers_inline_prefill,
    select_decode_engine,
    select_prefill_engine, //
};
use tokio::time::Instant;
use units::IncarnationId;

use crate::attempt::AttemptError;
use crate::latency::ServerStage;
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::send::{
    read_response,
    start_attempt, //
};
use crate::servers::in_flight::InFlightGuard;
use crate::servers::kv_cache::{
    KvHandle,
    RemoteKvCache, //
};
use crate::shared::GatewayState;
use crate::streams::generation::{
    SelectedEngine,
    record_selection, //
};
use crate::suspects::crash_suspects::check_suspect;
use crate::suspects::unframed_end::record_response_end;

/// Number of prefill-only attempts before the decode engine prefills the prompt inline.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Prefills the prompt on a prefill engine. Without a result, the decode engine prefills the prompt
/// inline.
pub(crate) async fn prefill_prompt(
    context: &Arc<RequestContext>,
    history: &mut AttemptHistory,
) -> Option<RemoteKvCache> {
    while history.prefill_attempts < MAX_PREFILL_ATTEMPTS
        && !history.has_been_unreachable()
        && context.has_time_for_attempt(history)
    {
        let engine = select_prefill(context, history)?;
        check_suspect(context).await.ok()?;
        if !context.charge_prefill(history) {
            return None;
        }
        let instance = engine.selection.instance.clone();
        // Counted before the result, since the attempt may be given up meanwhile.
        history.prefill_attempts += 1;
        let started = Instant::now();
        match send_prefill(context, engine).await {
            Ok(kv_cache) => {
                history.record_prefill(true);
                return Some(kv_cache);
            }
            Err(AttemptError::DeadlineExceeded | AttemptError::Quarantined(_)) => return None,
            Err(error) => {
                // The limit of prefill attempts covers only those that reached an engine.
                history.prefill_attempts -= u32::from(error == AttemptError::Unreachable);
                if error == AttemptError::Unreachable {
                    history.record_unreachable(started.elapsed());
                } else {
                    history.record_prefill(false);
                }
                history.excluded.insert(instance.clone());
                context.log_retry(&instance, error.as_str());
            }
        }
    }
    None
}

/// Selects a prefill engine for the prompt, unless a decode engine should prefill it inline.
fn select_prefill(context: &RequestContext, history: &AttemptHistory) -> Option<SelectedEngine> {
    let now = Instant::now();
    let mut state = context.shared.lock();
    let capacity = state.engine_capacity(&context.service);
    let layout = &context.metadata.prompt_layout;
    let request = context.selection_request(history);
    let position = context.urgency().position();
    // Prefill engines write no events.
    let prefill_request = SelectionRequest {
        version: &VersionRule::Any,
        preferred_version: history.version.required(),
        ..request
    };
    let selection = select_prefill_engine(
        &state.fleet,
        now,
        prefill_request,
        layout,
        position,
        capacity,
    );
    if history.is_empty() {
        record_requested_tokens(context, &mut state, selection.as_ref());
    }
    let decode_selection = select_decode_engine(&state.fleet, now, request, layout, capacity, None);
    if decode_selection
        .as_ref()
        .is_some_and(prefers_inline_prefill)
    {
        return None;
    }
    let selection = selection?;
    let position = if history.has_begun {
        context.urgency().resumed_position()
    } else {
        let view = state.fleet.get(&selection.instance);
        let queued = view.map_or(BackendLoad::NONE, |view| view.total_load());
        context.queue_position(&selection, capacity, queued)
    };
    let engine = record_selection(
        context,
        state,
        selection,
        &VersionRule::Any,
        position,
        "prefill engine expected to finish the prompt first",
    )?;
    if position == QueuePosition::LAST {
        context.log_late_prompt(&engine.selection);
    }
    Some(engine)
}

/// Records the prompt and output tokens that a request asks for. The prompt counts as demand on
/// the prefill stage even if a decode engine prefills it inline.
fn record_requested_tokens(
    context: &RequestContext,
    state: &mut GatewayState,
    selection: Option<&BackendSelection>,
) {
    let now = Instant::now();
    let tokens = selection.map_or(context.metadata.prompt_layout.tokens(), |selection| {
        selection.uncached_tokens
    });
    let speeds = state.speeds.entry(context.service.clone()).or_default();
    speeds.prompt_token_rate.add(now, tokens.into());
    speeds
        .output_token_rate
        .add(now, context.output_tokens().into());
}

/// Prefills the prompt on an engine, which holds the KV cache for a decode engine.
async fn send_prefill(
    context: &Arc<RequestContext>,
    mut engine: SelectedEngine,
) -> Result<RemoteKvCache, AttemptError> {
    let token = engine.token.take();
    let instance = &engine.selection.instance;
    let load = BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(
            engine.position,
            engine.selection.uncached_tokens.into(),
        ),
        kv_cache_tokens: 0,
    };
    let tokens_ahead = context
        .shared
        .lock()
        .fleet
        .get(instance)
        .map_or(0, |view| view.total_load().prefill_backlog.total_tokens());
    let mut in_flight = InFlightGuard::new(context, instance, load, token);
    let mut metadata = context.attempt_metadata(instance, engine.position);
    metadata.prefill_only = true;
    let started = Instant::now();
    // The handle in the answer belongs to the process, which may be a later one than the entry's.
    let required_start = engine.started_unix_ms;
    let response = start_attempt(context, engine.address, &metadata, required_start).await;
    if matches!(response, Err(AttemptError::Unreachable)) {
        in_flight.return_token();
    }
    let response = response?;
    let response = read_response(context, instance, response).await?;
    drop(in_flight);
    // A prefill does not run the request, so that its success does not clear it.
    record_response_end(context, response.unframed_end, false);
    let elapsed = started.elapsed();
    let latencies = &context.shared.metrics.latencies;
    latencies.observe_stage(ServerStage::Prefill, instance, elapsed);
    let prefill = match platform::parse_prefill_response(response.http.body()) {
        Ok(prefill) if response.http.status().is_success() => prefill,
        _ => return Err(AttemptError::Unsure("prefill_failed")),
    };
    let mut state = context.shared.lock();
    let speeds = state.speeds.entry(context.service.clone()).or_default();
    // The time of a prompt that waited behind others is not a sample of the prefill speed.
    if tokens_ahead == 0 {
        speeds
            .prefill
            .add_sample(engine.selection.uncached_tokens, elapsed);
    }
    drop(state);
    Ok(RemoteKvCache {
        shared: context.shared.clone(),
        handle: KvHandle {
            name: prefill.handle,
            instance: engine.selection.instance,
            address: engine.address,
            incarnation: engine.started_unix_ms.map(IncarnationId),
            given_at: Instant::now(),
        },
        centre: engine.centre,
        version: engine.selection.version,
        fetch_requested: false,
        fetch_refused: false,
    })
}
