//! Applies the entries of backend servers in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    BACKEND_PREFIX,
    KeyChange,
    KeyValue,
    parse_backend, //
};
use policy::{
    BackendChange,
    BackendRecord,
    apply_restored_entries, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::InstanceId;

use crate::servers::server_rests::report_ended_rests;
use crate::shared::GatewayShared;
use crate::store::unreadable_entries::UnreadableKind;
use crate::store::unreadable_report::report_unreadable;
use crate::versions::origin_messages::tell_gateways;

/// Interval between checks for entries that did not come back.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns whether removed entries may come back.
fn entries_may_return(shared: &GatewayShared, now: Instant) -> bool {
    shared.lock().store_health.entries_may_return(now)
}

/// Applies all entries in the store.
pub(crate) fn replace_backends(shared: &GatewayShared, items: &[KeyValue]) {
    let now = Instant::now();
    let may_return = entries_may_return(shared, now);
    let parsed_records = items.iter().filter_map(|item| parse_or_log(shared, item));
    let records = parsed_records.collect();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let outdated_until = state.store_health.outdated_until();
    let changes = if outdated_until.is_some_and(|until| now < until) {
        apply_restored_entries(&mut state.fleet, now, records)
    } else {
        state.fleet.replace(now, records, may_return)
    };
    let own_streams = shared
        .origins
        .record_entries(state.fleet.views().map(|view| &view.record));
    drop(guard);
    tell_gateways(shared, &own_streams);
    for (instance, change) in changes {
        record_backend_change(shared, &instance, change);
    }
}

fn parse_or_log(shared: &GatewayShared, item: &KeyValue) -> Option<BackendRecord> {
    match parse_backend(&item.key, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let cause = error.to_string();
            report_unreadable(shared, UnreadableKind::BackendServer, item, &cause);
            None
        }
    }
}

/// Applies a change of an entry.
pub(crate) fn apply_backend_change(shared: &GatewayShared, change: KeyChange) {
    let now = Instant::now();
    let instance_name = change.key().strip_prefix(BACKEND_PREFIX);
    let Some(Ok(instance)) = instance_name.map(str::parse::<InstanceId>) else {
        return;
    };
    let applied_change = match change {
        KeyChange::Written(item) => match parse_or_log(shared, &item) {
            Some(record) => {
                tell_gateways(shared, &shared.origins.record_entry(&record));
                shared.lock().fleet.upsert(record)
            }
            // Treats an invalid entry as removed, in the same way as `replace_backends`.
            None => shared.lock().fleet.remove(now, &instance, false),
        },
        KeyChange::Removed(_) => {
            let may_return = entries_may_return(shared, now);
            shared.lock().fleet.remove(now, &instance, may_return)
        }
    };
    if let Some(change) = applied_change {
        record_backend_change(shared, &instance, change);
    }
}

fn record_backend_change(shared: &GatewayShared, instance: &InstanceId, change: BackendChange) {
    if change == BackendChange::Gone {
        shared.metrics.latencies.remove_server(instance);
    }
    log_backend_change(shared, instance, change.as_str());
}

fn log_backend_change(shared: &GatewayShared, instance: &InstanceId, change: &str) {
    let record = DecisionRecord::new(DecisionKind::Backend, change);
    shared.log.write(record.chosen(instance));
}

/// Removes backend servers whose entries did not come back, and closes expired idle connections,
/// until aborted.
pub(crate) async fn expire_backends(shared: Arc<GatewayShared>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = Instant::now();
        let mut guard = shared.lock();
        let state = &mut *guard;
        let all_restored = state.store_health.has_restored_entries(now);
        let outdated_until = state.store_health.outdated_until();
        let expired_instances = match outdated_until {
            // Entries are written again until then.
            Some(until) if now < until => Vec::new(),
            _ => state.fleet.expire(now, all_restored),
        };
        state.sent_requests.remove_idle(now);
        let records = state.fleet.views().map(|view| &view.record);
        let own_streams = shared.origins.record_entries(records);
        drop(guard);
        tell_gateways(&shared, &own_streams);
        for instance in expired_instances {
            shared.metrics.latencies.remove_server(&instance);
            log_backend_change(&shared, &instance, "entry_did_not_return");
        }
        shared.pool().remove_expired(now);
        report_ended_rests(&shared);
    }
}
