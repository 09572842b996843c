//! HTTP/1.1 server with connection limits and graceful shutdown.

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

use crate::connection_state::{
    ConnectionState,
    TimeoutKind,
    TrackedBody, //
};
use crate::observed_stream::ObservedStream;
use crate::{
    ConnectionLimits,
    ResponseBody,
    ServerLimits, //
};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the timer of a connection fires while a request is served. The end of the
/// response resets the timer.
const SERVING_TIMER_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between checks whether a connection can be shut down.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Read buffer space beyond the header limit. With it, the handler receives a request whose header
/// is slightly over the limit and can refuse the request itself; without it, the HTTP parser would
/// reject the request first.
const BUFFER_MARGIN_BYTES: usize = 16 * 1024;

/// Serves connections until `stop` turns true, then returns once all connections are closed.
/// Connections accepted during the shutdown get one response each.
pub async fn serve<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    // Dropping this future drops the set, which aborts every connection task.
    let mut connections = JoinSet::new();
    let mut is_draining = false;
    loop {
        while connections.try_join_next().is_some() {}
        if is_draining && connections.is_empty() {
            return;
        }
        let accepted = tokio::select! {
            _ = stop.wait_for(|is_stopping| *is_stopping), if !is_draining => {
                is_draining = true;
                continue;
            }
            _ = connections.join_next(), if is_draining => continue,
            accepted = accept_with_permit(&listener, &permits) => accepted,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serving = serve_tcp_connection(
            stream,
            limits.connection_limits.clone(),
            stop.clone(),
            handler.clone(),
        );
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
}

async fn accept_with_permit(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, permit))
}

async fn serve_tcp_connection<F, R>(
    stream: TcpStream,
    limits: watch::Receiver<ConnectionLimits>,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    // Without this option responses are only delayed, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    serve_connection(stream, limits, stop, handler).await;
}

/// Serves one connection until the peer closes it, a timeout expires, or `stop` turns true and the
/// request in progress is answered. Each request carries its [`ConnectionUse`] as an extension.
pub async fn serve_connection<S, F, R>(
    stream: S,
    limits: watch::Receiver<ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let state = ConnectionState::new();
    let request_state = state.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let connection_use = request_state.start_request();
        request.extensions_mut().insert(connection_use);
        let (response, state) = (handler(request), request_state.clone());
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody { body, state }))
        }
    });
    let (read_state, write_state) = (state.clone(), state.clone());
    let stream = ObservedStream {
        stream,
        observe_read: move |bytes| {
            if bytes > 0 {
                read_state.record_read();
            }
            Ok(())
        },
        observe_write: move |written| write_state.record_write(written),
    };
    let buffer_bytes = limits
        .borrow()
        .max_header_bytes
        .saturating_add(BUFFER_MARGIN_BYTES);
    let connection = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let timeout = tokio::select! {
        timeout = drive_connection(connection.as_mut(), &state, &limits) => timeout,
        () = wait_for_shutdown(&mut stop, &state) => Some(TimeoutKind::Idle),
    };
    if timeout == Some(TimeoutKind::Idle) {
        connection.as_mut().graceful_shutdown();
        // The result is ignored: the peer notices by itself that the connection was closed.
        drive_connection(connection, &state, &limits).await;
    }
}

/// Waits until the server stops and the connection can be shut down.
async fn wait_for_shutdown(stop: &mut watch::Receiver<bool>, state: &ConnectionState) {
    // A dropped sender stops the server too.
    let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    while !state.can_shut_down() {
        sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
}

/// Drives a connection until it closes, then returns `None`, or until the peer exceeds a timeout.
async fn drive_connection<C: Future>(
    mut connection: Pin<&mut C>,
    state: &ConnectionState,
    limits: &watch::Receiver<ConnectionLimits>,
) -> Option<TimeoutKind> {
    let timer = sleep(SERVING_TIMER_INTERVAL);
    tokio::pin!(timer);
    poll_fn(|context| {
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(None);
        }
        let deadline = state.deadline(*limits.borrow());
        // The timer is reset only if it would fire too late, not at each request.
        if let Some((deadline, _)) = deadline
            && deadline < timer.deadline()
        {
            timer.as_mut().reset(deadline);
        }
        while timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            match deadline {
                Some((deadline, kind)) if deadline <= now => return Poll::Ready(Some(kind)),
                Some((deadline, _)) => timer.as_mut().reset(deadline),
                None => timer.as_mut().reset(now + SERVING_TIMER_INTERVAL),
            }
        }
        Poll::Pending
    })
    .await
}
