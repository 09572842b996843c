//! Sends a request to one backend server and judges what comes back.

use std::net::SocketAddr;
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
    Request,
    Response, //
};
use logs::DecisionKind;
use platform::{
    AttemptMetadata, //
    ResponseMetadata,
};
use policy::AttemptOutcome;
use tokio::time::{
    Instant,
    timeout_at, //
};
use units::InstanceId;
use web::{
    ClientConnection,
    SendFailure, //
};

use crate::attempt::{
    AttemptError,
    CompleteResponse, //
    OpenResponse,
};
use crate::crash_suspects::{
    clear_suspect,
    record_crash, //
};
use crate::request::RequestContext;
use crate::shared::GatewayShared;

/// Time for a connection to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept when the backend server does not say how long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the end that the backend server states at which an idle connection is left alone.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Largest answer that is taken whole.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Sends a request and waits for the head of its answer.
pub(crate) async fn start_attempt(
    context: &RequestContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<OpenResponse, AttemptError> {
    let result = timeout_at(
        context.deadline,
        start_without_timeout(context, address, metadata),
    )
    .await;
    let result = result.unwrap_or(Err(AttemptError::DeadlineExceeded));
    if result.is_ok() {
        context.shared.note_heard(&metadata.instance);
    }
    match &result {
        Err(AttemptError::Unsure("connection_broke")) => record_crash(context, &metadata.instance),
        Ok(response) if response.http.status().is_success() => clear_suspect(context),
        _ => {}
    }
    record_attempt(context, &metadata.instance, &result);
    result
}

fn record_attempt(
    context: &RequestContext,
    instance: &InstanceId,
    result: &Result<OpenResponse, AttemptError>,
) {
    let (name, outcome) = match result {
        Ok(response) if response.http.status().is_server_error() => {
            ("error_status", Some(AttemptOutcome::ErrorStatus))
        }
        Ok(_) => ("answered", Some(AttemptOutcome::Success)),
        Err(e @ AttemptError::Unreachable) => (e.as_str(), Some(AttemptOutcome::Unreachable)),
        Err(AttemptError::NotProcessed(reason)) => (*reason, Some(AttemptOutcome::Refused)),
        Err(AttemptError::Unsure(reason)) => (*reason, Some(AttemptOutcome::ConnectionBroken)),
        Err(AttemptError::DeadlineExceeded) => ("out_of_time", None),
    };
    context
        .shared
        .metrics
        .sends
        .with_label_values(&[name])
        .inc();
    let Some(outcome) = outcome else { return };
    let paused = context
        .shared
        .lock()
        .fleet
        .record_outcome(Instant::now(), instance, outcome);
    if paused {
        let record = context.record(DecisionKind::Backend, "paused after failures in a row");
        let record = record.chosen(instance).input("last", name).failure();
        context.shared.log.write(record);
    }
}

async fn start_without_timeout(
    context: &RequestContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<OpenResponse, AttemptError> {
    loop {
        let pooled = context.shared.pool().acquire(Instant::now(), address);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                context.shared.metrics.channels.inc();
                let connected = ClientConnection::connect(address, CONNECT_TIMEOUT).await;
                connected.map_err(|_| AttemptError::Unreachable)?
            }
        };
        let request = build_request(context, address, metadata)?;
        match connection.send(request).await {
            Ok(response) => return check_response_head(context, response, connection),
            // A kept connection that had gone away says nothing of the backend server.
            Err(SendFailure::Unsent(_)) if connection.is_reused => {}
            Err(SendFailure::Unsent(_)) => return Err(AttemptError::Unreachable),
            Err(SendFailure::MaybeSent(_)) => return Err(AttemptError::Unsure("connection_broke")),
        }
    }
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

fn check_response_head(
    context: &RequestContext,
    response: Response<Incoming>,
    connection: ClientConnection,
) -> Result<OpenResponse, AttemptError> {
    let (head, body) = response.into_parts();
    let metadata = ResponseMetadata::parse(&head);
    let status = head.status;
    // An answer to another request leaves it open whether this one has run.
    if !metadata.request_id.is_empty() && metadata.request_id != context.metadata.request_id {
        return Err(AttemptError::Unsure("answer_to_another"));
    }
    if metadata.not_processed {
        let response = OpenResponse {
            http: Response::from_parts(head, body),
            metadata,
            connection,
        };
        release_after_refusal(context, response);
        return Err(AttemptError::NotProcessed(match status.as_u16() {
            421 => "other_instance",
            429 => "too_many",
            _ => "backend_refused",
        }));
    }
    if metadata.is_encoded || status.is_informational() {
        return Err(AttemptError::Unsure("foreign_answer"));
    }
    Ok(OpenResponse {
        http: Response::from_parts(head, body),
        metadata,
        connection,
    })
}

/// Reads the short body of a refusal aside, so that its connection can be kept.
fn release_after_refusal(context: &RequestContext, response: OpenResponse) {
    let shared = context.shared.clone();
    let deadline = context.deadline;
    tokio::spawn(async move {
        let (_, body) = response.http.into_parts();
        let reading = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        if let Ok(Ok(_)) = timeout_at(deadline, reading).await {
            release_connection(&shared, response.connection, &response.metadata);
        }
    });
}

/// Keeps a connection whose answer has been read whole, for as long as its server allows.
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
        .map_or(IDLE_TIMEOUT, |stated| stated.saturating_sub(IDLE_MARGIN));
    if !idle_timeout.is_zero() {
        shared
            .pool()
            .release(connection, Instant::now() + idle_timeout);
    }
}

/// Reads an answer whole.
pub(crate) async fn read_response(
    context: &RequestContext,
    response: OpenResponse,
) -> Result<CompleteResponse, AttemptError> {
    let (head, body) = response.http.into_parts();
    let reading = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    let bytes = match timeout_at(context.deadline, reading).await {
        Err(_) => return Err(AttemptError::DeadlineExceeded),
        Ok(Err(_)) => return Err(AttemptError::Unsure("answer_cut")),
        Ok(Ok(bytes)) => bytes.to_bytes(),
    };
    release_connection(&context.shared, response.connection, &response.metadata);
    Ok(CompleteResponse {
        http: Response::from_parts(head, bytes),
        metadata: response.metadata,
    })
}
