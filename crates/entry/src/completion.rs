//! Serves the two completion calls.

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

use crate::api::{
    ApiKind,
    ApiRequest,
    unknown_model, //
};
use crate::drive::{
    AnswerDriver,
    AnswerEvent, //
};
use crate::failure::CallerFailure;
use crate::reply::failure_reply;
use crate::state::EntryShared;
use crate::stream::{
    reply_streamed,
    reply_whole, //
};
use crate::work::{
    WorkItem,
    fingerprint_of,
    prefix_of, //
};

const CLASS_HEADER: &str = "x-request-class";
const EVENT_DEPTH: usize = 256;

/// Serves one completion.
pub(crate) async fn serve_completion(
    shared: Arc<EntryShared>,
    kind: ApiKind,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<ResponseBody> {
    let work = match make_work(&shared, kind, headers, body) {
        Ok(work) => work,
        Err(failure) => {
            shared
                .metrics
                .refusals
                .with_label_values(&[failure.code])
                .inc();
            return failure_reply(&failure);
        }
    };
    shared
        .metrics
        .requests
        .with_label_values(&[work.class.as_str()])
        .inc();
    let (out, events) = mpsc::channel::<AnswerEvent>(EVENT_DEPTH);
    let driver = AnswerDriver::new(shared.clone(), work.clone(), out);
    tokio::spawn(driver.run());
    if work.api.stream {
        let stall = Duration::from_millis(shared.settings.limits.stall_ms.into());
        return reply_streamed(work, events, stall).await;
    }
    reply_whole(&work, events).await
}

fn make_work(
    shared: &EntryShared,
    kind: ApiKind,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<WorkItem, CallerFailure> {
    let book = shared.lock().book.clone();
    shared.admit_account(&book, headers)?;
    let (class, target) = choose_class(&book, headers)?;
    let api = ApiRequest::parse(kind, body)?;
    if !book.models.contains(&api.model) {
        return Err(unknown_model(&api.model));
    }
    check_memory(shared, &api)?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Ok(WorkItem {
        request: RequestId(rand::random()),
        fingerprint: fingerprint_of(&class, &api.prompt),
        prefix: prefix_of(&api.prompt),
        class,
        target,
        api,
        arrived: Instant::now(),
        created: since.unwrap_or_default().as_secs(),
    })
}

fn choose_class(
    book: &SystemConfig,
    headers: &HeaderMap,
) -> Result<(ClassName, ClassTarget), CallerFailure> {
    let named = headers
        .get(CLASS_HEADER)
        .and_then(|value| value.to_str().ok());
    let name = match named {
        Some(text) => text.parse::<ClassName>().ok(),
        None => book.default_class.clone(),
    };
    let found = name.and_then(|name| book.classes.get(&name).map(|target| (name, *target)));
    found.ok_or_else(|| {
        let known: Vec<&str> = book.classes.keys().map(ClassName::as_str).collect();
        let known = known.join(", ");
        let message = format!("no such class; set {CLASS_HEADER} to one of: {known}");
        CallerFailure::invalid("unknown_class", message)
    })
}

fn check_memory(shared: &EntryShared, api: &ApiRequest) -> Result<(), CallerFailure> {
    let state = shared.lock();
    let Some(pieces) = state.router.largest_kv_capacity(&api.model) else {
        return Ok(());
    };
    let limit = TokenCount(pieces.0.saturating_mul(state.piece_tokens));
    let asked = TokenCount(api.prompt_tokens.0.saturating_add(api.max_tokens.0));
    if asked > limit {
        let message = format!("prompt and output take {asked} tokens; engines hold {limit}");
        return Err(CallerFailure::invalid("prompt_too_long", message));
    }
    Ok(())
}
