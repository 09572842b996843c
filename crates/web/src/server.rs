//! Serves connections up to limits and stops gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Request,
    Response, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
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

use crate::ReplyBody;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 32 * 1024;
const HEADER_COUNT: usize = 64;

/// Bounds on what connections may hold.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections served at a time; more wait in the kernel's queue.
    pub connections: usize,
    /// Time for all headers of a request to arrive, on idle connections too.
    pub header_time: Duration,
}

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
        let serving = serve_connection(stream, limits, stop.clone(), handler.clone());
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
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    // A failure to set this option costs time only.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(BUFFER_BYTES)
        .max_headers(HEADER_COUNT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
    }
    // The peer learns of a broken connection by itself.
    let _ = connection.await;
}
