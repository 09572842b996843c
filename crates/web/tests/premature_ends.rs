//! Responses whose connection is reset while their request is still written.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hyper::Method;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpListener;
use tokio::time::sleep;
use web::{
    HttpRequest,
    HttpResponse,
    WebError,
    send_request, //
};

const LIMIT_BYTES: usize = 1_000;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request to a server that answers without a length when it has read some bytes of the body, ends its
/// direction, and closes the connection 5 ms later.
async fn send(request_bytes: usize, read_bytes: usize) -> Result<HttpResponse, WebError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let mut received = vec![0; read_bytes];
        stream.read_exact(&mut received).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\n\r\npart";
        stream.write_all(answer).await.unwrap();
        stream.shutdown().await.unwrap();
        sleep(Duration::from_millis(5)).await;
    });
    let request = HttpRequest::new(address, Method::POST, "/call").body(vec![b'x'; request_bytes]);
    send_request(request, LIMIT_BYTES, TIMEOUT).await
}

/// Guards against a part of a response as a whole one when the server closes the connection amid the request.
#[tokio::test]
async fn send_request_closed_amid_request() {
    // The first fits into the buffers of the connection, the second does not.
    for request_bytes in [1_000_000, 12_000_000] {
        let sent = send(request_bytes, 1_000).await;
        assert!(
            matches!(sent, Err(WebError::Reset)),
            "{request_bytes}: {sent:?}"
        );
    }
}

/// Guards against whole responses that are lost since they end with their connection.
#[tokio::test]
async fn send_request_closed_after_request() {
    for request_bytes in [0, 100, 1_000_000] {
        let response = send(request_bytes, request_bytes).await.unwrap();
        assert_eq!(response.body, "part", "{request_bytes}");
    }
}
