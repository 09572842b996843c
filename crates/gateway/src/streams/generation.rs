//! Streaming requests to engines: selects the prefill and decode engines and opens the stream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    MutexGuard, //
};
use std::time::Duration;

use hyper::Response;
use logs::DecisionKind;
use policy::{
    BackendLoad,
    BackendSelection,
    CallKind,
    EngineStage,
    PrefillBacklog,
    QueuePosition,
    SelectionRequest,
    ServerFilter,
    StreamStart,
    VersionRule,
    select_decode_engine, //
};
use tokio::time::Instant;
use units::{
    DataCentre,
    SoftwareVersion, //
};
use web::ResponseBody;

use crate::attempt::{
    AttemptError,
    OpenResponse, //
};
use crate::drain::RunningAnswer;
use crate::latency::ServerStage;
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::send::start_attempt;
use crate::servers::in_flight::InFlightGuard;
use crate::servers::kv_cache::RemoteKvCache;
use crate::shared::GatewayState;
use crate::streams::forward::start_forwarding;
use crate::streams::prefill::prefill_prompt;
use crate::suspects::crash_suspects::check_suspect;
use crate::tokens::token_ticket::TokenTicket;
use crate::tokens::token_wait::{
    check_tokens,
    select_with_token, //
};
use crate::versions::origin_lookup::find_version;

/// Shortest delay before a retry of a request whose stream may have begun at several versions.
const VERSION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A selected engine with its address.
pub(crate) struct SelectedEngine {
    pub(crate) selection: BackendSelection,
    pub(crate) address: SocketAddr,
    /// Start time of its process in its entry, in milliseconds since the Unix epoch.
    pub(crate) started_unix_ms: Option<u64>,
    /// Data centre of the engine.
    pub(crate) centre: DataCentre,
    /// Queue position of the prompt among those that wait for prefill on the engine.
    pub(crate) position: QueuePosition,
    /// Token for the request if the engine has a limit.
    pub(crate) token: Option<TokenTicket>,
}

/// A stream whose response head has arrived, with the load that it puts on its engine.
pub(crate) struct OpenStream {
    pub(crate) response: OpenResponse,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) engine: SelectedEngine,
}

/// Serves a request whose response is a stream.
pub(crate) async fn serve_generation(
    context: Arc<RequestContext>,
    answer: RunningAnswer,
) -> Result<Response<ResponseBody>, RequestError> {
    let version = find_version(&context).await.ok_or_else(|| {
        let spread = VERSION_RETRY_DELAY.mul_f64(rand::random());
        RequestError::VersionUnknown(VERSION_RETRY_DELAY + spread)
    })?;
    let mut history = AttemptHistory {
        version,
        has_begun: context.metadata.stream_start != StreamStart::New,
        ..AttemptHistory::default()
    };
    context.record_wanted(Some(EngineStage::Prefill));
    context.record_wanted(Some(EngineStage::Decode));
    let stream = open_stream(&context, &mut history, None).await?;
    let elapsed = context.started.elapsed();
    context
        .shared
        .metrics
        .latencies
        .observe_answer(&context.rule, elapsed);
    start_forwarding(context, stream, history, answer).await
}

/// Prefills the prompt where it is expected to finish first, and opens the stream on a decode
/// engine. Retries both within the limits of the request and the retry budget.
pub(crate) async fn open_stream(
    context: &Arc<RequestContext>,
    history: &mut AttemptHistory,
    resume_after: Option<u64>,
) -> Result<OpenStream, RequestError> {
    let mut kv_cache = None;
    let mut has_turn = false;
    loop {
        if kv_cache.is_none() {
            // A request that has had its turn in the queue is served before those that still wait.
            if !has_turn {
                check_tokens(context, history, EngineStage::Decode).await?;
            }
            kv_cache = prefill_prompt(context, history).await;
        }
        if !context.has_time_for_attempt(history) {
            return Err(RequestError::DeadlineExceeded);
        }
        let selecting = select_with_token(context, history, Some(EngineStage::Decode), || {
            select_decode(context, history, kv_cache.as_ref())
        });
        let Some(engine) = selecting.await? else {
            return Err(no_engine(context, history));
        };
        let instance = engine.selection.instance.clone();
        has_turn = drop_invalid(context, &mut kv_cache).await;
        if has_turn {
            continue;
        }
        if let Err(AttemptError::Quarantined(remaining)) = check_suspect(context).await {
            return Err(history.quarantine_error(remaining));
        }
        if !context.charge_decode(history) {
            return Err(history.final_error("repeats_spent"));
        }
        history.sending_to = Some(instance.clone());
        let started = Instant::now();
        let result = send_decode(
            context,
            engine,
            &mut kv_cache,
            resume_after,
            &history.version,
        )
        .await;
        history.sending_to = None;
        let error = match result {
            Ok(stream) => {
                history.counted += 1;
                history.maybe_processed += 1;
                history.excluded.insert(instance);
                return Ok(stream);
            }
            Err(error) => error,
        };
        history.excluded.insert(instance.clone());
        record_failure(context, history, &error, started.elapsed())?;
        context.log_retry(&instance, error.as_str());
    }
}

/// Drops a KV cache whose process has ended, so that the prompt is prefilled again. Returns whether it did.
async fn drop_invalid(context: &RequestContext, kv_cache: &mut Option<RemoteKvCache>) -> bool {
    let Some(held) = kv_cache else { return false };
    if held.handle.is_valid(&context.shared).await {
        return false;
    }
    held.fetch_requested = true;
    let reason = "the process that prefilled the prompt has ended or does not answer";
    let record = context.record(DecisionKind::Retry, reason);
    let record = record.chosen(&held.handle.instance);
    context.shared.log.write(record);
    *kv_cache = None;
    true
}

/// Logs that no engine can take a stream, and returns the error.
fn no_engine(context: &RequestContext, history: &AttemptHistory) -> RequestError {
    let reason = match history.version {
        VersionRule::Any => "no_engine",
        VersionRule::Only(_) | VersionRule::Unmatched => "no_engine_of_version",
    };
    let version = history.version.required().map(SoftwareVersion::as_str);
    let record = context
        .record(DecisionKind::Retry, "no engine can take the stream")
        .input("version", version)
        .input("tried", history.excluded.len());
    context.shared.log.write(record);
    history.final_error(reason)
}

/// Returns whether a decode engine is left for another attempt.
pub(crate) fn has_other_engine(context: &RequestContext, history: &AttemptHistory) -> bool {
    let state = context.shared.lock();
    let capacity = state.engine_capacity(&context.service);
    let layout = &context.metadata.prompt_layout;
    let request = context.selection_request(history);
    select_decode_engine(
        &state.fleet,
        Instant::now(),
        request,
        layout,
        capacity,
        None,
    )
    .is_some()
}

/// Records a failed attempt. Returns an error if the request may not be sent again.
fn record_failure(
    context: &RequestContext,
    history: &mut AttemptHistory,
    error: &AttemptError,
    elapsed: Duration,
) -> Result<(), RequestError> {
    history.counted += u32::from(*error != AttemptError::Unreachable);
    match error {
        AttemptError::Unreachable => history.record_unreachable(elapsed),
        AttemptError::NotProcessed(_) => history.refused += 1,
        AttemptError::Unsure(_) => history.maybe_processed += 1,
        AttemptError::DeadlineExceeded => return Err(RequestError::DeadlineExceeded),
        AttemptError::Quarantined(remaining) => return Err(history.quarantine_error(*remaining)),
    }
    let reason = error.as_str();
    if history.has_failed_too_often() {
        return Err(history.final_error(reason));
    }
    if history.maybe_processed > 0 && !context.may_retry(history) {
        return Err(RequestError::Unsure(reason));
    }
    Ok(())
}

fn select_decode(
    context: &RequestContext,
    history: &AttemptHistory,
    kv_cache: Option<&RemoteKvCache>,
) -> Option<SelectedEngine> {
    let now = Instant::now();
    let state = context.shared.lock();
    let capacity = state.engine_capacity(&context.service);
    let layout = &context.metadata.prompt_layout;
    let source = kv_cache.map(|kv_cache| &kv_cache.centre);
    let request = SelectionRequest {
        preferred_version: kv_cache.and_then(|kv_cache| kv_cache.version.as_ref()),
        ..context.selection_request(history)
    };
    let selection = select_decode_engine(&state.fleet, now, request, layout, capacity, source)?;
    let position = context.urgency().position();
    record_selection(
        context,
        state,
        selection,
        &history.version,
        position,
        "decode engine on which the stream is expected to run fastest",
    )
}

/// Records that the selected engine will hold the prompt in its prefix cache, and logs the
/// selection. Returns `None` if the engine is no longer known.
pub(crate) fn record_selection(
    context: &RequestContext,
    mut state: MutexGuard<'_, GatewayState>,
    mut selection: BackendSelection,
    version: &VersionRule,
    position: QueuePosition,
    reason: &str,
) -> Option<SelectedEngine> {
    let capacity_tokens = state.engine_capacity(&context.service).kv_cache_tokens;
    let view = state.fleet.get_mut(&selection.instance)?;
    view.record_prefill(&context.metadata.prompt_layout, capacity_tokens);
    let (address, centre, stage) = (
        view.record.address,
        view.record.centre.clone(),
        view.record.stage,
    );
    let started_unix_ms = view.record.started_unix_ms;
    let filter = ServerFilter {
        service: &context.service,
        stage,
        version,
        excluded: &BTreeSet::new(),
    };
    selection.without_token = state.count_without_token(filter);
    let token = TokenTicket::take(&context.shared, &mut state, &selection.instance);
    drop(state);
    context.log_selection(&selection, reason);
    Some(SelectedEngine {
        selection,
        address,
        started_unix_ms,
        centre,
        position,
        token,
    })
}

/// Opens the stream on a decode engine, which fetches the KV cache if there is one.
async fn send_decode(
    context: &Arc<RequestContext>,
    mut engine: SelectedEngine,
    kv_cache: &mut Option<RemoteKvCache>,
    resume_after: Option<u64>,
    version: &VersionRule,
) -> Result<OpenStream, AttemptError> {
    // The entry may be that of an earlier process, with another version. Callers do not take up streams
    // of other kinds.
    let is_resumable = context.rule.kind == CallKind::ResumableStream;
    let required_start = engine
        .started_unix_ms
        .filter(|_| is_resumable || *version != VersionRule::Any);
    let token = engine.token.take();
    let instance = &engine.selection.instance;
    let output_tokens = context.output_tokens();
    let load = BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(
            engine.position,
            engine.selection.uncached_tokens.into(),
        ),
        kv_cache_tokens: u64::from(context.metadata.prompt_layout.tokens())
            + u64::from(output_tokens),
    };
    let mut in_flight = InFlightGuard::new(context, instance, load, token);
    let mut metadata = context.attempt_metadata(instance, engine.position);
    metadata.resume_after_event = resume_after;
    if let Some(kv_cache) = kv_cache.as_mut() {
        kv_cache.fetch_requested = true;
        let handle = &kv_cache.handle;
        metadata.kv_source = Some((handle.address, handle.name.clone()));
    }
    let started = Instant::now();
    let response = start_attempt(context, engine.address, &metadata, required_start).await;
    if response.is_ok() {
        let latencies = &context.shared.metrics.latencies;
        latencies.observe_stage(ServerStage::Decode, instance, started.elapsed());
    }
    if matches!(response, Err(AttemptError::Unreachable)) {
        in_flight.return_token();
    }
    match (&response, kv_cache.as_mut()) {
        (Err(AttemptError::Unreachable), Some(kv_cache)) => kv_cache.fetch_requested = false,
        // An engine that refuses because it is full or changes its stage has not fetched the KV
        // cache, so the next engine may fetch it. If the KV cache is gone nevertheless, the next
        // engine refuses too.
        (Err(AttemptError::NotProcessed(_)), Some(kv_cache)) if !kv_cache.fetch_refused => {
            kv_cache.fetch_requested = false;
            kv_cache.fetch_refused = true;
        }
        _ => *kv_cache = None,
    }
    Ok(OpenStream {
        response: response?,
        in_flight,
        engine,
    })
}
