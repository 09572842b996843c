//! Follows the configuration, the list of backend servers and the gateways in the store, by one watch.

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

use crate::members::{
    OWN_PREFIX,
    take_member,
    take_members, //
};
use crate::shared::GatewayShared;

/// Wait of one watch. A store that falls silent for a moment leaves the watch hanging; what was
/// accepted meanwhile must still be in force two seconds after machines count as in touch again.
const WATCH_TIME: Duration = Duration::from_millis(2_000);
/// Pause after changes, so that those that come one after the other cost one call.
const GATHER_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after a disturbance of the store for which removed entries may come back.
const DOUBT_TIME: Duration = Duration::from_millis(2_500);
/// Pause between looks for entries that did not come back.
const EXPIRE_PAUSE: Duration = Duration::from_millis(200);

/// Keeps what this gateway knows of the store up to date, until aborted.
pub(crate) async fn follow_store(shared: Arc<GatewayShared>) {
    let mut revision = None;
    loop {
        let step = match revision {
            None => read_all(&shared).await,
            Some(after) => read_changes(&shared, after).await,
        };
        match step {
            Ok(next) => revision = Some(next),
            Err(PlatformError::HistoryGone) => revision = None,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Reads all keys anew and gives the revision from which to watch.
async fn read_all(shared: &GatewayShared) -> Result<u64, PlatformError> {
    let config = counted(shared, shared.store.range(CONFIG_KEY)).await?;
    config
        .items
        .iter()
        .for_each(|item| take_config(shared, item));
    let backends = counted(shared, shared.store.range(BACKEND_PREFIX)).await?;
    take_backends(shared, &backends.items);
    let members = counted(shared, shared.store.range(OWN_PREFIX)).await?;
    take_members(shared, &members.items);
    Ok(config.revision)
}

async fn read_changes(shared: &GatewayShared, after: u64) -> Result<u64, PlatformError> {
    let watch = shared.store.watch("", after, WATCH_TIME);
    let updates = counted(shared, watch).await?;
    let is_empty = updates.changes.is_empty();
    for change in updates.changes {
        take_change(shared, change);
    }
    if !is_empty {
        sleep(GATHER_PAUSE).await;
    }
    Ok(updates.revision.max(after))
}

fn take_change(shared: &GatewayShared, change: KeyChange) {
    let key = change.key();
    if key.starts_with(BACKEND_PREFIX) {
        take_backend(shared, change);
    } else if key.starts_with(OWN_PREFIX) {
        take_member(shared, &change);
    } else if let KeyChange::Written(item) = &change {
        take_config(shared, item);
    }
}

/// Makes a call of the store and notes whether the store answers.
pub(crate) async fn counted<T>(
    shared: &GatewayShared,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let result = call.await;
    let error = match &result {
        Ok(_) | Err(PlatformError::HistoryGone) => None,
        Err(error) => Some(error.to_string()),
    };
    let name = if error.is_some() {
        "failed"
    } else {
        "answered"
    };
    shared.metrics.store_calls.with_label_values(&[name]).inc();
    note_store(shared, error);
    result
}

/// Notes whether the store answers, with a line when that changes.
fn note_store(shared: &GatewayShared, error: Option<String>) {
    let now = Instant::now();
    let mut state = shared.lock();
    let was_lost = std::mem::replace(&mut state.store_is_lost, error.is_some());
    if error.is_some() {
        state.store_disturbed = Some(now);
    }
    drop(state);
    let record = match error {
        Some(error) if !was_lost => {
            let record = DecisionRecord::new(DecisionKind::Dependency, "store does not answer");
            record.input("error", error).failure()
        }
        None if was_lost => DecisionRecord::new(DecisionKind::Dependency, "store answers again"),
        _ => return,
    };
    shared.log.write(record);
}

fn take_config(shared: &GatewayShared, item: &KeyValue) {
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
    let record = DecisionRecord::new(DecisionKind::Config, "in force")
        .chosen(version)
        .input("before", before.map(|version| version.0))
        .input("revision", item.revision)
        .input("routes", routes);
    shared.log.write(record);
}

fn in_doubt(shared: &GatewayShared, now: Instant) -> bool {
    let disturbed = shared.lock().store_disturbed;
    disturbed.is_some_and(|at| now < at + DOUBT_TIME)
}

fn take_backends(shared: &GatewayShared, items: &[KeyValue]) {
    let now = Instant::now();
    let doubt = in_doubt(shared, now);
    let read = items.iter().filter_map(|item| read_or_log(shared, item));
    let records = read.collect();
    let changes = shared.lock().fleet.replace(now, records, doubt);
    for (instance, change) in changes {
        note_change(shared, &instance, change);
    }
}

fn read_or_log(shared: &GatewayShared, item: &KeyValue) -> Option<BackendRecord> {
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

fn take_backend(shared: &GatewayShared, change: KeyChange) {
    let now = Instant::now();
    let name = change.key().strip_prefix(BACKEND_PREFIX);
    let Some(Ok(instance)) = name.map(str::parse::<InstanceId>) else {
        return;
    };
    let found = match change {
        KeyChange::Written(item) => match read_or_log(shared, &item) {
            Some(record) => shared.lock().fleet.upsert(record),
            // An entry that cannot be read names nobody, as when all entries are read anew.
            None => shared.lock().fleet.remove(now, &instance, false),
        },
        KeyChange::Removed(_) => {
            let doubt = in_doubt(shared, now);
            shared.lock().fleet.remove(now, &instance, doubt)
        }
    };
    if let Some(change) = found {
        note_change(shared, &instance, change);
    }
}

fn note_change(shared: &GatewayShared, instance: &InstanceId, change: BackendChange) {
    if change == BackendChange::Gone {
        shared.metrics.latencies.forget(instance);
    }
    log_change(shared, instance, change.as_str());
}

fn log_change(shared: &GatewayShared, instance: &InstanceId, change: &str) {
    let record = DecisionRecord::new(DecisionKind::Backend, change);
    shared.log.write(record.chosen(instance));
}

/// Drops backend servers whose entries did not come back, and closes idle connections.
pub(crate) async fn expire_backends(shared: Arc<GatewayShared>) {
    loop {
        sleep(EXPIRE_PAUSE).await;
        let now = Instant::now();
        let dropped = shared.lock().fleet.expire(now);
        for instance in dropped {
            shared.metrics.latencies.forget(&instance);
            log_change(&shared, &instance, "entry_did_not_return");
        }
        shared.pool().remove_expired(now);
    }
}
