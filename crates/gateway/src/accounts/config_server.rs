//! Hands the configuration in force to peers that ask for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{
    Response,
    StatusCode, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use prost::Message;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{
    sleep,
    timeout, //
};
use web::{
    ResponseBody,
    ServerLimits,
    bytes_body,
    json_response,
    listen,
    serve_connection, //
};
use wire::ConfigCopy;

use crate::accounts::config_sharing::record_stranger;
use crate::shared::GatewayShared;

/// Path of the configuration.
pub(crate) const CONFIG_PATH: &str = "/configuration";
/// Maximum number of peers that are served at a time, each with a copy of the document.
const MAX_READERS: usize = 8;
/// Maximum time of one connection.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the address could not be bound or a connection not accepted.
const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Serves peers as soon as configurations are shared, until aborted.
pub(crate) async fn serve_configurations(shared: Arc<GatewayShared>) {
    let mut sharing = shared.shares_configs.subscribe();
    if sharing.wait_for(|is_shared| *is_shared).await.is_err() {
        return;
    }
    let listener = bind_listener(&shared).await;
    let limits = ServerLimits::fixed(MAX_READERS, READ_TIMEOUT);
    let (_stop, stopped) = watch::channel(false);
    // Dropping the set aborts the connections.
    let mut readers = JoinSet::new();
    loop {
        while readers.try_join_next().is_some() {}
        if readers.len() >= MAX_READERS {
            readers.join_next().await;
            continue;
        }
        let Ok((stream, address)) = listener.accept().await else {
            sleep(LISTEN_RETRY_DELAY).await;
            continue;
        };
        if !is_member(&shared, address) {
            record_stranger(&shared, address, "question");
            continue;
        }
        let serving = serve_reader(shared.clone(), stream, limits.clone(), stopped.clone());
        readers.spawn(timeout(READ_TIMEOUT, serving));
    }
}

async fn bind_listener(shared: &GatewayShared) -> TcpListener {
    let address = shared.settings.peer_address;
    let mut is_logged = false;
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(error) if !is_logged => {
                let reason = "peers cannot get the configuration here; free the address";
                let record = DecisionRecord::new(DecisionKind::Config, reason)
                    .input("address", address.to_string())
                    .input("error", error.to_string())
                    .failure();
                shared.log.write(record);
                is_logged = true;
            }
            Err(_) => {}
        }
        sleep(LISTEN_RETRY_DELAY).await;
    }
}

/// Returns whether an address is that of a gateway registered in the store.
fn is_member(shared: &GatewayShared, address: SocketAddr) -> bool {
    let state = shared.lock();
    let mut members = state.members.values();
    members.any(|member| member.ip() == address.ip())
}

async fn serve_reader(
    shared: Arc<GatewayShared>,
    stream: TcpStream,
    limits: ServerLimits,
    stopped: watch::Receiver<bool>,
) {
    let handle = move |request: hyper::Request<hyper::body::Incoming>| {
        let response = if request.uri().path() == CONFIG_PATH {
            answer_reader(&shared)
        } else {
            json_response(StatusCode::NOT_FOUND, "{}")
        };
        std::future::ready(response)
    };
    serve_connection(stream, limits.connection_limits, stopped, handle).await;
}

fn answer_reader(shared: &GatewayShared) -> Response<ResponseBody> {
    let state = shared.lock();
    let sharing = &state.config_sharing;
    let (Some(place), Some(document)) = (sharing.place(), sharing.document()) else {
        return json_response(StatusCode::SERVICE_UNAVAILABLE, "{}");
    };
    drop(state);
    shared.metrics.config_copies.inc();
    let copy = ConfigCopy {
        place: Some(place),
        document,
    };
    Response::new(bytes_body(copy.encode_to_vec()))
}
