//! Timeouts of server connections, tested with a paused clock.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hyper::Response;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt,
    DuplexStream,
    duplex, //
};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{
    Instant,
    sleep, //
};
use web::{
    ConnectionLimits,
    bytes_body,
    serve_connection, //
};

const HEADER: &[u8] = b"GET /one HTTP/1.1\r\nhost: shop.example\r\n\r\n";
const PROCESSING_TIME: Duration = Duration::from_secs(40);

struct TestServer {
    peer: DuplexStream,
    limits: watch::Sender<ConnectionLimits>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

fn start_server() -> TestServer {
    start_server_with("done".into(), 64 * 1024)
}

fn start_server_with(body: String, buffer_bytes: usize) -> TestServer {
    let (peer, stream) = duplex(buffer_bytes);
    let (limits, connection_limits) = watch::channel(ConnectionLimits {
        max_header_bytes: 16_384,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(10),
    });
    let (stop, stop_signal) = watch::channel(false);
    let serving = tokio::spawn(serve_connection(
        stream,
        connection_limits,
        stop_signal,
        move |_| {
            let body = body.clone();
            async move {
                sleep(PROCESSING_TIME).await;
                Response::new(bytes_body(body))
            }
        },
    ));
    TestServer {
        peer,
        limits,
        stop,
        serving,
    }
}

async fn read_response(peer: &mut DuplexStream) -> String {
    let mut text = String::new();
    while !text.ends_with("done") {
        text.push(peer.read_u8().await.unwrap() as char);
    }
    text
}

#[tokio::test(start_paused = true)]
async fn serve_connection_closes_when_idle() {
    let server = start_server();
    let began = Instant::now();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 10);
}

#[tokio::test(start_paused = true)]
async fn serve_connection_closes_on_slow_header() {
    let mut server = start_server();
    sleep(Duration::from_secs(9)).await;
    server.peer.write_all(&HEADER[..9]).await.unwrap();
    let began = Instant::now();
    // Further bytes do not extend the timeout of the complete header.
    sleep(Duration::from_secs(2)).await;
    server.peer.write_all(&HEADER[9..12]).await.unwrap();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 3);
}

/// The idle timeout must not run while a request is processed; it starts when the response has been
/// sent.
#[tokio::test(start_paused = true)]
async fn serve_connection_idle_timeout_starts_after_response() {
    let mut server = start_server();
    for _ in 0..2 {
        server.peer.write_all(HEADER).await.unwrap();
        read_response(&mut server.peer).await;
        sleep(Duration::from_secs(8)).await;
    }
    assert!(!server.serving.is_finished());
    let began = Instant::now();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 2);
}

#[tokio::test(start_paused = true)]
async fn serve_connection_applies_changed_limits() {
    let server = start_server();
    let began = Instant::now();
    sleep(Duration::from_secs(1)).await;
    server
        .limits
        .send_modify(|limits| limits.idle_timeout = Duration::from_secs(30));
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 30);
}

/// A graceful shutdown waits for the response to a request that has been received.
#[tokio::test(start_paused = true)]
async fn serve_connection_stops_after_response() {
    let mut server = start_server();
    server.peer.write_all(HEADER).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    server.stop.send_replace(true);
    let response = read_response(&mut server.peer).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    server.serving.await.unwrap();
}

/// Guards against a response that is cut at the idle timeout while its peer still reads.
#[tokio::test(start_paused = true)]
async fn serve_connection_peer_reads_slowly() {
    let server = start_server_with("x".repeat(1 << 20), 1_024);
    let mut peer = server.peer;
    peer.write_all(HEADER).await.unwrap();
    sleep(PROCESSING_TIME + Duration::from_secs(1)).await;
    server
        .limits
        .send_modify(|limits| limits.idle_timeout = Duration::from_secs(1));
    let mut length = 0;
    while length < 1 << 20 {
        // Longer than the idle timeout, and shorter than the time for which a peer may read nothing.
        if length % (256 * 1_024) == 0 {
            sleep(Duration::from_secs(12)).await;
        }
        let mut buffer = [0; 1_024];
        let read = peer.read(&mut buffer).await.unwrap();
        assert!(read > 0, "closed after {length} bytes");
        length += buffer[..read].iter().filter(|byte| **byte == b'x').count();
    }
}

/// A peer that reads nothing must not keep its connection for ever.
#[tokio::test(start_paused = true)]
async fn serve_connection_peer_reads_nothing() {
    let mut server = start_server_with("x".repeat(1 << 20), 1_024);
    server.peer.write_all(HEADER).await.unwrap();
    let began = Instant::now();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 40 + 15);
}

/// Guards against a request that is lost because the server stops while its header arrives.
#[tokio::test(start_paused = true)]
async fn serve_connection_stops_amid_header() {
    let mut server = start_server();
    for is_first in [true, false] {
        server.peer.write_all(&HEADER[..9]).await.unwrap();
        sleep(Duration::from_secs(1)).await;
        if !is_first {
            server.stop.send_replace(true);
            sleep(Duration::from_secs(1)).await;
        }
        server.peer.write_all(&HEADER[9..]).await.unwrap();
        let response = read_response(&mut server.peer).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    server.serving.await.unwrap();
}

/// Guards against a request that is lost because its connection was accepted during the shutdown.
#[tokio::test(start_paused = true)]
async fn serve_connection_accepted_after_stop() {
    let mut server = start_server();
    server.stop.send_replace(true);
    sleep(Duration::from_millis(100)).await;
    server.peer.write_all(HEADER).await.unwrap();
    let response = read_response(&mut server.peer).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(
        response.to_ascii_lowercase().contains("connection: close"),
        "{response}"
    );
    server.serving.await.unwrap();
}

/// A connection without a request must not hold up the shutdown.
#[tokio::test(start_paused = true)]
async fn serve_connection_unused_after_stop() {
    let server = start_server();
    server.stop.send_replace(true);
    let began = Instant::now();
    server.serving.await.unwrap();
    assert!(began.elapsed() < Duration::from_secs(1));
}
