//! HTTP client that opens a new connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::WebError;
use crate::body::{
    is_framed,
    read_body, //
};
use crate::connection::{
    HEAD_BUDGET_BYTES,
    RESPONSE_BUDGET_BYTES,
    start_connection, //
};
use crate::connection_watch::ConnectionWatch;
use crate::error::{
    BuildSnafu,
    ConnectSnafu,
    ExchangeSnafu,
    check_status, //
};

/// Time in which a peer that has closed a connection resets it, since data of the request still arrives.
const RESET_TIME: Duration = Duration::from_millis(30);

/// Request to a server at a socket address.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Server address.
    pub address: SocketAddr,
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Additional headers. `host` is set from the address unless it is among them.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request with an empty body and no additional headers.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// Response whose body was read completely.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Sends a request and returns the response as soon as its header arrives, with the body unread.
pub async fn open_response(
    request: HttpRequest,
    timeout: Duration,
) -> Result<Response<Incoming>, WebError> {
    let sending = open_without_timeout(request, RESPONSE_BUDGET_BYTES);
    let sent = tokio::time::timeout(timeout, sending).await;
    let (response, _) = sent.unwrap_or(Err(WebError::Timeout))?;
    Ok(response)
}

async fn open_without_timeout(
    request: HttpRequest,
    budget_bytes: usize,
) -> Result<(Response<Incoming>, ConnectionWatch), WebError> {
    let address = request.address;
    let stream = TcpStream::connect(address).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let mut connection = start_connection(address, stream).await?;
    let mut builder = Request::builder().method(request.method).uri(&request.path);
    if !request.headers.iter().any(|(name, _)| *name == "host") {
        builder = builder.header("host", address.to_string());
    }
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    let request = builder.body(Full::new(request.body)).context(BuildSnafu)?;
    let sent = connection.sender.send_request(request).await;
    let response = sent.context(ExchangeSnafu)?;
    check_status(&response)?;
    connection.read_budget.set(budget_bytes);
    Ok((response, connection.watch))
}

/// Sends a request and reads the complete response.
pub async fn send_request(
    request: HttpRequest,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<HttpResponse, WebError> {
    let exchange = async {
        // Chunks of a few bytes at least double the size of a body.
        let budget_bytes = HEAD_BUDGET_BYTES + 2 * limit_bytes;
        let has_body = !request.body.is_empty();
        let (response, watch) = open_without_timeout(request, budget_bytes).await?;
        let (parts, body) = response.into_parts();
        // A request without a body has arrived before its response.
        let is_watched = has_body && !is_framed(&parts);
        if is_watched {
            watch.keep_socket();
        }
        let body = read_body(body, limit_bytes, timeout).await?;
        if is_watched {
            sleep(RESET_TIME).await;
            if watch.was_reset() {
                return Err(WebError::Reset);
            }
        }
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    let done = tokio::time::timeout(timeout, exchange).await;
    done.unwrap_or(Err(WebError::Timeout))
}
