//! Takes a caller's request: its route, its body, its deadline, and then its way.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{
    Request,
    Response, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::RequestMetadata;
use policy::RouteTable;
use tokio::time::{
    Instant,
    timeout_at, //
};
use web::{
    ResponseBody,
    WebError,
    read_body, //
};

use crate::call::CallContext;
use crate::generation::serve_generation;
use crate::plain::serve_plain;
use crate::reply::{
    OwnAnswer,
    mark_leaving, //
};
use crate::shared::GatewayShared;
use crate::suspicion::{
    fingerprint,
    is_kept_out, //
};

/// Time that an answer of the gateway's own needs to be out by the caller's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Answers one request of a caller.
pub(crate) async fn serve_request(
    shared: Arc<GatewayShared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = RequestMetadata::parse(&head.headers);
    let id = String::from_utf8_lossy(&metadata.request_id).into_owned();
    let mut wait = CallerWait {
        shared: shared.clone(),
        id: id.clone(),
        started,
        is_over: false,
    };
    let result = take_request(&shared, started, head, metadata, body).await;
    wait.is_over = true;
    let mut response = result.unwrap_or_else(|answer| {
        log_own_answer(&shared, &id, answer, started);
        answer.response()
    });
    mark_leaving(&shared, &mut response);
    response
}

/// A caller that waits for the head of its answer; dropped before that, it has left.
struct CallerWait {
    shared: Arc<GatewayShared>,
    id: String,
    started: Instant,
    is_over: bool,
}

impl Drop for CallerWait {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let record = DecisionRecord::new(DecisionKind::Finish, "caller has left")
            .request(&self.id)
            .input("held_ms", self.started.elapsed().as_millis() as u64);
        self.shared.log.write(record);
    }
}

async fn take_request(
    shared: &Arc<GatewayShared>,
    started: Instant,
    head: Parts,
    metadata: RequestMetadata,
    body: Incoming,
) -> Result<Response<ResponseBody>, OwnAnswer> {
    let table = shared.lock().table.clone();
    let table = table.ok_or(OwnAnswer::NotConfigured)?;
    if head_bytes(&head) > table.limits.max_header_bytes {
        return Err(OwnAnswer::HeadTooLarge);
    }
    let host = named_host(&head)?;
    let rule = table.find(host, head.uri.path()).cloned();
    let rule = rule.ok_or(OwnAnswer::NoRoute)?;
    let kind = rule.kind.as_str();
    shared.metrics.requests.with_label_values(&[kind]).inc();
    if !shared.accepts_request(rule.kind, rule.timeout) {
        return Err(OwnAnswer::Leaving);
    }
    let deadline = started + rule.timeout.min(metadata.timeout.unwrap_or(rule.timeout));
    let deadline = deadline - ANSWER_MARGIN.min(deadline - started);
    let body = take_body(body, &table, deadline).await?;
    let service = rule.choose_service(&metadata.request_id).clone();
    shared.credit_retry_budget(&service);
    let call = Arc::new(CallContext {
        shared: shared.clone(),
        service,
        version: table.version,
        fingerprint: fingerprint(&head.method, head.uri.path(), &body),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        metadata,
        started,
        deadline,
        rule,
    });
    if is_kept_out(&call) {
        return Err(OwnAnswer::KeptOut);
    }
    let serving = async {
        if call.rule.kind.is_stream() {
            serve_generation(call.clone()).await
        } else {
            serve_plain(&call).await
        }
    };
    match timeout_at(deadline, serving).await {
        Ok(result) => result,
        Err(_) => Err(OwnAnswer::OutOfTime),
    }
}

/// Bytes of a head as its caller wrote it: names, values and what separates them.
fn head_bytes(head: &Parts) -> usize {
    /// A colon, a space and the end of the line.
    const SEPARATOR_BYTES: usize = 4;
    let sizes = head.headers.iter();
    let headers: usize = sizes
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    let target = head.uri.path_and_query();
    headers + target.map_or(0, |target| target.as_str().len())
}

/// The host that a request names. Two of them leave open which was meant, here and for everyone
/// behind the gateway.
fn named_host(head: &Parts) -> Result<&str, OwnAnswer> {
    let mut named = head.headers.get_all(HOST).iter();
    let first = named.next();
    if named.next().is_some() {
        return Err(OwnAnswer::BadHead);
    }
    let first = first.and_then(|value| value.to_str().ok());
    Ok(head.uri.host().or(first).unwrap_or_default())
}

async fn take_body(
    body: Incoming,
    table: &RouteTable,
    deadline: Instant,
) -> Result<Bytes, OwnAnswer> {
    let time = deadline.saturating_duration_since(Instant::now());
    match read_body(body, table.limits.max_body_bytes, time).await {
        Ok(body) => Ok(body),
        Err(WebError::TooLarge { .. }) => Err(OwnAnswer::TooLarge),
        Err(WebError::Timeout) => Err(OwnAnswer::OutOfTime),
        Err(_) => Err(OwnAnswer::BadBody),
    }
}

fn log_own_answer(shared: &GatewayShared, id: &str, answer: OwnAnswer, started: Instant) {
    let name = answer.as_str();
    shared.metrics.refusals.with_label_values(&[name]).inc();
    let pause = answer.retry_after().map(|pause| pause.as_millis() as u64);
    let record = DecisionRecord::new(DecisionKind::Refuse, name)
        .request(id)
        .input("retry_after_ms", pause)
        .input("held_ms", started.elapsed().as_millis() as u64)
        .failure();
    shared.log.write(record);
}
