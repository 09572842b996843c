//! Connections to servers that are kept and used again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{
    SendRequest,
    handshake, //
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
use crate::error::{
    ConnectSnafu,
    ExchangeSnafu, //
};

/// Quiet time after which a connection is probed, and the pause between probes: a peer that has
/// vanished is noticed within about two and a half seconds.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBE_COUNT: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const ACK_TIME: Duration = Duration::from_millis(1_500);
/// Idle connections kept for one address.
const IDLE_LIMIT: usize = 64;

/// A connection that serves one request at a time.
#[derive(Debug)]
pub struct OpenChannel {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether it has served a request before.
    pub is_reused: bool,
}

/// Why a request was not answered on a connection.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing of it was sent.
    Unsent(WebError),
    /// It may have run.
    Broken(WebError),
}

impl OpenChannel {
    /// Opens a connection within a time.
    pub async fn connect(address: SocketAddr, time: Duration) -> Result<Self, WebError> {
        let opening = tokio::time::timeout(time, TcpStream::connect(address)).await;
        let stream = opening.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
        let stream = stream.context(ConnectSnafu { address })?;
        Ok(Self {
            address,
            sender: start_exchange(address, stream).await?,
            is_reused: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if let Err(source) = self.sender.ready().await {
            return Err(SendFailure::Unsent(WebError::Exchange { source }));
        }
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut failure) => {
                let unsent = failure.take_message().is_some();
                let source = failure.into_error();
                let error = WebError::Exchange { source };
                Err(if unsent {
                    SendFailure::Unsent(error)
                } else {
                    SendFailure::Broken(error)
                })
            }
        }
    }
}

/// Makes a connection ready for requests and drives it until it is closed.
pub(crate) async fn start_exchange(
    address: SocketAddr,
    stream: TcpStream,
) -> Result<SendRequest<Full<Bytes>>, WebError> {
    set_options(&stream).context(ConnectSnafu { address })?;
    let started = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = started.context(ExchangeSnafu)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sets the options by which a peer that has vanished is noticed.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIME))
}

#[derive(Debug)]
struct IdleChannel {
    channel: OpenChannel,
    until: Instant,
}

/// Idle connections by address, the latest used first.
#[derive(Debug, Default)]
pub struct ChannelPool {
    idle: BTreeMap<SocketAddr, Vec<IdleChannel>>,
}

impl ChannelPool {
    /// Takes an idle connection that still stands.
    pub fn take(&mut self, now: Instant, address: SocketAddr) -> Option<OpenChannel> {
        let idle = self.idle.get_mut(&address)?;
        idle.retain(|kept| kept.until > now && !kept.channel.sender.is_closed());
        let ready = idle
            .iter()
            .rposition(|kept| kept.channel.sender.is_ready())?;
        let mut channel = idle.remove(ready).channel;
        channel.is_reused = true;
        Some(channel)
    }

    /// Keeps a connection for later requests until a moment.
    pub fn give_back(&mut self, channel: OpenChannel, until: Instant) {
        let idle = self.idle.entry(channel.address).or_default();
        if idle.len() < IDLE_LIMIT {
            idle.push(IdleChannel { channel, until });
        }
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.until > now && !kept.channel.sender.is_closed());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
