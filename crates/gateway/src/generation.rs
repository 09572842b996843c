//! Requests to model engines: which stage reads the prompt, and which engine generates.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    MutexGuard, //
};

use hyper::Response;
use policy::{
    BackendLoad,
    BackendSelection,
    PrefillBacklog,
    QueuePosition,
    prefers_inline_prefill, //
    select_decode_engine,
    select_prefill_engine,
};
use tokio::time::Instant;
use units::DataCentre;
use web::ResponseBody;

use crate::call::{
    CallContext,
    REFUSAL_LIMIT,
    SendCount,
    UNREACHED_LIMIT, //
};
use crate::handle::HandleGuard;
use crate::latency::ServerStage;
use crate::open_work::OpenGuard;
use crate::outcome::{
    OpenAnswer,
    SendTrouble, //
};
use crate::pump::start_pump;
use crate::reply::OwnAnswer;
use crate::send::{
    open_send,
    read_whole, //
};
use crate::shared::GatewayState;

/// Reads of a prompt apart before a decode engine reads it itself.
const READ_LIMIT: u32 = 2;

/// A chosen engine with its address.
pub(crate) struct ChosenEngine {
    pub(crate) selection: BackendSelection,
    pub(crate) address: SocketAddr,
    pub(crate) centre: DataCentre,
    /// Place of the prompt among those that it has to read.
    pub(crate) position: QueuePosition,
}

/// A stream that has begun, with what it holds at its engine.
pub(crate) struct OpenRun {
    pub(crate) answer: OpenAnswer,
    pub(crate) open: OpenGuard,
    pub(crate) engine: ChosenEngine,
}

/// Serves a request whose answer is a stream.
pub(crate) async fn serve_generation(
    call: Arc<CallContext>,
) -> Result<Response<ResponseBody>, OwnAnswer> {
    let mut sent = SendCount::default();
    let run = open_run(&call, &mut sent, None).await?;
    let taken = call.started.elapsed();
    call.shared
        .metrics
        .latencies
        .observe_answer(&call.rule, taken);
    Ok(start_pump(call, run, sent))
}

/// Has the prompt read where that is soonest and opens the stream, with further tries as far as
/// they are allowed.
pub(crate) async fn open_run(
    call: &Arc<CallContext>,
    sent: &mut SendCount,
    resume_after: Option<u64>,
) -> Result<OpenRun, OwnAnswer> {
    let mut handle = None;
    loop {
        if handle.is_none() {
            handle = read_apart(call, sent).await;
        }
        if call.time_left().is_zero() {
            return Err(OwnAnswer::OutOfTime);
        }
        let Some(engine) = choose_decode(call, sent, handle.as_ref()) else {
            return Err(sent.give_up("no_engine"));
        };
        let instance = engine.selection.instance.clone();
        if !sent.is_first() && !call.shared.try_spend_retry(&call.service) {
            return Err(sent.give_up("repeats_spent"));
        }
        let trouble = match send_decode(call, engine, &mut handle, resume_after).await {
            Ok(run) => {
                sent.runs += 1;
                sent.avoid.insert(instance);
                return Ok(run);
            }
            Err(trouble) => trouble,
        };
        sent.avoid.insert(instance.clone());
        note_trouble(call, sent, &trouble)?;
        call.log_retry(&instance, trouble.as_str());
    }
}

/// Counts a send that failed; an error where the request may not be sent again.
fn note_trouble(
    call: &CallContext,
    sent: &mut SendCount,
    trouble: &SendTrouble,
) -> Result<(), OwnAnswer> {
    match trouble {
        SendTrouble::Unreached => sent.unreached += 1,
        SendTrouble::NotRun(_) => sent.refused += 1,
        SendTrouble::Unknown(_) => sent.runs += 1,
        SendTrouble::OutOfTime => return Err(OwnAnswer::OutOfTime),
    }
    let reason = trouble.as_str();
    if sent.refused >= REFUSAL_LIMIT || sent.unreached >= UNREACHED_LIMIT {
        return Err(sent.give_up(reason));
    }
    if sent.runs > 0 && !call.may_run_again(sent) {
        return Err(OwnAnswer::Unknown(reason));
    }
    Ok(())
}

/// Has a prefill engine read the prompt, where that pays.
async fn read_apart(call: &Arc<CallContext>, sent: &mut SendCount) -> Option<HandleGuard> {
    while sent.reads < READ_LIMIT && sent.unreached < UNREACHED_LIMIT {
        let engine = choose_prefill(call, sent)?;
        if sent.reads > 0 && !call.shared.try_spend_retry(&call.service) {
            return None;
        }
        let instance = engine.selection.instance.clone();
        match send_prefill(call, engine).await {
            Ok(handle) => {
                sent.reads += 1;
                return Some(handle);
            }
            Err(SendTrouble::OutOfTime) => return None,
            Err(trouble) => {
                // What has not arrived is no read.
                sent.reads += u32::from(trouble != SendTrouble::Unreached);
                sent.unreached += u32::from(trouble == SendTrouble::Unreached);
                sent.avoid.insert(instance.clone());
                call.log_retry(&instance, trouble.as_str());
            }
        }
    }
    None
}

/// The prefill engine for a prompt, unless a decode engine had better read it itself.
fn choose_prefill(call: &CallContext, sent: &SendCount) -> Option<ChosenEngine> {
    let now = Instant::now();
    let mut state = call.shared.lock();
    let capacity = state.engine_capacity(&call.service);
    let chain = &call.metadata.prompt_layout;
    let request = call.selection_request(sent);
    let position = call.urgency().position();
    let apart = select_prefill_engine(&state.fleet, now, request, chain, position, capacity);
    if sent.is_untried() {
        note_offered(call, &mut state, apart.as_ref());
    }
    let inline = select_decode_engine(&state.fleet, now, request, chain, capacity, None);
    if inline.as_ref().is_some_and(prefers_inline_prefill) {
        return None;
    }
    let apart = apart?;
    let position = call.queue_position(&apart, capacity);
    let engine = take_engine(call, state, apart, position, "prompt is read soonest there")?;
    if position == QueuePosition::LAST {
        call.log_late(&engine.selection);
    }
    Some(engine)
}

/// Counts the prompt as work asked of the prefill stage, whoever reads it.
fn note_offered(call: &CallContext, state: &mut GatewayState, apart: Option<&BackendSelection>) {
    let now = Instant::now();
    let tokens = apart.map_or(call.metadata.prompt_layout.tokens(), |engine| {
        engine.uncached_tokens
    });
    let speeds = state.speeds.entry(call.service.clone()).or_default();
    speeds.prompt_token_rate.add(now, tokens.into());
    speeds
        .output_token_rate
        .add(now, call.output_tokens().into());
}

fn choose_decode(
    call: &CallContext,
    sent: &SendCount,
    handle: Option<&HandleGuard>,
) -> Option<ChosenEngine> {
    let now = Instant::now();
    let state = call.shared.lock();
    let capacity = state.engine_capacity(&call.service);
    let chain = &call.metadata.prompt_layout;
    let source = handle.map(|handle| &handle.centre);
    let request = call.selection_request(sent);
    let selection = select_decode_engine(&state.fleet, now, request, chain, capacity, source)?;
    let position = call.urgency().position();
    take_engine(
        call,
        state,
        selection,
        position,
        "stream is slowed least there",
    )
}

/// Notes that a chosen engine will keep the prompt, and logs the choice.
fn take_engine(
    call: &CallContext,
    mut state: MutexGuard<'_, GatewayState>,
    selection: BackendSelection,
    position: QueuePosition,
    reason: &str,
) -> Option<ChosenEngine> {
    let memory_tokens = state.engine_capacity(&call.service).kv_cache_tokens;
    let view = state.fleet.get_mut(&selection.instance)?;
    view.record_prefill(&call.metadata.prompt_layout, memory_tokens);
    let (address, centre) = (view.record.address, view.record.centre.clone());
    drop(state);
    call.log_choice(&selection, reason);
    Some(ChosenEngine {
        selection,
        address,
        centre,
        position,
    })
}

async fn send_prefill(
    call: &Arc<CallContext>,
    engine: ChosenEngine,
) -> Result<HandleGuard, SendTrouble> {
    let instance = &engine.selection.instance;
    let work = BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(
            engine.position,
            engine.selection.uncached_tokens.into(),
        ),
        kv_cache_tokens: 0,
    };
    let ahead = call
        .shared
        .lock()
        .fleet
        .get(instance)
        .map_or(0, |view| view.total_load().prefill_backlog.total_tokens());
    let open = OpenGuard::new(&call.shared, instance, work);
    let mut metadata = call.attempt_metadata(instance, engine.position);
    metadata.prefill_only = true;
    let began = Instant::now();
    let answer = open_send(call, engine.address, &metadata).await?;
    let answer = read_whole(call, answer).await?;
    drop(open);
    let taken = began.elapsed();
    let latencies = &call.shared.metrics.latencies;
    latencies.observe_stage(ServerStage::Prefill, instance, taken);
    let reply = match platform::parse_prefill_response(answer.response.body()) {
        Ok(reply) if answer.response.status().is_success() => reply,
        _ => return Err(SendTrouble::Unknown("prefill_failed")),
    };
    let mut state = call.shared.lock();
    let speeds = state.speeds.entry(call.service.clone()).or_default();
    if ahead == 0 {
        speeds
            .prefill
            .add_sample(engine.selection.uncached_tokens, taken);
    }
    drop(state);
    Ok(HandleGuard {
        shared: call.shared.clone(),
        address: engine.address,
        centre: engine.centre,
        handle: reply.handle,
        taken: false,
        refused: false,
    })
}

async fn send_decode(
    call: &Arc<CallContext>,
    engine: ChosenEngine,
    handle: &mut Option<HandleGuard>,
    resume_after: Option<u64>,
) -> Result<OpenRun, SendTrouble> {
    let instance = &engine.selection.instance;
    let output = call.output_tokens();
    let work = BackendLoad {
        requests: 1,
        prefill_backlog: PrefillBacklog::new(
            engine.position,
            engine.selection.uncached_tokens.into(),
        ),
        kv_cache_tokens: u64::from(call.metadata.prompt_layout.tokens()) + u64::from(output),
    };
    let open = OpenGuard::new(&call.shared, instance, work);
    let mut metadata = call.attempt_metadata(instance, engine.position);
    metadata.resume_after_event = resume_after;
    if let Some(handle) = handle.as_mut() {
        handle.taken = true;
        metadata.kv_source = Some((handle.address, handle.handle.clone()));
    }
    let began = Instant::now();
    let answer = open_send(call, engine.address, &metadata).await;
    if answer.is_ok() {
        let latencies = &call.shared.metrics.latencies;
        latencies.observe_stage(ServerStage::Decode, instance, began.elapsed());
    }
    match (&answer, handle.as_mut()) {
        (Err(SendTrouble::Unreached), Some(handle)) => handle.taken = false,
        // An engine that is full or changes its stage has left the KV cache where it is; if it has
        // not, the next one refuses too.
        (Err(SendTrouble::NotRun(_)), Some(handle)) if !handle.refused => {
            handle.taken = false;
            handle.refused = true;
        }
        _ => *handle = None,
    }
    Ok(OpenRun {
        answer: answer?,
        open,
        engine,
    })
}
