//! Handles requests to the completion endpoints.

use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use conf::{
    ClassTarget,
    SystemConfig, //
};
use hyper::Response;
use hyper::header::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{
    ClassName,
    RequestId,
    TokenCount, //
};
use web::ResponseBody;

use crate::caller_failure::CallerFailure;
use crate::completion_api::{
    CompletionRequest,
    PromptKind,
    unknown_model, //
};
use crate::completion_job::{
    CompletionJob,
    prompt_prefix_hash,
    request_fingerprint, //
};
use crate::completion_response::{
    complete_response,
    streamed_response, //
};
use crate::driver::{
    AnswerDriver,
    AnswerEvent, //
};
use crate::error_response::failure_response;
use crate::state::EntryShared;

const CLASS_HEADER: &str = "x-request-class";
const EVENT_CHANNEL_CAPACITY: usize = 256;

/// Serves a completion request.
pub(crate) async fn serve_completion(
    shared: Arc<EntryShared>,
    kind: PromptKind,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<ResponseBody> {
    let job = match prepare_job(&shared, kind, headers, body) {
        Ok(job) => job,
        Err(failure) => {
            shared
                .metrics
                .refusals
                .with_label_values(&[failure.code])
                .inc();
            return failure_response(&failure);
        }
    };
    shared
        .metrics
        .requests
        .with_label_values(&[job.class.as_str()])
        .inc();
    let (sender, events) = mpsc::channel::<AnswerEvent>(EVENT_CHANNEL_CAPACITY);
    let driver = AnswerDriver::new(shared.clone(), job.clone(), sender);
    tokio::spawn(driver.run());
    if job.request.stream {
        let stall_timeout = Duration::from_millis(shared.settings.limits.stall_ms.into());
        return streamed_response(job, events, stall_timeout).await;
    }
    complete_response(&job, events).await
}

/// Authenticates the caller, parses and checks the request.
fn prepare_job(
    shared: &EntryShared,
    kind: PromptKind,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<CompletionJob, CallerFailure> {
    let book = shared.lock().book.clone();
    shared.admit_account(&book, headers)?;
    let (class, target) = resolve_class(&book, headers)?;
    let request = CompletionRequest::parse(kind, body)?;
    if !book.models.contains(&request.model) {
        return Err(unknown_model(&request.model));
    }
    check_kv_capacity(shared, &request)?;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Ok(CompletionJob {
        request_id: RequestId(rand::random()),
        fingerprint: request_fingerprint(&class, &request.prompt),
        prefix_hash: prompt_prefix_hash(&request.prompt),
        class,
        target,
        request,
        arrived_at: Instant::now(),
        created_unix_s: since_epoch.unwrap_or_default().as_secs(),
    })
}

/// Returns the class named in the header, or the default class.
fn resolve_class(
    book: &SystemConfig,
    headers: &HeaderMap,
) -> Result<(ClassName, ClassTarget), CallerFailure> {
    let class_header = headers
        .get(CLASS_HEADER)
        .and_then(|value| value.to_str().ok());
    let name = match class_header {
        Some(text) => text.parse::<ClassName>().ok(),
        None => book.default_class.clone(),
    };
    let class = name.and_then(|name| book.classes.get(&name).map(|target| (name, *target)));
    class.ok_or_else(|| {
        let known: Vec<&str> = book.classes.keys().map(ClassName::as_str).collect();
        let known = known.join(", ");
        let message = format!("no such class; set {CLASS_HEADER} to one of: {known}");
        CallerFailure::invalid("unknown_class", message)
    })
}

/// Refuses a request whose prompt and output exceed the KV cache memory of every engine.
fn check_kv_capacity(
    shared: &EntryShared,
    request: &CompletionRequest,
) -> Result<(), CallerFailure> {
    let state = shared.lock();
    let Some(capacity) = state.router.largest_kv_capacity(&request.model) else {
        return Ok(());
    };
    let limit = TokenCount(capacity.0.saturating_mul(state.piece_tokens));
    let required = TokenCount(request.prompt_tokens.0.saturating_add(request.max_tokens.0));
    if required > limit {
        let message = format!("prompt and output take {required} tokens; engines hold {limit}");
        return Err(CallerFailure::invalid("prompt_too_long", message));
    }
    Ok(())
}
