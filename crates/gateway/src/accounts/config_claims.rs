//! What the peers' load reports tell of their configurations.

use std::net::SocketAddr;

use tokio::time::Instant;
use units::InstanceId;
use wire::GatewayLoad;

use crate::accounts::config_sharing::{
    parse_place,
    record_stranger, //
};
use crate::shared::GatewayShared;

/// Records the position of a peer's configuration.
pub(crate) fn merge_config_place(shared: &GatewayShared, peer: &InstanceId, report: &GatewayLoad) {
    let Some(place) = &report.config else {
        return;
    };
    let position = parse_place(place);
    let mut state = shared.lock();
    let sharing = &mut state.config_sharing;
    let own = sharing.position;
    let is_new = sharing
        .claims
        .record(Instant::now(), peer, position, own.as_ref());
    drop(state);
    if is_new {
        shared.config_claims.notify_one();
    }
}

/// Records a load report that tells of a configuration and comes from no gateway.
pub(crate) fn reject_config_place(
    shared: &GatewayShared,
    sender: SocketAddr,
    report: &GatewayLoad,
) {
    if report.config.is_some() {
        record_stranger(shared, sender, "load report");
    }
}
