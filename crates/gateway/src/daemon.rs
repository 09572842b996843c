//! Start, reload and graceful shutdown of a gateway.

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
use crate::accounts::config_pull::pull_configurations;
use crate::accounts::config_server::serve_configurations;
use crate::drain::BALANCER_NOTICE_TIME;
use crate::error::ListenSnafu;
use crate::load_exchange::{
    receive_load_reports,
    send_load_reports, //
};
use crate::readiness::{
    answer_metrics,
    answer_readiness, //
};
use crate::serve::serve_request;
use crate::servers::backend_entries::expire_backends;
use crate::servers::cache_lists::follow_caches;
use crate::servers::stages::plan_stages;
use crate::shared::GatewayShared;
use crate::store::membership::maintain_leases;
use crate::store::store_watch::watch_store;
use crate::suspects::suspect_store::write_suspects;
use crate::tokens::token_exchange::exchange_tokens;
use crate::usage::usage_exchange::{
    send_usage,
    tell_receivers, //
};
use crate::usage::usage_reports::report_usage;
use crate::versions::origin_store::write_origins;

/// Time between the latest exit of the gateway and the SIGKILL at the end of the grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);
/// Time in which requests that the end of the grace period cuts log their ends.
const CUT_LOG_TIME: Duration = Duration::from_millis(20);
/// Number of file descriptors reserved for backend servers, the store and files.
const RESERVED_DESCRIPTORS: u32 = 1_200;

/// A running gateway.
pub struct GatewayDaemon {
    shared: Arc<GatewayShared>,
    address: SocketAddr,
    server: JoinHandle<()>,
    server_stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Returns the maximum number of connections of a server: all file descriptors but the reserved ones,
/// or half of all if that is more.
fn connection_limit(settings: &GatewaySettings) -> usize {
    let half = settings.descriptors / 2;
    let unreserved = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    unreserved.max(half) as usize
}

/// Starts an HTTP server. Returns its address, its task and the sender that stops it.
fn start_server<F, R>(
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
    /// Binds all addresses and starts the servers and background tasks.
    pub async fn start(settings: GatewaySettings, log: LogSink) -> Result<Self, GatewayError> {
        let (listen, readiness, metrics) = (settings.listen, settings.readiness, settings.metrics);
        let shared = Arc::new(GatewayShared::new(settings, log));
        let (_, ready_server, ready_stop) = start_server(&shared, readiness, answer_readiness)?;
        let (_, metric_server, metric_stop) = start_server(&shared, metrics, answer_metrics)?;
        let (address, server, server_stop) = start_server(&shared, listen, serve_request)?;
        let exchange = shared.settings.peer_address;
        let socket = UdpSocket::bind(exchange).await;
        let socket = Arc::new(socket.context(ListenSnafu { address: exchange })?);
        let _ = shared.exchange_socket.set(socket.clone());
        // A server stops when the sender of its stop signal is dropped, so this task owns the senders.
        let stop_signals_task = tokio::spawn(async move {
            let _stops = (ready_stop, metric_stop);
            std::future::pending::<()>().await;
        });
        let tasks = vec![
            ready_server,
            metric_server,
            stop_signals_task,
            tokio::spawn(watch_store(shared.clone())),
            tokio::spawn(serve_configurations(shared.clone())),
            tokio::spawn(pull_configurations(shared.clone())),
            tokio::spawn(expire_backends(shared.clone())),
            tokio::spawn(maintain_leases(shared.clone())),
            tokio::spawn(write_suspects(shared.clone())),
            tokio::spawn(write_origins(shared.clone())),
            tokio::spawn(plan_stages(shared.clone())),
            tokio::spawn(follow_caches(shared.clone())),
            tokio::spawn(send_load_reports(shared.clone(), socket.clone())),
            tokio::spawn(exchange_tokens(shared.clone(), socket.clone())),
            tokio::spawn(receive_load_reports(shared.clone(), socket)),
            tokio::spawn(send_usage(shared.clone())),
            tokio::spawn(report_usage(shared.clone())),
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

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies the grace period and the retry limits of changed settings. Other settings take effect
    /// only on a restart. Invalid settings are logged and change nothing.
    pub fn reload(&self, settings: Result<GatewaySettings, ConfError>) {
        let record = match settings {
            Ok(settings) => {
                let current = &self.shared.settings;
                let needs_restart =
                    settings.listen != current.listen || settings.store != current.store;
                self.shared.apply_settings(&settings);
                DecisionRecord::new(DecisionKind::Process, "settings reloaded")
                    .input("grace_s", settings.grace_s)
                    .input("repeat_allowance", settings.retry_allowance)
                    .input("needs_restart", needs_restart)
            }
            Err(error) => DecisionRecord::new(DecisionKind::Process, error.to_string()).failure(),
        };
        self.shared.log.write(record);
    }

    /// Shuts the gateway down gracefully. It reports that it is not ready, accepts connections until
    /// the load balancer has noticed, and completes in-flight requests within the grace period. Those
    /// that it cannot complete are told so.
    pub async fn stop(mut self) {
        let record = DecisionRecord::new(DecisionKind::Process, "stopping");
        self.shared.log.write(record);
        let grace = self.shared.start_drain();
        let notice_time = BALANCER_NOTICE_TIME.min(grace / 2);
        sleep(notice_time).await;
        self.server_stop.send_replace(true);
        let remaining = grace.saturating_sub(notice_time + SHUTDOWN_MARGIN);
        let all_answered = timeout(remaining, &mut self.server).await.is_ok();
        if !all_answered {
            // Only answers that have begun are cut. They log their ends before the gateway exits.
            self.shared.start_cutting();
            self.server.abort();
            sleep(CUT_LOG_TIME).await;
        }
        if let Some(usage) = &self.shared.usage {
            tell_receivers(&self.shared, usage);
        }
        for task in &self.tasks {
            task.abort();
        }
        let record = DecisionRecord::new(DecisionKind::Process, "stopped");
        self.shared
            .log
            .write(record.input("all_answered", all_answered));
        self.shared.log.flush();
    }
}
