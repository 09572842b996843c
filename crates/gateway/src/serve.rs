//! Accepts a request of a caller: finds its route, reads its body, sets its deadline and serves it.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{
    Request,
    Response,
    Version, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::RequestMetadata;
use policy::{
    CallerAccount,
    RouteTable, //
};
use tokio::time::{
    Instant,
    timeout,
    timeout_at, //
};
use web::{
    ConnectionUse,
    ResponseBody,
    WebError, //
};

use crate::accounts::account_metrics::{
    count_refusal,
    count_request, //
};
use crate::attempt::AttemptError;
use crate::drain::{
    DrainRequest,
    RunningAnswer,
    accepts_request,
    give_up, //
};
use crate::loading::loaded_table;
use crate::plain::serve_plain;
use crate::request::RequestContext;
use crate::request_error::{
    RequestError,
    close_while_draining, //
};
use crate::shared::GatewayShared;
use crate::streams::generation::serve_generation;
use crate::suspects::crash_suspects::{
    check_suspect,
    request_fingerprint,
    request_suspects, //
};

/// Time reserved before the caller's deadline for an error response of the gateway.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Shortest delay before a retry of a request for whose body no memory is left.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time in which the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one request of a caller.
pub(crate) async fn serve_request(
    shared: Arc<GatewayShared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = RequestMetadata::parse(&head.headers);
    let id = String::from_utf8_lossy(&metadata.request_id).into_owned();
    let mut guard = DisconnectGuard {
        shared: shared.clone(),
        id: id.clone(),
        started,
        is_answered: false,
    };
    let mut caller = CallerAccount::Unmanaged;
    let result = route_request(&shared, started, head, metadata, body, &mut caller).await;
    guard.is_answered = true;
    let mut response = result.unwrap_or_else(|error| {
        count_refusal(&shared, &caller);
        log_request_error(&shared, &id, &caller, error, started);
        error.response()
    });
    // In the version of a server that speaks HTTP/1.0, a body that ends early would look complete.
    *response.version_mut() = Version::HTTP_11;
    close_while_draining(&shared, &mut response);
    response
}

/// Logs why there is no answer if dropped before the response head is available.
struct DisconnectGuard {
    shared: Arc<GatewayShared>,
    id: String,
    started: Instant,
    is_answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let reason = if self.shared.is_cutting() {
            "cut by the end of the grace period before the response head"
        } else {
            "caller disconnected before the response head"
        };
        let record = DecisionRecord::new(DecisionKind::Finish, reason)
            .request(&self.id)
            .input("held_ms", self.started.elapsed().as_millis() as u64)
            .input("draining", self.shared.is_draining());
        self.shared.log.write(record);
    }
}

/// Checks a request against the configuration and its limits, and serves it by the matching route. Sets
/// `caller` as soon as the account is known.
async fn route_request(
    shared: &Arc<GatewayShared>,
    started: Instant,
    head: Parts,
    metadata: RequestMetadata,
    body: Incoming,
    caller: &mut CallerAccount,
) -> Result<Response<ResponseBody>, RequestError> {
    let table = loaded_table(shared, started, metadata.timeout).await?;
    if head_bytes(&head) > table.limits.max_header_bytes {
        return Err(RequestError::HeaderTooLarge);
    }
    let host = requested_host(&head)?;
    let rule = table.find(host, head.uri.path()).cloned();
    let rule = rule.ok_or(RequestError::NoRoute)?;
    let account = table.identify_caller(&rule, &metadata.key);
    let Some(account) = account else {
        tokio::spawn(discard_body(body, table.limits.max_body_bytes));
        return Err(RequestError::UnknownCaller);
    };
    caller.clone_from(&account);
    count_request(shared, &account);
    let kind = rule.kind.as_str();
    shared.metrics.requests.with_label_values(&[kind]).inc();
    let deadline = started + rule.timeout.min(metadata.timeout.unwrap_or(rule.timeout));
    let deadline = deadline - RESPONSE_MARGIN.min(deadline - started);
    let id = String::from_utf8_lossy(&metadata.request_id).into_owned();
    let connection_use = head.extensions.get::<ConnectionUse>().copied();
    let request = DrainRequest {
        id: &id,
        rule: &rule,
        output_tokens: metadata.max_output_tokens.0,
        arrived: started,
        deadline,
        connection_use: connection_use.unwrap_or(ConnectionUse::First),
    };
    if !accepts_request(shared, &request) {
        return Err(RequestError::Draining);
    }
    let body = tokio::select! {
        body = read_request_body(shared, body, &table, deadline) => body?,
        error = give_up(shared, &request, || false) => return Err(error),
    };
    let service = rule.choose_service(&metadata.request_id).clone();
    shared.credit_retry_budget(&service);
    let fingerprint = request_fingerprint(&head.method, head.uri.path(), &body);
    let answer = RunningAnswer::start(shared, &rule.name, started);
    let context = Arc::new(RequestContext {
        shared: shared.clone(),
        service,
        config_version: table.version,
        fingerprint,
        suspects: request_suspects(fingerprint, &metadata.prompt_layout),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        metadata,
        account,
        started,
        deadline,
        rule: rule.clone(),
        trial_crashes: Mutex::default(),
        may_have_run: AtomicBool::new(false),
    });
    if let Err(AttemptError::Quarantined(remaining)) = check_suspect(&context).await {
        return Err(RequestError::Quarantined(remaining));
    }
    let serving = async {
        if context.rule.kind.is_stream() {
            serve_generation(context.clone(), answer).await
        } else {
            serve_plain(&context).await
        }
    };
    let may_have_run = || context.may_have_run.load(Ordering::Relaxed);
    tokio::select! {
        result = timeout_at(deadline, serving) => {
            result.unwrap_or(Err(RequestError::DeadlineExceeded))
        }
        error = give_up(shared, &request, may_have_run) => Err(error),
    }
}

/// Returns the size of a request head as sent: its target and the names, values and separators of
/// its headers.
fn head_bytes(head: &Parts) -> usize {
    /// Size of a colon, a space and the line ending.
    const SEPARATOR_BYTES: usize = 4;
    let sizes = head.headers.iter();
    let headers: usize = sizes
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    let target = head.uri.path_and_query();
    headers + target.map_or(0, |target| target.as_str().len())
}

/// Returns the host that a request names. A request with several `Host` headers is rejected, since
/// the gateway and the backend servers could each pick a different one.
fn requested_host(head: &Parts) -> Result<&str, RequestError> {
    let mut hosts = head.headers.get_all(HOST).iter();
    let first = hosts.next();
    if hosts.next().is_some() {
        return Err(RequestError::InvalidHeader);
    }
    let first = first.and_then(|value| value.to_str().ok());
    Ok(head.uri.host().or(first).unwrap_or_default())
}

async fn read_request_body(
    shared: &GatewayShared,
    body: Incoming,
    table: &RouteTable,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let limit_bytes = table.limits.max_body_bytes;
    match shared.bodies.read_body(body, limit_bytes, time_left).await {
        Ok(body) => Ok(body),
        Err(WebError::MemoryFull) => {
            let spread = MEMORY_RETRY_DELAY.mul_f64(rand::random());
            Err(RequestError::MemoryFull(MEMORY_RETRY_DELAY + spread))
        }
        Err(WebError::TooLarge { .. }) => Err(RequestError::BodyTooLarge),
        Err(WebError::Timeout) => Err(RequestError::DeadlineExceeded),
        Err(_) => Err(RequestError::IncompleteBody),
    }
}

/// Reads the body of a request that is refused at once, so that its connection can be used again.
async fn discard_body(mut body: Incoming, limit_bytes: usize) {
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > limit_bytes {
                return;
            }
        }
    };
    // The connection is closed if the rest does not arrive in time.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

fn log_request_error(
    shared: &GatewayShared,
    id: &str,
    caller: &CallerAccount,
    error: RequestError,
    started: Instant,
) {
    let name = error.as_str();
    shared.metrics.refusals.with_label_values(&[name]).inc();
    let delay = error.retry_after().map(|delay| delay.as_millis() as u64);
    let record = DecisionRecord::new(DecisionKind::Refuse, name)
        .request(id)
        .input("retry_after_ms", delay)
        .input("held_ms", started.elapsed().as_millis() as u64)
        .failure();
    let record = match caller.name() {
        Some(account) => record.input("account", account.as_str()),
        None => record,
    };
    shared.log.write(record);
}
