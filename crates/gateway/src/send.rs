//! Sends a request to one backend server and checks the response.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{
    Method,
    Request,
    Response, //
};
use logs::DecisionKind;
use platform::{
    AttemptMetadata,
    ProcessCheck,
    ResponseMetadata,
    check_process,
    strip_hop_by_hop_headers, //
};
use policy::{
    AttemptOutcome,
    EndVerdict, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};
use units::{
    IncarnationId,
    InstanceId, //
};
use web::{
    ClientConnection,
    ResponseBody,
    SendFailure,
    WebError,
    bytes_body, //
};

use crate::attempt::{
    AttemptError,
    CompleteResponse,
    OpenResponse, //
};
use crate::request::RequestContext;
use crate::servers::sent_requests::{
    SentRequest,
    ServerProcess, //
};
use crate::servers::server_notices::record_notices;
use crate::shared::GatewayShared;
use crate::suspects::crash_probe::answers_probe;
use crate::suspects::crash_suspects::{
    SILENT_CAUSE,
    has_crash_evidence,
    record_crash, //
};
use crate::suspects::unframed_end::{
    UNFRAMED_CAUSE,
    judge_response_end, //
};
use crate::tokens::server_limits::{
    LimitQuestion,
    record_stated_limit, //
};
use crate::tokens::token_ticket::charge_request;

/// Timeout for establishing a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the check which process a connection leads to.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of connections that may fail this check without an answer.
const MAX_UNUSABLE: u32 = 2;
/// Idle timeout of a pooled connection if the backend server states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest idle timeout of a pooled connection. The clock cannot hold all that backend servers state.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Margin by which a pooled connection expires before the idle timeout that the backend server
/// states.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Reason of an attempt whose connection broke before the head of the response.
const CONNECTION_BROKE: &str = "connection_broke";
/// Reason of an attempt whose backend server wants no more requests for some time.
const RESTING: &str = "resting";
/// Reason of an attempt whose response does not fit into the memory for bodies.
const MEMORY_FULL: &str = "memory_full";
/// Size limit of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// Size limit of a response body that is read completely.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Sends a request and waits for the head of the response. With `required_start`, it is sent only to
/// the process that started then, in milliseconds since the Unix epoch.
pub(crate) async fn start_attempt(
    context: &RequestContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
    required_start: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    // A prompt that is only prefilled does not run.
    let had_run = context
        .may_have_run
        .fetch_or(!metadata.prefill_only, Ordering::Relaxed);
    let starting = async {
        tokio::select! {
            result = start_without_timeout(context, address, metadata, required_start) => result,
            never = record_silence(context, &metadata.instance) => match never {},
        }
    };
    let result = timeout_at(context.deadline, starting).await;
    let result = result.unwrap_or(Err(AttemptError::DeadlineExceeded));
    if let Err(AttemptError::Unreachable | AttemptError::NotProcessed(_)) = result {
        context.may_have_run.store(had_run, Ordering::Relaxed);
    }
    if result.is_ok() {
        context.shared.record_liveness(&metadata.instance);
    }
    if matches!(result, Err(AttemptError::Unsure(CONNECTION_BROKE))) {
        let cause = "connection broke before a response";
        record_crash(
            &context.shared,
            &context.witness(),
            &metadata.instance,
            cause,
        );
    }
    record_attempt(context, &metadata.instance, &result);
    result
}

/// Records that a backend server has fallen silent while an attempt of a suspect waits for it. The
/// attempt goes on waiting, but a copy of the request must not run meanwhile as if nothing had happened.
/// For other requests, silence is noted at the end of the attempt.
pub(crate) async fn record_silence(context: &RequestContext, instance: &InstanceId) -> Infallible {
    loop {
        context.wait_until_unresponsive(instance).await;
        if !has_crash_evidence(context) {
            continue;
        }
        if !answers_probe(&context.shared, instance).await {
            break;
        }
    }
    record_crash(&context.shared, &context.witness(), instance, SILENT_CAUSE);
    std::future::pending().await
}

/// Records the outcome of an attempt in the metrics and in the health of the backend server.
fn record_attempt(
    context: &RequestContext,
    instance: &InstanceId,
    result: &Result<OpenResponse, AttemptError>,
) {
    let (name, outcome) = match result {
        // A server that asks for a rest has not failed.
        Ok(response) if response.metadata.notices.rest.is_some() => (RESTING, None),
        Err(AttemptError::NotProcessed(RESTING)) => (RESTING, None),
        Ok(response) if response.http.status().is_server_error() => {
            ("error_status", Some(AttemptOutcome::ErrorStatus))
        }
        Ok(_) => ("answered", Some(AttemptOutcome::Success)),
        Err(e @ AttemptError::Unreachable) => (e.as_str(), Some(AttemptOutcome::Unreachable)),
        Err(AttemptError::NotProcessed(reason)) => (*reason, Some(AttemptOutcome::Refused)),
        Err(AttemptError::Unsure(reason)) => (*reason, Some(AttemptOutcome::ConnectionBroken)),
        Err(e @ (AttemptError::DeadlineExceeded | AttemptError::Quarantined(_))) => {
            (e.as_str(), None)
        }
    };
    context
        .shared
        .metrics
        .attempts
        .with_label_values(&[name])
        .inc();
    let Some(outcome) = outcome else { return };
    let paused = context
        .shared
        .lock()
        .fleet
        .record_outcome(Instant::now(), instance, outcome);
    if paused {
        let record = context.record(
            DecisionKind::Backend,
            "backend server paused after consecutive failures",
        );
        let record = record.chosen(instance).input("last", name).failure();
        context.shared.log.write(record);
    }
}

async fn start_without_timeout(
    context: &RequestContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
    required_start: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let mut unusable_count = 0;
    loop {
        let pooled = context.shared.pool().acquire(Instant::now(), address);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                context.shared.metrics.connections.inc();
                let connected = ClientConnection::connect(address, CONNECT_TIMEOUT).await;
                connected.map_err(|_| AttemptError::Unreachable)?
            }
        };
        let checked = connection.checked_process;
        if let (Some(checked), Some(required)) = (checked, required_start)
            && checked != required
        {
            // The connection leads to another process than the entry's.
            continue;
        }
        if let Some(started) = required_start.filter(|_| checked.is_none()) {
            charge_request(&context.shared, &metadata.instance);
            let instance = &metadata.instance;
            let question = LimitQuestion::new(&context.shared, instance);
            let observe = |notices| record_notices(&context.shared, &question, notices);
            let check =
                check_process(&mut connection, instance, started, CHECK_TIMEOUT, observe).await;
            match check {
                ProcessCheck::Expected => connection.checked_process = Some(started),
                ProcessCheck::Other => return Err(AttemptError::NotProcessed("other_process")),
                ProcessCheck::Refused => return Err(AttemptError::NotProcessed("backend_refused")),
                ProcessCheck::Unusable if unusable_count < MAX_UNUSABLE => {
                    unusable_count += 1;
                    continue;
                }
                ProcessCheck::Unusable => return Err(AttemptError::Unreachable),
            }
        }
        let request = build_request(context, address, metadata)?;
        let question = LimitQuestion::new(&context.shared, &metadata.instance);
        let process = ServerProcess {
            instance: metadata.instance.clone(),
            address,
            incarnation: find_incarnation(context, &connection, &metadata.instance),
        };
        let watch = connection.watch().clone();
        let mut sent = SentRequest::new(&context.shared, process, watch);
        match connection.send(request).await {
            Ok(http) => {
                let response = open_response(context, http, connection, sent);
                return check_response_head(context, &question, response);
            }
            // A pooled connection may have been closed while idle, which says nothing about the
            // state of the backend server.
            Err(SendFailure::Unsent(_)) if connection.is_reused => {}
            Err(SendFailure::Unsent(_)) => return Err(AttemptError::Unreachable),
            Err(SendFailure::MaybeSent(error)) if error.is_malformed() => {
                return Err(AttemptError::Unsure("malformed_response"));
            }
            Err(SendFailure::MaybeSent(_)) => {
                sent.record_end();
                return Err(AttemptError::Unsure(CONNECTION_BROKE));
            }
        }
    }
}

/// Returns the start of the process at the other end of a connection.
fn find_incarnation(
    context: &RequestContext,
    connection: &ClientConnection,
    instance: &InstanceId,
) -> Option<IncarnationId> {
    let checked = connection.checked_process;
    let state = context.shared.lock();
    let view = state.fleet.get(instance);
    let stated = view.and_then(|view| view.record.started_unix_ms);
    checked.or(stated).map(IncarnationId)
}

fn build_request(
    context: &RequestContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = context.uri.clone();
    let mut headers = metadata.headers(&context.headers);
    if !headers.contains_key(HOST)
        && let Ok(host) = address.to_string().parse()
    {
        headers.insert(HOST, host);
    }
    *request.headers_mut() = headers;
    Ok(request)
}

/// Returns a response whose head has arrived, with its body still to be read.
fn open_response(
    context: &RequestContext,
    http: Response<Incoming>,
    connection: ClientConnection,
    sent: SentRequest,
) -> OpenResponse {
    let (head, body) = http.into_parts();
    let mut metadata = ResponseMetadata::parse(&head);
    metadata.is_framed |= context.method == Method::HEAD;
    if !metadata.is_framed {
        connection.watch().keep_socket();
    }
    OpenResponse {
        http: Response::from_parts(head, body),
        metadata,
        connection,
        sent,
    }
}

/// Returns the response, or the error that its head shows.
fn check_response_head(
    context: &RequestContext,
    question: &LimitQuestion,
    response: OpenResponse,
) -> Result<OpenResponse, AttemptError> {
    let metadata = &response.metadata;
    let status = response.http.status();
    // A response to another request does not show whether this one was processed. One without an id may be
    // such a response, unless it is the first on its connection.
    if metadata.request_id != context.metadata.request_id {
        if !metadata.request_id.is_empty() {
            return Err(AttemptError::Unsure("answer_to_another"));
        }
        if response.connection.has_answered() {
            return Err(AttemptError::Unsure("answer_without_id"));
        }
    }
    record_stated_limit(&context.shared, question, metadata.server_limit);
    record_notices(&context.shared, question, metadata.notices);
    if metadata.not_processed {
        let is_rest = metadata.notices.rest.is_some();
        release_after_refusal(context, response);
        return Err(AttemptError::NotProcessed(match status.as_u16() {
            _ if is_rest => RESTING,
            421 => "other_instance",
            429 => "too_many",
            _ => "backend_refused",
        }));
    }
    if metadata.is_encoded || status.is_informational() {
        return Err(AttemptError::Unsure("foreign_answer"));
    }
    Ok(response)
}

/// Reads the short body of a refusal in the background, so that the connection can be reused.
fn release_after_refusal(context: &RequestContext, response: OpenResponse) {
    let shared = context.shared.clone();
    let deadline = context.deadline;
    tokio::spawn(async move {
        let (_, body) = response.http.into_parts();
        let reading = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = timeout_at(deadline, reading).await {
            release_connection(&shared, response.connection, &response.metadata);
        }
    });
}

/// Returns a connection whose response has been read completely to the pool, for as long as the
/// backend server allows.
pub(crate) fn release_connection(
    shared: &GatewayShared,
    connection: ClientConnection,
    metadata: &ResponseMetadata,
) {
    if metadata.closes_connection {
        return;
    }
    let idle_timeout = metadata
        .keep_alive_timeout
        .map_or(IDLE_TIMEOUT, |stated| stated.saturating_sub(IDLE_MARGIN))
        .min(MAX_IDLE_TIMEOUT);
    if !idle_timeout.is_zero() {
        shared
            .pool()
            .release(connection, Instant::now() + idle_timeout);
    }
}

/// Reads a response completely.
pub(crate) async fn read_response(
    context: &RequestContext,
    instance: &InstanceId,
    response: OpenResponse,
) -> Result<CompleteResponse, AttemptError> {
    let mut sent = response.sent;
    let (head, body) = response.http.into_parts();
    let time_left = context.time_left();
    let bodies = &context.shared.bodies;
    let bytes = match bodies.read_body(body, MAX_RESPONSE_BYTES, time_left).await {
        Err(WebError::Timeout) => return Err(AttemptError::DeadlineExceeded),
        Err(WebError::MemoryFull) => return Err(AttemptError::Unsure(MEMORY_FULL)),
        Err(error) if error.is_malformed() => {
            return Err(AttemptError::Unsure("malformed_response"));
        }
        Err(_) => {
            sent.record_end();
            let cause = "connection broke within a response body";
            record_crash(&context.shared, &context.witness(), instance, cause);
            return Err(AttemptError::Unsure("answer_cut"));
        }
        Ok(bytes) => bytes,
    };
    let mut unframed_end = None;
    if !response.metadata.is_framed {
        let end = sent.record_end();
        if judge_response_end(context, &end).await == EndVerdict::BrokenOff {
            let witness = context.witness();
            record_crash(&context.shared, &witness, instance, UNFRAMED_CAUSE);
            return Err(AttemptError::Unsure("answer_cut"));
        }
        unframed_end = Some(end);
    }
    release_connection(&context.shared, response.connection, &response.metadata);
    Ok(CompleteResponse {
        http: Response::from_parts(head, bytes),
        metadata: response.metadata,
        unframed_end,
    })
}

/// Returns a complete response of a backend server as the response for the caller.
pub(crate) fn into_caller_response(response: CompleteResponse) -> Response<ResponseBody> {
    let (mut head, body) = response.http.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, bytes_body(body))
}
