//! TCP listener with a long accept queue.

use std::net::SocketAddr;

use tokio::net::{
    TcpListener,
    TcpSocket, //
};

/// Length of the accept queue. When the queue is full, the kernel drops connection attempts and
/// clients lose a second until they retry.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Opens a TCP listener. With port 0 the kernel picks a free port.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
