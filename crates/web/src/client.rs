//! One HTTP exchange on a connection of its own.

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

use crate::WebError;
use crate::body::read_body;
use crate::channel::start_exchange;
use crate::error::{
    BuildSnafu,
    ConnectSnafu,
    ExchangeSnafu, //
};

/// A request to a server by its address.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method of the request.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers beside the ones that HTTP needs.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the request.
    pub body: Bytes,
}

impl HttpCall {
    /// A request without headers of its own.
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

/// A reply that was read whole.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Body of the reply.
    pub body: Bytes,
}

/// Sends a request and gives the reply with its body still to be read.
pub async fn open_call(call: HttpCall, time: Duration) -> Result<Response<Incoming>, WebError> {
    let opening = open_untimed(call);
    let opened = tokio::time::timeout(time, opening).await;
    opened.unwrap_or(Err(WebError::Timeout))
}

async fn open_untimed(call: HttpCall) -> Result<Response<Incoming>, WebError> {
    let address = call.address;
    let stream = TcpStream::connect(address).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let mut sender = start_exchange(address, stream).await?;
    let mut builder = Request::builder().method(call.method).uri(&call.path);
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        builder = builder.header("host", address.to_string());
    }
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    let request = builder.body(Full::new(call.body)).context(BuildSnafu)?;
    sender.send_request(request).await.context(ExchangeSnafu)
}

/// Sends a request and reads the reply whole.
pub async fn send_call(
    call: HttpCall,
    limit: usize,
    time: Duration,
) -> Result<HttpReply, WebError> {
    let exchange = async {
        let reply = open_untimed(call).await?;
        let (parts, body) = reply.into_parts();
        let body = read_body(body, limit, time).await?;
        Ok(HttpReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    let done = tokio::time::timeout(time, exchange).await;
    done.unwrap_or(Err(WebError::Timeout))
}
