//! Returns the response of an engine to the caller: a stream event by event, anything else whole.

use std::sync::Arc;

use hyper::Response;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::EventCursor;
use web::{
    ResponseBody,
    abortable_body, //
};

use crate::attempt::AttemptError;
use crate::drain::RunningAnswer;
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::send::{
    into_caller_response,
    read_response, //
};
use crate::streams::generation::OpenStream;
use crate::streams::stream_attempt::{
    StreamAttempt,
    check_stream, //
};
use crate::streams::stream_forwarder::StreamForwarder;
use crate::streams::stream_timing::StreamTiming;

/// Number of chunks buffered for a slow caller.
const CHUNK_QUEUE_LENGTH: usize = 8;

/// Returns the head of a stream as the response, and forwards the events in a background task.
pub(crate) async fn start_forwarding(
    context: Arc<RequestContext>,
    mut stream: OpenStream,
    history: AttemptHistory,
    answer: RunningAnswer,
) -> Result<Response<ResponseBody>, RequestError> {
    if check_stream(&stream.response).is_err() {
        return forward_error(&context, stream).await;
    }
    let (mut head, body) = stream.response.http.into_parts();
    stream.response.http = Response::new(body);
    strip_hop_by_hop_headers(&mut head.headers);
    let (chunks, response_body) = abortable_body(CHUNK_QUEUE_LENGTH);
    let forwarder = StreamForwarder {
        cursor: EventCursor::after(context.metadata.last_event_id),
        timing: StreamTiming::default(),
        context,
        chunks,
        history,
        _answer: answer,
    };
    tokio::spawn(forwarder.forward_stream(StreamAttempt::new(stream)));
    Ok(Response::from_parts(head, response_body))
}

/// Forwards an error response of an engine once it has arrived completely, so that the caller gets a
/// whole answer or an error of the gateway. Replaces an unsigned success response by an error.
async fn forward_error(
    context: &RequestContext,
    stream: OpenStream,
) -> Result<Response<ResponseBody>, RequestError> {
    let status = stream.response.http.status();
    let record = context.record(
        DecisionKind::Finish,
        "engine returned an error status or an unsigned response",
    );
    let record = record.input("status", status.as_u16()).failure();
    context.shared.log.write(record);
    if status.is_success() {
        return Err(RequestError::Unsure("answer_unsigned"));
    }
    let instance = &stream.engine.selection.instance;
    match read_response(context, instance, stream.response).await {
        Ok(response) => Ok(into_caller_response(response)),
        Err(AttemptError::DeadlineExceeded) => Err(RequestError::DeadlineExceeded),
        Err(error) => Err(RequestError::Unsure(error.as_str())),
    }
}
