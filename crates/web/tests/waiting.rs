//! How long a connection may keep its server waiting, on a clock that tests move.

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
    ConnectionBounds,
    bytes_body,
    serve_stream, //
};

const HEAD: &[u8] = b"GET /one HTTP/1.1\r\nhost: shop.example\r\n\r\n";
const SERVICE_TIME: Duration = Duration::from_secs(40);

struct TestServer {
    peer: DuplexStream,
    bounds: watch::Sender<ConnectionBounds>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

fn start() -> TestServer {
    let (peer, stream) = duplex(64 * 1024);
    let (bounds, followed) = watch::channel(ConnectionBounds {
        header_bytes: 16_384,
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(10),
    });
    let (stop, stopped) = watch::channel(false);
    let serving = tokio::spawn(serve_stream(stream, followed, stopped, |_| async {
        sleep(SERVICE_TIME).await;
        Response::new(bytes_body("done"))
    }));
    TestServer {
        peer,
        bounds,
        stop,
        serving,
    }
}

async fn read_answer(peer: &mut DuplexStream) -> String {
    let mut text = String::new();
    while !text.ends_with("done") {
        text.push(peer.read_u8().await.unwrap() as char);
    }
    text
}

#[tokio::test(start_paused = true)]
async fn connection_without_request_ends_when_idle() {
    let server = start();
    let began = Instant::now();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 10);
}

#[tokio::test(start_paused = true)]
async fn connection_with_slow_head_ends() {
    let mut server = start();
    sleep(Duration::from_secs(9)).await;
    server.peer.write_all(&HEAD[..9]).await.unwrap();
    let began = Instant::now();
    // A byte now and then does not prolong the time for the whole head.
    sleep(Duration::from_secs(2)).await;
    server.peer.write_all(&HEAD[9..12]).await.unwrap();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 3);
}

/// A long answer is not idleness, and the time begins when it is out.
#[tokio::test(start_paused = true)]
async fn connection_idle_after_its_answer() {
    let mut server = start();
    for _ in 0..2 {
        server.peer.write_all(HEAD).await.unwrap();
        read_answer(&mut server.peer).await;
        sleep(Duration::from_secs(8)).await;
    }
    assert!(!server.serving.is_finished());
    let began = Instant::now();
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 2);
}

#[tokio::test(start_paused = true)]
async fn connection_follows_changed_bounds() {
    let server = start();
    let began = Instant::now();
    sleep(Duration::from_secs(1)).await;
    server
        .bounds
        .send_modify(|bounds| bounds.idle_time = Duration::from_secs(30));
    server.serving.await.unwrap();
    assert_eq!(began.elapsed().as_secs(), 30);
}

/// A stop waits for the answer of a request that has been read.
#[tokio::test(start_paused = true)]
async fn connection_stops_after_its_answer() {
    let mut server = start();
    server.peer.write_all(HEAD).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    server.stop.send_replace(true);
    let answer = read_answer(&mut server.peer).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    server.serving.await.unwrap();
}
