//! Configuration in force as the peers may get it, and which of theirs would replace it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    ConfigClaims,
    ConfigPosition, //
};
use secrecy::{
    ExposeSecret,
    SecretSlice, //
};
use tokio::time::Instant;
use units::{
    ConfigVersion,
    StoreEra, //
};
use wire::ConfigPlace;

use crate::shared::GatewayShared;

/// Shortest interval between two log lines about processes that are no gateways.
const STRANGER_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Configuration in force and the claims of the peers.
#[derive(Debug, Default)]
pub(crate) struct ConfigSharing {
    /// Position of the configuration in force, or `None` until the first one is read.
    pub(crate) position: Option<ConfigPosition>,
    /// Document of the configuration in force if configurations are shared. It holds keys of callers.
    document: Option<SecretSlice<u8>>,
    /// Peers' configurations that would replace the own one.
    pub(crate) claims: ConfigClaims,
    stranger_logged_at: Option<Instant>,
}

impl ConfigSharing {
    /// Records the configuration that was put in force. Once one has held accounts, it and all later
    /// ones are shared, so that peers also learn of one that holds none.
    pub(crate) fn record(&mut self, position: ConfigPosition, document: &[u8], has_accounts: bool) {
        let is_shared = has_accounts || self.is_shared();
        self.position = Some(position);
        self.document = is_shared.then(|| SecretSlice::from(document.to_vec()));
    }

    /// Records that the store holds another configuration that does not replace the one in force.
    pub(crate) fn confirm(&mut self, seen: ConfigPosition) {
        let position = self.position;
        self.position = position.map(|position| position.confirmed_at(seen));
    }

    /// Returns whether peers may get the configuration.
    pub(crate) fn is_shared(&self) -> bool {
        self.document.is_some()
    }

    /// Returns the position for the load reports, if configurations are shared.
    pub(crate) fn place(&self) -> Option<ConfigPlace> {
        let position = self.position.filter(|_| self.is_shared())?;
        Some(ConfigPlace {
            era: position.era.map(|era| era.0),
            revision: position.revision,
            version: position.version.0,
        })
    }

    /// Returns a copy of the document for one peer.
    pub(crate) fn document(&self) -> Option<Bytes> {
        let document = self.document.as_ref()?;
        Some(Bytes::copy_from_slice(document.expose_secret()))
    }
}

/// Parses the position that a peer states.
pub(crate) fn parse_place(place: &ConfigPlace) -> ConfigPosition {
    ConfigPosition {
        era: place.era.map(StoreEra),
        revision: place.revision,
        version: ConfigVersion(place.version),
    }
}

/// Counts and logs a process that tells of configurations or asks for them and is no gateway according
/// to the store.
pub(crate) fn record_stranger(shared: &GatewayShared, address: SocketAddr, what: &'static str) {
    let strangers = &shared.metrics.config_strangers;
    strangers.inc();
    let now = Instant::now();
    let logged_at = &mut shared.lock().config_sharing.stranger_logged_at;
    if logged_at.is_some_and(|at| now < at + STRANGER_LOG_INTERVAL) {
        return;
    }
    *logged_at = Some(now);
    let reason = "no gateway according to the store; its configuration has no part here";
    let record = DecisionRecord::new(DecisionKind::Config, reason)
        .input("address", address.to_string())
        .input("what", what)
        .input("total", strangers.get());
    shared.log.write(record);
}
