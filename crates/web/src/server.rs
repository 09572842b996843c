//! Serves connections up to limits and stops gracefully.

use std::convert::Infallible;
use std::future::{
    Future,
    poll_fn, //
};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Request,
    Response, //
};
use hyper_util::rt::TokioIo;
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::{
    Semaphore,
    watch, //
};
use tokio::task::JoinSet;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::waiting::{
    ConnectionWait,
    WaitEnd,
    WatchedBody,
    WatchedStream, //
};
use crate::{
    ConnectionBounds,
    ReplyBody,
    ServerLimits, //
};

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a connection's timer while a request is served; the end of its reply sets it anew.
const SERVE_PAUSE: Duration = Duration::from_secs(60);
/// Room beside a head, so that one over its bound is told apart from a connection's own limit.
const SPARE_BYTES: usize = 16 * 1024;

/// Serves until the stop signal turns true, then returns once no connection is left. Connections
/// that still arrive meanwhile get one answer each.
pub async fn serve<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let seats = Arc::new(Semaphore::new(limits.connections));
    // Dropped with this future, which then ends every connection.
    let mut serving_set = JoinSet::new();
    let mut is_stopping = false;
    loop {
        while serving_set.try_join_next().is_some() {}
        if is_stopping && serving_set.is_empty() {
            return;
        }
        let accepted = tokio::select! {
            _ = stop.wait_for(|stopping| *stopping), if !is_stopping => {
                is_stopping = true;
                continue;
            }
            _ = serving_set.join_next(), if is_stopping => continue,
            accepted = accept_seated(&listener, &seats) => accepted,
        };
        let Some((stream, seat)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving =
            serve_connection(stream, limits.bounds.clone(), stop.clone(), handler.clone());
        serving_set.spawn(async move {
            serving.await;
            drop(seat);
        });
    }
}

async fn accept_seated(
    listener: &TcpListener,
    seats: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let seat = seats.clone().acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, seat))
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    bounds: watch::Receiver<ConnectionBounds>,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    // A failure to set this option costs time only.
    let _ = stream.set_nodelay(true);
    serve_stream(stream, bounds, stop, handler).await;
}

/// Serves one connection until its peer closes it, its time is over, or the stop signal turns true
/// and its last request is answered.
pub async fn serve_stream<S, F, R>(
    stream: S,
    bounds: watch::Receiver<ConnectionBounds>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let wait = ConnectionWait::accepted();
    let answered = wait.clone();
    let service = service_fn(move |request| {
        answered.begin_request();
        let (reply, wait) = (handler(request), answered.clone());
        async move {
            let reply = reply.await;
            Ok::<_, Infallible>(reply.map(|body| WatchedBody { body, wait }))
        }
    });
    let stream = WatchedStream {
        stream,
        wait: wait.clone(),
    };
    let buffer_bytes = bounds.borrow().header_bytes.saturating_add(SPARE_BYTES);
    let connection = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = until_ended(connection.as_mut(), &wait, &bounds) => ended,
        _ = stop.wait_for(|stopping| *stopping) => Some(WaitEnd::Idle),
    };
    if ended == Some(WaitEnd::Idle) {
        connection.as_mut().graceful_shutdown();
        // The peer learns of a broken connection by itself.
        until_ended(connection, &wait, &bounds).await;
    }
}

/// Drives a connection until it ends by itself or its peer has kept it waiting for too long.
async fn until_ended<C: Future>(
    mut connection: Pin<&mut C>,
    wait: &ConnectionWait,
    bounds: &watch::Receiver<ConnectionBounds>,
) -> Option<WaitEnd> {
    let timer = sleep(SERVE_PAUSE);
    tokio::pin!(timer);
    poll_fn(|context| {
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(None);
        }
        let due = wait.due(*bounds.borrow());
        // Set back only where it would fire too late, not at each request.
        if let Some((due, _)) = due
            && due < timer.deadline()
        {
            timer.as_mut().reset(due);
        }
        while timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            match due {
                Some((due, end)) if due <= now => return Poll::Ready(Some(end)),
                Some((due, _)) => timer.as_mut().reset(due),
                None => timer.as_mut().reset(now + SERVE_PAUSE),
            }
        }
        Poll::Pending
    })
    .await
}
