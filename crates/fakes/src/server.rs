//! HTTP server of a fake service.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{
    Request,
    Response, //
};
use tokio::sync::watch;
use web::{
    ResponseBody,
    ServerLimits,
    listen,
    serve, //
};

const MAX_CONNECTIONS: usize = 8_192;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Handle to a running server. Dropping the handle stops the server.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    pub(crate) address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

/// Starts a server on `address`. Port 0 selects a free port.
pub(crate) async fn start_server<F, R>(
    address: SocketAddr,
    handler: F,
) -> std::io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let limits = ServerLimits::fixed(MAX_CONNECTIONS, IDLE_TIMEOUT);
    tokio::spawn(serve(listener, limits, stopped, handler));
    Ok(ServerHandle { address, stop })
}
