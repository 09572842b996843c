//! Servers that send bytes without end, to the clients of stores, engines and plain services.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Method;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use web::{
    HttpRequest,
    open_response,
    send_request, //
};

/// Size limit of the responses that the client accepts.
const LIMIT_BYTES: usize = 64 * 1024;
/// Number of bytes that a server may send for one response, what lies in the buffers of the sockets
/// included.
const MAX_SENT_BYTES: usize = 24 << 20;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that sends the same part without end, and returns the number of bytes it sent until
/// the client closed the connection.
async fn start_server(start: &'static str, part: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 16];
        stream.read_exact(&mut request).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let parts = part.repeat(16_384 / part.len() + 1);
        let mut sent = 0;
        while stream.write_all(parts.as_bytes()).await.is_ok() {
            sent += parts.len();
        }
        sent
    });
    (address, serving)
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against each place of a response in which bytes may come without end.
#[tokio::test]
async fn send_request_endless_response() {
    let cases = [
        ("HTTP/1.1 200 ", "OK and so on "),
        ("HTTP/1.1 200 OK\r\nx-long: ", "value "),
        ("HTTP/1.1 200 OK\r\n", "x-more: value\r\n"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "body "),
        (CHUNKED, "1\r\nx\r\n"),
        (CHUNKED, "1;ext=aaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x-more: value\r\n",
        ),
    ];
    for (start, part) in cases {
        let (address, serving) = start_server(start, part).await;
        let request = HttpRequest::new(address, Method::GET, "/");
        let result = send_request(request, LIMIT_BYTES, TIMEOUT).await;
        let error = result.expect_err(part);
        assert!(error.is_malformed(), "{part:?}: {error}");
        let sent = serving.await.unwrap();
        assert!(sent < MAX_SENT_BYTES, "{part:?}: {sent} bytes");
    }
}

/// Guards against a stream that an engine sends without end.
#[tokio::test]
async fn open_response_endless_stream() {
    let (address, serving) = start_server(CHUNKED, "4\r\n: a\n\r\n").await;
    let request = HttpRequest::new(address, Method::GET, "/");
    let response = open_response(request, TIMEOUT).await.unwrap();
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    drop(body);
    let sent = serving.await.unwrap();
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes");
}
