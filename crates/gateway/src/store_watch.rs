//! Keeps the configuration, the backend servers and the gateways current by a single watch on the
//! platform's store.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    BACKEND_PREFIX,
    CONFIG_KEY,
    KeyChange,
    KeyValue,
    PlatformError,
    parse_backend,
    parse_configuration, //
};
use policy::{
    BackendChange,
    BackendRecord, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::InstanceId;
use web::ConnectionLimits;

use crate::membership::{
    GATEWAY_PREFIX,
    apply_member_change,
    replace_members, //
};
use crate::shared::GatewayShared;
use crate::suspect_record::SUSPECT_PREFIX;
use crate::suspect_store::{
    apply_suspect_change,
    replace_suspects, //
};

/// Maximum wait of one watch request. A short outage of the store can leave a request hanging for
/// this long, and a change accepted during the outage must be in effect two seconds after the
/// platform considers the instances reachable again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay after a change, so that changes in quick succession are fetched by one watch request.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks for entries that did not come back.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the gateway's copy of the store's keys current, until aborted.
pub(crate) async fn watch_store(shared: Arc<GatewayShared>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => load_all(&shared).await,
            Some(after) => watch_changes(&shared, after).await,
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(PlatformError::HistoryGone) => revision = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Loads all keys and returns the revision from which to watch. This is the revision of the first
/// read, so that the watch returns every change made between the reads.
async fn load_all(shared: &GatewayShared) -> Result<u64, PlatformError> {
    // Without the suspects, a new gateway would run a request that others refuse; it serves none
    // before it has a configuration.
    let members = track_store_call(shared, shared.store.range(GATEWAY_PREFIX)).await?;
    replace_members(shared, &members.items);
    replace_suspects(shared, &members.items);
    let config = track_store_call(shared, shared.store.range(CONFIG_KEY)).await?;
    config
        .items
        .iter()
        .for_each(|item| apply_config(shared, item));
    let backends = track_store_call(shared, shared.store.range(BACKEND_PREFIX)).await?;
    replace_backends(shared, &backends.items);
    Ok(members.revision)
}

/// Waits for changes after a revision, applies them and returns the revision from which to continue.
async fn watch_changes(shared: &GatewayShared, after: u64) -> Result<u64, PlatformError> {
    let watch = shared.store.watch("", after, WATCH_TIMEOUT);
    let updates = track_store_call(shared, watch).await?;
    let is_empty = updates.changes.is_empty();
    for change in updates.changes {
        apply_change(shared, change);
    }
    if !is_empty {
        sleep(BATCH_DELAY).await;
    }
    Ok(updates.revision.max(after))
}

fn apply_change(shared: &GatewayShared, change: KeyChange) {
    let key = change.key();
    if key.starts_with(BACKEND_PREFIX) {
        apply_backend_change(shared, change);
    } else if key.starts_with(SUSPECT_PREFIX) {
        apply_suspect_change(shared, &change);
    } else if key.starts_with(GATEWAY_PREFIX) {
        apply_member_change(shared, &change);
    } else if let KeyChange::Written(item) = &change {
        apply_config(shared, item);
    }
}

/// Awaits a store call and records whether the store answered.
pub(crate) async fn track_store_call<T>(
    shared: &GatewayShared,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let sent_at = Instant::now();
    let result = count_store_call(shared, call).await;
    let error = match &result {
        Ok(_) | Err(PlatformError::HistoryGone) => None,
        Err(error) => Some(error.to_string()),
    };
    record_store_result(shared, sent_at, error);
    result
}

/// Awaits a store call and counts it by whether the store answered. Unlike [`track_store_call`], a
/// failure says nothing about the entries of backend servers.
pub(crate) async fn count_store_call<T>(
    shared: &GatewayShared,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let result = call.await;
    let outcome = match &result {
        Ok(_) | Err(PlatformError::HistoryGone) => "answered",
        Err(_) => "failed",
    };
    let calls = &shared.metrics.store_calls;
    calls.with_label_values(&[outcome]).inc();
    result
}

/// Records whether the store answered, and logs when that changes.
fn record_store_result(shared: &GatewayShared, sent_at: Instant, error: Option<String>) {
    let now = Instant::now();
    let mut state = shared.lock();
    let has_changed = match &error {
        Some(_) => state.store_health.record_failure(now, sent_at),
        None => state.store_health.record_success(now),
    };
    drop(state);
    if !has_changed {
        return;
    }
    let record = match error {
        Some(error) => {
            let record = DecisionRecord::new(DecisionKind::Dependency, "store does not answer");
            record.input("error", error).failure()
        }
        None => DecisionRecord::new(DecisionKind::Dependency, "store answers again"),
    };
    shared.log.write(record);
}

fn apply_config(shared: &GatewayShared, item: &KeyValue) {
    if item.key != CONFIG_KEY {
        return;
    }
    let table = match parse_configuration(&item.value) {
        Ok(table) => table,
        Err(error) => {
            let record = DecisionRecord::new(DecisionKind::Config, error.to_string());
            shared
                .log
                .write(record.input("revision", item.revision).failure());
            return;
        }
    };
    let version = table.version;
    let mut state = shared.lock();
    let before = state.table.as_ref().map(|table| table.version);
    if before.is_some_and(|before| version <= before) {
        return;
    }
    let routes = table.len();
    let limits = ConnectionLimits {
        max_header_bytes: table.limits.max_header_bytes,
        header_timeout: table.limits.header_timeout,
        idle_timeout: table.limits.idle_timeout,
    };
    state.table = Some(Arc::new(table));
    drop(state);
    shared.connection_limits.send_replace(limits);
    shared.metrics.config_version.set(version.0 as i64);
    let record = DecisionRecord::new(DecisionKind::Config, "configuration applied")
        .chosen(version)
        .input("before", before.map(|version| version.0))
        .input("revision", item.revision)
        .input("routes", routes);
    shared.log.write(record);
}

/// Returns whether removed entries may come back.
fn entries_may_return(shared: &GatewayShared, now: Instant) -> bool {
    shared.lock().store_health.entries_may_return(now)
}

fn replace_backends(shared: &GatewayShared, items: &[KeyValue]) {
    let now = Instant::now();
    let may_return = entries_may_return(shared, now);
    let parsed_records = items.iter().filter_map(|item| parse_or_log(shared, item));
    let records = parsed_records.collect();
    let changes = shared.lock().fleet.replace(now, records, may_return);
    for (instance, change) in changes {
        record_backend_change(shared, &instance, change);
    }
}

fn parse_or_log(shared: &GatewayShared, item: &KeyValue) -> Option<BackendRecord> {
    match parse_backend(&item.key, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let record = DecisionRecord::new(DecisionKind::Backend, error.to_string());
            let record = record.input("revision", item.revision);
            shared.log.write(record.input("key", item.key.as_str()));
            None
        }
    }
}

fn apply_backend_change(shared: &GatewayShared, change: KeyChange) {
    let now = Instant::now();
    let instance_name = change.key().strip_prefix(BACKEND_PREFIX);
    let Some(Ok(instance)) = instance_name.map(str::parse::<InstanceId>) else {
        return;
    };
    let applied_change = match change {
        KeyChange::Written(item) => match parse_or_log(shared, &item) {
            Some(record) => shared.lock().fleet.upsert(record),
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
        let expired_instances = state.fleet.expire(now, all_restored);
        drop(guard);
        for instance in expired_instances {
            shared.metrics.latencies.remove_server(&instance);
            log_backend_change(&shared, &instance, "entry_did_not_return");
        }
        shared.pool().remove_expired(now);
    }
}
