//! Listeners with room for a burst of connections.

use std::net::SocketAddr;

use tokio::net::{
    TcpListener,
    TcpSocket, //
};

/// Connections that may wait to be accepted; beyond it the kernel drops them and callers lose the
/// second until they try again.
const BACKLOG: u32 = 4_096;

/// Listens on an address; port 0 lets the kernel pick one.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
