//! Client connections and a pool that reuses them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{
    Builder,
    SendRequest, //
};
use hyper::{
    Request,
    Response, //
};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::WebError;
use crate::connection_watch::{
    ConnectionWatch,
    WatchedStream, //
};
use crate::error::{
    ConnectSnafu,
    ExchangeSnafu,
    check_status, //
};
use crate::observed_stream::ObservedStream;
use crate::read_budget::ReadBudget;

/// Idle time before the first TCP keepalive probe, and the interval between probes. A peer that is
/// gone is detected within about 2.5 seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum time for which sent data may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the read buffer, which limits the head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Number of bytes that may be read before the head of a response ends, interim responses and read-ahead
/// included.
pub(crate) const HEAD_BUDGET_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Number of bytes that may be read of a response, framing included.
pub(crate) const RESPONSE_BUDGET_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// HTTP/1.1 client connection, which carries one request at a time.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    read_budget: ReadBudget,
    watch: ConnectionWatch,
    /// Whether the connection comes from the pool, so that the server may have closed it meanwhile.
    pub is_reused: bool,
    /// Start of the server's process in milliseconds since the Unix epoch, once it has been asked for on
    /// this connection.
    pub checked_process: Option<u64>,
}

/// Failure to get a response on a connection.
#[derive(Debug)]
pub enum SendFailure {
    /// No part of the request was sent.
    Unsent(WebError),
    /// The request was sent at least in part and may have been processed.
    MaybeSent(WebError),
}

impl ClientConnection {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, WebError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connecting.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
        let stream = stream.context(ConnectSnafu { address })?;
        let started = start_connection(address, stream).await?;
        Ok(Self {
            address,
            sender: started.sender,
            read_budget: started.read_budget,
            watch: started.watch,
            is_reused: false,
            checked_process: None,
        })
    }

    /// Returns whether the server has answered on this connection, so that it may have more to say to an
    /// earlier request.
    pub fn has_answered(&self) -> bool {
        self.is_reused || self.checked_process.is_some()
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what is observed of the connection.
    pub fn watch(&self) -> &ConnectionWatch {
        &self.watch
    }

    /// Sends a request and waits for the response header.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if let Err(source) = self.sender.ready().await {
            return Err(SendFailure::Unsent(WebError::Exchange { source }));
        }
        self.read_budget.set(HEAD_BUDGET_BYTES);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.read_budget.set(RESPONSE_BUDGET_BYTES);
                check_status(&response).map_err(SendFailure::MaybeSent)?;
                Ok(response)
            }
            Err(mut failure) => {
                let unsent = failure.take_message().is_some();
                let source = failure.into_error();
                let error = WebError::Exchange { source };
                Err(if unsent {
                    SendFailure::Unsent(error)
                } else {
                    SendFailure::MaybeSent(error)
                })
            }
        }
    }
}

/// Connection whose driver has been started.
pub(crate) struct StartedConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) read_budget: ReadBudget,
    pub(crate) watch: ConnectionWatch,
}

/// Performs the HTTP handshake on a new TCP stream and spawns the task that drives the connection.
pub(crate) async fn start_connection(
    address: SocketAddr,
    stream: TcpStream,
) -> Result<StartedConnection, WebError> {
    set_socket_options(&stream).context(ConnectSnafu { address })?;
    let watch = ConnectionWatch::default();
    let stream = WatchedStream {
        stream,
        watch: watch.clone(),
    };
    let budget = ReadBudget::default();
    budget.set(HEAD_BUDGET_BYTES);
    let read_budget = budget.clone();
    let stream = ObservedStream {
        stream,
        observe_read: move |bytes| read_budget.charge(bytes),
        observe_write: |_| (),
    };
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let started = builder.handshake(TokioIo::new(stream)).await;
    let (sender, driver) = started.context(ExchangeSnafu)?;
    tokio::spawn(driver);
    Ok(StartedConnection {
        sender,
        read_budget: budget,
        watch,
    })
}

/// Sets the socket options that detect an unreachable peer.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    expires_at: Instant,
}

/// Pool of idle connections by address. The most recently used connection is reused first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Removes an idle connection that is still open from the pool and returns it.
    pub fn acquire(&mut self, now: Instant, address: SocketAddr) -> Option<ClientConnection> {
        let idle = self.idle.get_mut(&address)?;
        idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        let position = idle
            .iter()
            .rposition(|entry| entry.connection.sender.is_ready())?;
        let mut connection = idle.remove(position).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns whether an idle connection to an address is open and fits.
    pub fn has_open(
        &self,
        now: Instant,
        address: SocketAddr,
        fits: impl Fn(&ClientConnection) -> bool,
    ) -> bool {
        let idle = self.idle.get(&address).into_iter().flatten();
        let mut open = idle
            .filter(|entry| entry.expires_at > now && !entry.connection.sender.is_closed())
            .map(|entry| &entry.connection);
        open.any(fits)
    }

    /// Returns a connection to the pool, where it can be reused until `expires_at`.
    pub fn release(&mut self, connection: ClientConnection, expires_at: Instant) {
        let idle = self.idle.entry(connection.address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Drops connections that have expired or were closed by the server.
    pub fn remove_expired(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
