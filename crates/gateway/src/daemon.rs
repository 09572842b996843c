//! Starts and stops a gateway.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::{
    ConfError,
    GatewaySettings, //
};
use hyper::body::Incoming;
use hyper::{
    Request,
    Response, //
};
use logs::{
    DecisionKind,
    DecisionRecord,
    LogSink, //
};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use web::{
    ResponseBody,
    ServerLimits,
    listen,
    serve, //
};

use crate::GatewayError;
use crate::error::ListenSnafu;
use crate::exchange::{
    receive_shares,
    send_shares, //
};
use crate::follow::{
    expire_backends,
    follow_store, //
};
use crate::members::follow_members;
use crate::readiness::{
    answer_metrics,
    answer_readiness, //
};
use crate::serve::serve_request;
use crate::shared::GatewayShared;
use crate::stages::plan_stages;

/// Time during which a stopping gateway takes what still arrives: the balancer asks once a second
/// and turns away after two answers.
const LEAVE_TIME: Duration = Duration::from_millis(2_300);
/// Time before SIGKILL by which the gateway ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// Descriptors kept for backend servers, the store and files.
const OWN_DESCRIPTORS: u32 = 1_200;

/// A running gateway.
pub struct GatewayDaemon {
    shared: Arc<GatewayShared>,
    address: SocketAddr,
    server: JoinHandle<()>,
    server_stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

fn connection_limit(settings: &GatewaySettings) -> usize {
    let half = settings.descriptors / 2;
    let rest = settings.descriptors.saturating_sub(OWN_DESCRIPTORS);
    rest.max(half) as usize
}

fn serve_on<F, R>(
    shared: &Arc<GatewayShared>,
    address: SocketAddr,
    handler: F,
) -> Result<(SocketAddr, JoinHandle<()>, watch::Sender<bool>), GatewayError>
where
    F: Fn(Arc<GatewayShared>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = listen(address).context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let (stop, stopped) = watch::channel(false);
    let limits = ServerLimits {
        max_connections: connection_limit(&shared.settings),
        connection_limits: shared.connection_limits.subscribe(),
    };
    let shared = shared.clone();
    let handle = move |request| handler(shared.clone(), request);
    let server = tokio::spawn(serve(listener, limits, stopped, handle));
    Ok((address, server, stop))
}

impl GatewayDaemon {
    /// Takes its addresses and starts to serve.
    pub async fn start(settings: GatewaySettings, log: LogSink) -> Result<Self, GatewayError> {
        let (listen, readiness, metrics) = (settings.listen, settings.readiness, settings.metrics);
        let shared = Arc::new(GatewayShared::new(settings, log));
        let (_, ready_server, ready_stop) = serve_on(&shared, readiness, answer_readiness)?;
        let (_, metric_server, metric_stop) = serve_on(&shared, metrics, answer_metrics)?;
        let (address, server, server_stop) = serve_on(&shared, listen, serve_request)?;
        let exchange = shared.settings.peer_address;
        let socket = UdpSocket::bind(exchange).await;
        let socket = Arc::new(socket.context(ListenSnafu { address: exchange })?);
        // Their stop signals live as long as the tasks that hold them.
        let keep_alive = tokio::spawn(async move {
            let _stops = (ready_stop, metric_stop);
            std::future::pending::<()>().await;
        });
        let tasks = vec![
            ready_server,
            metric_server,
            keep_alive,
            tokio::spawn(follow_store(shared.clone())),
            tokio::spawn(expire_backends(shared.clone())),
            tokio::spawn(follow_members(shared.clone())),
            tokio::spawn(plan_stages(shared.clone())),
            tokio::spawn(send_shares(shared.clone(), socket.clone())),
            tokio::spawn(receive_shares(shared.clone(), socket)),
        ];
        let record = DecisionRecord::new(DecisionKind::Process, "started").chosen(address);
        shared.log.write(record);
        Ok(Self {
            shared,
            address,
            server,
            server_stop,
            tasks,
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes changed settings: the grace period and the bounds on further sends. Addresses and names
    /// hold until the next start; settings that are refused change nothing.
    pub fn reload(&self, settings: Result<GatewaySettings, ConfError>) {
        let record = match settings {
            Ok(settings) => {
                let before = &self.shared.settings;
                let moved = settings.listen != before.listen || settings.store != before.store;
                self.shared.tune(&settings);
                DecisionRecord::new(DecisionKind::Process, "settings read again")
                    .input("grace_s", settings.grace_s)
                    .input("repeat_allowance", settings.retry_allowance)
                    .input("needs_restart", moved)
            }
            Err(error) => DecisionRecord::new(DecisionKind::Process, error.to_string()).failure(),
        };
        self.shared.log.write(record);
    }

    /// Says that it is not ready, takes what still arrives, finishes what runs, then ends.
    pub async fn stop(self) {
        let record = DecisionRecord::new(DecisionKind::Process, "stopping");
        self.shared.log.write(record);
        self.shared.lock().left_at = Some(Instant::now());
        let grace = self.shared.lock().grace;
        let leave = LEAVE_TIME.min(grace / 2);
        sleep(leave).await;
        self.server_stop.send_replace(true);
        let rest = grace.saturating_sub(leave + GRACE_MARGIN);
        let finished = timeout(rest, self.server).await.is_ok();
        for task in &self.tasks {
            task.abort();
        }
        let record = DecisionRecord::new(DecisionKind::Process, "stopped");
        self.shared
            .log
            .write(record.input("all_answered", finished));
        self.shared.log.flush();
    }
}
