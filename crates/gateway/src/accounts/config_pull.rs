//! Gets a configuration from a peer if the store does not bring it in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{
    Method,
    StatusCode, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    CONFIG_KEY,
    KeyValue, //
};
use prost::Message;
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::InstanceId;
use web::{
    HttpRequest,
    send_request, //
};
use wire::ConfigCopy;

use crate::accounts::config_server::CONFIG_PATH;
use crate::accounts::config_sharing::parse_place;
use crate::shared::GatewayShared;
use crate::store::config_change::{
    ConfigOutcome,
    ConfigSource,
    apply_config, //
};

/// Time in which a peer has to hand over its configuration.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a copy: a value of the store and its position.
const MAX_COPY_BYTES: usize = 4 * 1024 * 1024;

/// Asks peers for configurations that the own watch on the store does not bring, until aborted.
pub(crate) async fn pull_configurations(shared: Arc<GatewayShared>) {
    loop {
        let due = {
            let sharing = &mut shared.lock().config_sharing;
            let own = sharing.position;
            sharing.claims.next_due(own.as_ref())
        };
        let news = shared.config_claims.notified();
        match due {
            None => news.await,
            Some(due) => tokio::select! {
                () = sleep_until(due) => pull_once(&shared).await,
                () = news => {}
            },
        }
    }
}

async fn pull_once(shared: &GatewayShared) {
    let asked_at = Instant::now();
    let (peer, address, record) = {
        let mut guard = shared.lock();
        let state = &mut *guard;
        let own = state.config_sharing.position;
        let claims = &mut state.config_sharing.claims;
        let Some(peer) =
            claims.next_pull(Instant::now(), own.as_ref(), rand::random::<u32>() as usize)
        else {
            return;
        };
        let address = state.members.get(&peer).copied();
        let claims = &state.config_sharing.claims;
        let claimed = claims.claimed_by(&peer);
        let waited = claims.waiting_time(asked_at);
        let record = DecisionRecord::new(DecisionKind::Config, "peer asked for its configuration")
            .chosen(&peer)
            .input("claims", claims.len())
            .input("age_ms", waited.map(|time| time.as_millis() as u64))
            .input("claimed_version", claimed.map(|claimed| claimed.version.0))
            .input("before", own.map(|own| own.version.0))
            .input("store_down", state.store_health.is_down());
        (peer, address, record)
    };
    let outcome = match address {
        Some(address) => pull_from(shared, &peer, address).await,
        None => PullOutcome::Unreachable("no gateway according to the store"),
    };
    let mut state = shared.lock();
    if !matches!(outcome, PullOutcome::Applied) {
        state
            .config_sharing
            .claims
            .record_failure(Instant::now(), &peer);
    }
    drop(state);
    let pulls = &shared.metrics.config_pulls;
    pulls.with_label_values(&[outcome.as_str()]).inc();
    let record = record
        .input("outcome", outcome.as_str())
        .input("cause", outcome.cause())
        .input("taken_ms", asked_at.elapsed().as_millis() as u64);
    shared.log.write(match outcome {
        PullOutcome::Applied | PullOutcome::NotLater => record,
        PullOutcome::Unreadable | PullOutcome::Unreachable(_) => record.failure(),
    });
}

/// What came of asking a peer for its configuration.
#[derive(Debug, Clone, Copy)]
enum PullOutcome {
    Applied,
    NotLater,
    Unreadable,
    Unreachable(&'static str),
}

impl PullOutcome {
    /// Returns the outcome's name in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::NotLater => "not_later",
            Self::Unreadable => "unreadable",
            Self::Unreachable(_) => "unreachable",
        }
    }

    /// Returns why nothing was applied, for the log.
    fn cause(self) -> Option<&'static str> {
        match self {
            Self::Applied => None,
            Self::NotLater => Some("not later than the own configuration"),
            Self::Unreadable => Some("not a whole configuration"),
            Self::Unreachable(cause) => Some(cause),
        }
    }
}

async fn pull_from(shared: &GatewayShared, peer: &InstanceId, address: SocketAddr) -> PullOutcome {
    let request = HttpRequest::new(address, Method::GET, CONFIG_PATH);
    let Ok(response) = send_request(request, MAX_COPY_BYTES, PULL_TIMEOUT).await else {
        return PullOutcome::Unreachable("no connection, or no answer in time");
    };
    if response.status != StatusCode::OK {
        return PullOutcome::Unreachable("the peer shares none");
    }
    let Ok(copy) = ConfigCopy::decode(response.body) else {
        return PullOutcome::Unreadable;
    };
    let Some(place) = &copy.place else {
        return PullOutcome::Unreadable;
    };
    let position = parse_place(place);
    let item = KeyValue {
        key: CONFIG_KEY.to_owned(),
        value: copy.document,
        revision: position.revision,
        created: position.revision,
    };
    let source = ConfigSource::Peer {
        peer,
        version: position.version,
    };
    match apply_config(shared, &item, position.era, source) {
        ConfigOutcome::Applied => PullOutcome::Applied,
        ConfigOutcome::NotLater => PullOutcome::NotLater,
        ConfigOutcome::Unreadable => PullOutcome::Unreadable,
    }
}
