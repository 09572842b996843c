//! Health checks and metrics for the platform, on a port that also keeps out a second process.

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

const STOP_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Serves operations in a thread of its own until dropped.
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

/// Takes the port, which fails while another side process of this instance holds it.
pub(crate) fn bind_operations_port(address: SocketAddr) -> Result<TcpListener, SideError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

/// Starts the server on the port that was taken.
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
    // Whoever asked may have gone away.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
