//! Reads the records of streams and the versions of each service in the platform's store.

use std::time::Duration;

use platform::{
    KeyChange,
    KeyValue,
    PlatformError,
    StoreRevision, //
};
use policy::{
    BaseVersion,
    OriginSource,
    VersionList, //
};
use prost::Message;
use tokio::time::Instant;
use units::ServiceName;
use wire::SavedStreams;

use crate::shared::GatewayShared;
use crate::store::membership::GATEWAY_PREFIX;
use crate::store::store_call::{
    CallPurpose,
    check_era,
    count_range,
    count_store_call, //
};
use crate::store::unreadable_entries::UnreadableKind;
use crate::store::unreadable_report::report_unreadable;
use crate::versions::origin_messages::tell_gateways;
use crate::versions::origin_state::SavedVersions;
use crate::versions::origin_store::{
    STREAM_PREFIX,
    VERSION_PREFIX, //
};
use crate::versions::version_document::VersionDocument;

/// Wait of a read of the latest changes.
const READ_WAIT: Duration = Duration::from_millis(1);
/// Number of changes from which on a response may be followed by others.
const MIN_FULL_CHANGES: usize = 200;

/// Reads the records and lists that were written until now, unless a read that began after `arrived`
/// has done so.
pub(crate) async fn read_changes(
    shared: &GatewayShared,
    arrived: Instant,
) -> Result<(), PlatformError> {
    let mut read_at = shared.origins.store_read.lock().await;
    if read_at.is_some_and(|at| at >= arrived) {
        return Ok(());
    }
    let began_at = Instant::now();
    let position = shared.origins.lock().position;
    let position = position.filter(|position| shared.lock().era.is_current(position.era));
    let result = match position {
        Some(position) => read_latest(shared, position).await,
        None => Err(PlatformError::HistoryGone),
    };
    if let Err(PlatformError::HistoryGone | PlatformError::TooLarge) = result {
        read_all(shared).await?;
    } else {
        result?;
    }
    *read_at = Some(began_at);
    Ok(())
}

/// Reads the changes after a revision.
async fn read_latest(
    shared: &GatewayShared,
    mut position: StoreRevision,
) -> Result<(), PlatformError> {
    loop {
        let watch = shared.store.watch(GATEWAY_PREFIX, position, READ_WAIT);
        let updates = count_store_call(shared, CallPurpose::StreamLookup, watch).await?;
        check_era(shared, updates.revision)?;
        for change in &updates.changes {
            apply_origin_change(shared, change);
        }
        position = position.max(updates.revision);
        record_position(shared, position);
        // There may be more changes than fit into one response.
        if updates.changes.len() < MIN_FULL_CHANGES {
            return Ok(());
        }
    }
}

/// Reads all records and lists.
async fn read_all(shared: &GatewayShared) -> Result<(), PlatformError> {
    let streams = count_range(shared, CallPurpose::StreamLookup, STREAM_PREFIX).await?;
    let lists = count_range(shared, CallPurpose::StreamLookup, VERSION_PREFIX).await?;
    let revision = streams.revision;
    let items: Vec<KeyValue> = streams.items.into_iter().chain(lists.items).collect();
    replace_origins(shared, &items);
    record_position(shared, revision);
    Ok(())
}

/// Records up to which revision records and lists have been applied.
pub(crate) fn record_position(shared: &GatewayShared, position: StoreRevision) {
    let mut tables = shared.origins.lock();
    tables.position = tables.position.max(Some(position));
}

/// Applies all keys of the gateways in the store.
pub(crate) fn replace_origins(shared: &GatewayShared, items: &[KeyValue]) {
    {
        let mut guard = shared.origins.lock();
        let tables = &mut *guard;
        tables.outdated.extend(tables.saved.keys().cloned());
        // Any list replaces those known, which stay in effect until then.
        tables
            .saved
            .values_mut()
            .for_each(|saved| saved.revision = 0);
    }
    items.iter().for_each(|item| merge_item(shared, item));
    let mut tables = shared.origins.lock();
    tables.saved.retain(|_, saved| saved.revision > 0);
    drop(tables);
    shared.origins.unsaved_news.notify_one();
}

/// Returns the service whose versions a key holds.
fn listed_service(key: &str) -> Option<ServiceName> {
    key.strip_prefix(VERSION_PREFIX)?.parse().ok()
}

/// Applies a change of a record of streams, or of the versions of a service.
pub(crate) fn apply_origin_change(shared: &GatewayShared, change: &KeyChange) {
    match change {
        KeyChange::Written(item) => merge_item(shared, item),
        KeyChange::Removed(key) => {
            if let Some(service) = listed_service(key) {
                shared.origins.lock().saved.remove(&service);
            }
        }
    }
}

/// Applies a record of streams, or the versions of a service.
pub(crate) fn merge_item(shared: &GatewayShared, item: &KeyValue) {
    let result = if item.key.starts_with(STREAM_PREFIX) {
        merge_streams(shared, &item.value)
    } else if let Some(service) = item.key.strip_prefix(VERSION_PREFIX) {
        merge_versions(shared, service, item)
    } else {
        return;
    };
    if let Err(cause) = result {
        report_unreadable(shared, UnreadableKind::Versions, item, &cause);
    }
}

fn merge_streams(shared: &GatewayShared, value: &[u8]) -> Result<(), String> {
    let saved = SavedStreams::decode(value).map_err(|error| error.to_string())?;
    let versions = saved.versions.iter();
    let dropped: usize = versions
        .map(|begun| shared.origins.merge(begun, OriginSource::Store))
        .sum();
    shared.metrics.dropped_origins.inc_by(dropped as u64);
    Ok(())
}

fn merge_versions(shared: &GatewayShared, service: &str, item: &KeyValue) -> Result<(), String> {
    let service: ServiceName = service
        .parse()
        .map_err(|error: units::UnitError| error.to_string())?;
    let decoded = VersionDocument::decode(&item.value);
    // A list that cannot be read is replaced by one without a base.
    let (mut list, result) = match decoded {
        Ok(list) => (list, Ok(())),
        Err(error) => (VersionList::default(), Err(error.to_string())),
    };
    let era = shared.lock().era.era;
    if list.era != era {
        list.base = BaseVersion::Undecided;
    }
    let now = Instant::now();
    let mut tables = shared.origins.lock();
    let before = tables.saved.get(&service);
    if before.is_some_and(|before| item.revision < before.revision) {
        return result;
    }
    let known = before.map(|before| before.list.versions.clone());
    let known = known.unwrap_or_default();
    let saved = SavedVersions::new(list, item.revision, before);
    for version in saved.list.versions.difference(&known) {
        tables.history.record_listed(now, &service, version.clone());
    }
    tables.saved.insert(service.clone(), saved);
    drop(tables);
    shared.origins.saved_news.notify_waiters();
    tell_gateways(shared, &shared.origins.own_streams(&service));
    result
}
