//! HTTP server for health checks and metrics.
//!
//! Its port also prevents a second side process on the same instance from starting.

use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Duration;

use snafu::ResultExt;
use tiny_http::{
    Request,
    Response,
    Server, //
};

use crate::SideError;
use crate::error::ListenSnafu;
use crate::state::SideShared;

/// Interval at which the server thread checks whether it must stop.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Server for health checks and metrics, which runs in its own thread until dropped.
pub(crate) struct OperationsServer {
    pub(crate) address: SocketAddr,
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
}

impl Drop for OperationsServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.server.unblock();
    }
}

/// Binds the port, which fails while another side process of this instance runs.
pub(crate) fn bind_operations_port(address: SocketAddr) -> Result<TcpListener, SideError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

/// Starts the server on a bound port.
pub(crate) fn start_operations_server(
    listener: TcpListener,
    shared: Arc<SideShared>,
) -> Result<OperationsServer, SideError> {
    let operations_error = |reason: String| SideError::Operations { reason };
    let address = listener
        .local_addr()
        .map_err(|error| operations_error(error.to_string()))?;
    let server = Server::from_listener(listener, None);
    let server = Arc::new(server.map_err(|error| operations_error(error.to_string()))?);
    let serving_server = server.clone();
    let stopped = Arc::new(AtomicBool::new(false));
    let flag = stopped.clone();
    let serve = move || {
        while !flag.load(Ordering::Relaxed) {
            if let Ok(Some(request)) = serving_server.recv_timeout(STOP_POLL_PERIOD) {
                respond(&shared, request);
            }
        }
    };
    let name = "operations".to_owned();
    let spawned = std::thread::Builder::new().name(name).spawn(serve);
    spawned.map_err(|error| operations_error(error.to_string()))?;
    Ok(OperationsServer {
        address,
        server,
        stopped,
    })
}

fn respond(shared: &SideShared, request: Request) {
    let (status, text) = match request.url() {
        "/healthz" => (200, "ok\n".to_owned()),
        "/readyz" => {
            let state = shared.lock();
            let ready = !state.is_draining() && (state.engine_up || !shared.is_engine());
            if ready {
                (200, "ready\n".to_owned())
            } else {
                (503, "not ready\n".to_owned())
            }
        }
        "/metrics" => (200, shared.metrics.to_text()),
        _ => (
            404,
            "not found; ask for /healthz, /readyz or /metrics\n".to_owned(),
        ),
    };
    // The client may have disconnected.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
