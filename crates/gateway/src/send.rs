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

use crate::call::CallContext;
use crate::outcome::{
    OpenAnswer,
    SendTrouble,
    WholeAnswer, //
};
use crate::shared::GatewayShared;
use crate::suspicion::{
    note_answer,
    note_crash, //
};

/// Time for a connection to come about.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept when the backend server does not say how long.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Time before the end that the backend server states at which an idle connection is left alone.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Largest answer that is taken whole.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Sends a request and waits for the head of its answer.
pub(crate) async fn open_send(
    call: &CallContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<OpenAnswer, SendTrouble> {
    let result = timeout_at(call.deadline, open_untimed(call, address, metadata)).await;
    let result = result.unwrap_or(Err(SendTrouble::OutOfTime));
    if result.is_ok() {
        call.shared.record_liveness(&metadata.instance);
    }
    match &result {
        Err(SendTrouble::Unknown("connection_broke")) => note_crash(call, &metadata.instance),
        Ok(answer) if answer.response.status().is_success() => note_answer(call),
        _ => {}
    }
    note_send(call, &metadata.instance, &result);
    result
}

fn note_send(call: &CallContext, instance: &InstanceId, result: &Result<OpenAnswer, SendTrouble>) {
    let (name, outcome) = match result {
        Ok(answer) if answer.response.status().is_server_error() => {
            ("error_status", Some(AttemptOutcome::ErrorStatus))
        }
        Ok(_) => ("answered", Some(AttemptOutcome::Success)),
        Err(error @ SendTrouble::Unreached) => (error.as_str(), Some(AttemptOutcome::Unreachable)),
        Err(SendTrouble::NotRun(reason)) => (*reason, Some(AttemptOutcome::Refused)),
        Err(SendTrouble::Unknown(reason)) => (*reason, Some(AttemptOutcome::ConnectionBroken)),
        Err(SendTrouble::OutOfTime) => ("out_of_time", None),
    };
    call.shared
        .metrics
        .attempts
        .with_label_values(&[name])
        .inc();
    let Some(outcome) = outcome else { return };
    let paused = call
        .shared
        .lock()
        .fleet
        .record_outcome(Instant::now(), instance, outcome);
    if paused {
        let record = call.record(DecisionKind::Backend, "paused after failures in a row");
        let record = record.chosen(instance).input("last", name).failure();
        call.shared.log.write(record);
    }
}

async fn open_untimed(
    call: &CallContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<OpenAnswer, SendTrouble> {
    loop {
        let kept = call.shared.pool().acquire(Instant::now(), address);
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                call.shared.metrics.connections.inc();
                let opened = ClientConnection::connect(address, CONNECT_TIME).await;
                opened.map_err(|_| SendTrouble::Unreached)?
            }
        };
        let request = build_request(call, address, metadata)?;
        match connection.send(request).await {
            Ok(response) => return judge_head(call, response, connection),
            // A kept connection that had gone away says nothing of the backend server.
            Err(SendFailure::Unsent(_)) if connection.is_reused => {}
            Err(SendFailure::Unsent(_)) => return Err(SendTrouble::Unreached),
            Err(SendFailure::MaybeSent(_)) => return Err(SendTrouble::Unknown("connection_broke")),
        }
    }
}

fn build_request(
    call: &CallContext,
    address: SocketAddr,
    metadata: &AttemptMetadata,
) -> Result<Request<Full<Bytes>>, SendTrouble> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = metadata.headers(&call.headers);
    if !headers.contains_key(HOST)
        && let Ok(host) = address.to_string().parse()
    {
        headers.insert(HOST, host);
    }
    *request.headers_mut() = headers;
    Ok(request)
}

fn judge_head(
    call: &CallContext,
    response: Response<Incoming>,
    connection: ClientConnection,
) -> Result<OpenAnswer, SendTrouble> {
    let (head, body) = response.into_parts();
    let metadata = ResponseMetadata::parse(&head);
    let status = head.status;
    // An answer to another request leaves it open whether this one has run.
    if !metadata.request_id.is_empty() && metadata.request_id != call.metadata.request_id {
        return Err(SendTrouble::Unknown("answer_to_another"));
    }
    if metadata.not_processed {
        let answer = OpenAnswer {
            response: Response::from_parts(head, body),
            metadata,
            connection,
        };
        keep_after_refusal(call, answer);
        return Err(SendTrouble::NotRun(match status.as_u16() {
            421 => "other_instance",
            429 => "too_many",
            _ => "backend_refused",
        }));
    }
    if metadata.is_encoded || status.is_informational() {
        return Err(SendTrouble::Unknown("foreign_answer"));
    }
    Ok(OpenAnswer {
        response: Response::from_parts(head, body),
        metadata,
        connection,
    })
}

/// Reads the short body of a refusal aside, so that its connection can be kept.
fn keep_after_refusal(call: &CallContext, answer: OpenAnswer) {
    let shared = call.shared.clone();
    let deadline = call.deadline;
    tokio::spawn(async move {
        let (_, body) = answer.response.into_parts();
        let reading = Limited::new(body, ANSWER_LIMIT_BYTES).collect();
        if let Ok(Ok(_)) = timeout_at(deadline, reading).await {
            release_connection(&shared, answer.connection, &answer.metadata);
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
    let idle = metadata
        .keep_alive_timeout
        .map_or(IDLE_TIME, |stated| stated.saturating_sub(IDLE_MARGIN));
    if !idle.is_zero() {
        shared.pool().release(connection, Instant::now() + idle);
    }
}

/// Reads an answer whole.
pub(crate) async fn read_whole(
    call: &CallContext,
    answer: OpenAnswer,
) -> Result<WholeAnswer, SendTrouble> {
    let (head, body) = answer.response.into_parts();
    let reading = Limited::new(body, ANSWER_LIMIT_BYTES).collect();
    let read = match timeout_at(call.deadline, reading).await {
        Err(_) => return Err(SendTrouble::OutOfTime),
        Ok(Err(_)) => return Err(SendTrouble::Unknown("answer_cut")),
        Ok(Ok(read)) => read.to_bytes(),
    };
    release_connection(&call.shared, answer.connection, &answer.metadata);
    Ok(WholeAnswer {
        response: Response::from_parts(head, read),
        metadata: answer.metadata,
    })
}
