//! Puts configurations in force, whether the store or a peer brings them.

use std::sync::Arc;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyValue,
    ParsedConfiguration,
    parse_configuration, //
};
use policy::{
    AccountTable,
    ConfigPosition, //
};
use units::{
    ConfigVersion,
    InstanceId,
    StoreEra, //
};
use web::ConnectionLimits;

use crate::shared::GatewayShared;
use crate::store::unreadable_entries::UnreadableKind;
use crate::store::unreadable_report::report_unreadable;

/// Where a configuration comes from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ConfigSource<'a> {
    Store,
    /// A peer that states the version.
    Peer {
        peer: &'a InstanceId,
        version: ConfigVersion,
    },
}

/// What became of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfigOutcome {
    Applied,
    NotLater,
    Unreadable,
}

/// Puts a configuration in force if it replaces the present one. `era` is the one in which the store
/// gave it the revision. No version ever goes back, and a peer's configuration must be later by the
/// store's order too.
pub(crate) fn apply_config(
    shared: &GatewayShared,
    item: &KeyValue,
    era: Option<StoreEra>,
    source: ConfigSource<'_>,
) -> ConfigOutcome {
    let parsed = match parse_configuration(&item.value) {
        Ok(parsed) => parsed,
        Err(error) => {
            // A peer's is logged as the outcome of asking for it.
            if matches!(source, ConfigSource::Store) {
                let cause = error.to_string();
                report_unreadable(shared, UnreadableKind::Configuration, item, &cause);
            }
            return ConfigOutcome::Unreadable;
        }
    };
    let ParsedConfiguration {
        table,
        unreadable_accounts,
    } = parsed;
    let position = ConfigPosition {
        era,
        revision: item.revision,
        version: table.version,
    };
    let longest_timeout = table.longest_timeout();
    let mut state = shared.lock();
    let before = state.config_sharing.position;
    let is_later = match source {
        ConfigSource::Store => before.is_none_or(|before| position.version > before.version),
        ConfigSource::Peer { version, .. } => {
            version == position.version && position.replaces(before.as_ref())
        }
    };
    if !is_later {
        if matches!(source, ConfigSource::Store) {
            state.config_sharing.confirm(position);
        }
        return ConfigOutcome::NotLater;
    }
    let routes = table.len();
    let accounts = table.accounts.as_ref();
    let account_count = accounts.map(AccountTable::len);
    let ambiguous_keys = accounts.map(AccountTable::ambiguous_keys);
    let limits = ConnectionLimits {
        max_header_bytes: table.limits.max_header_bytes,
        header_timeout: table.limits.header_timeout,
        idle_timeout: table.limits.idle_timeout,
    };
    let table = Arc::new(table);
    state.table = Some(table.clone());
    let sharing = &mut state.config_sharing;
    sharing.record(position, &item.value, account_count.is_some());
    let is_shared = sharing.is_shared();
    drop(state);
    let history = &mut shared.origins.lock().history;
    history.set_longest_timeout(longest_timeout);
    shared.connection_limits.send_replace(limits);
    let no_accounts = AccountTable::default();
    let accounts = table.accounts.as_ref().unwrap_or(&no_accounts);
    shared.account_counts().retain_accounts(accounts);
    if is_shared {
        shared.shares_configs.send_replace(true);
        shared.peer_news.notify_one();
    }
    let metrics = &shared.metrics;
    metrics.config_version.set(position.version.0 as i64);
    metrics.accounts.set(accounts.len() as i64);
    metrics.unreadable_accounts.set(unreadable_accounts as i64);
    let record = DecisionRecord::new(DecisionKind::Config, "configuration applied")
        .chosen(position.version)
        .input("before", before.map(|before| before.version.0))
        .input("revision", position.revision)
        .input("routes", routes);
    let record = match account_count {
        Some(accounts) => record
            .input("accounts", accounts)
            .input("unreadable_accounts", unreadable_accounts)
            .input("ambiguous_keys", ambiguous_keys),
        None => record,
    };
    let record = match source {
        ConfigSource::Store => record,
        ConfigSource::Peer { peer, .. } => record.input("peer", peer.as_str()),
    };
    shared.log.write(record);
    ConfigOutcome::Applied
}
