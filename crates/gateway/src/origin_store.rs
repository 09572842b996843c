//! Records in the platform's store of the software versions that began streams, which outlive all
//! gateways, and of the versions of each service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyChange,
    KeyPrecondition,
    KeyPut,
    KeyValue,
    PlatformError,
    StoreLease,
    WriteOutcome, //
};
use policy::{
    KnownVersions,
    OriginSource,
    member_turn, //
};
use prost::Message;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use units::{
    ServiceName,
    SoftwareVersion,
    StreamKey, //
};
use wire::SavedStreams;

use crate::origin_messages::tell_gateways;
use crate::origin_state::SavedVersions;
use crate::shared::GatewayShared;
use crate::store_watch::{
    check_era,
    count_store_call, //
};

/// Prefix of the records of streams. The gateway and the number of the record follow.
pub(crate) const STREAM_PREFIX: &str = "galenarail/streams/";
/// Prefix of the versions of each service. The service follows.
pub(crate) const VERSION_PREFIX: &str = "galenarail/versions/";
/// Time to live of a lease of records, longer than callers come back to their streams.
const RECORD_TTL: Duration = Duration::from_secs(90);
/// Time after which records are written under the next lease.
const LEASE_TIME: Duration = Duration::from_secs(25);
/// Shortest time between two records of one gateway.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the interval for each gateway, so that all together write 50 records a second at most.
const WRITE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(20);
/// Interval between checks for versions that are gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay for each gateway that precedes this one in writing the versions of a service.
const TURN_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of streams in one record.
const MAX_STREAMS: usize = 2_000;

/// Lease under which records are written.
#[derive(Debug, Clone, Copy)]
struct RecordLease {
    lease: StoreLease,
    opened_at: Instant,
}

/// State of the task between writes.
#[derive(Debug)]
struct OriginWriter {
    number: u64,
    lease: Option<RecordLease>,
    /// When the versions in the store were first seen to differ from those of the entries.
    differs_since: Option<Instant>,
}

/// Writes the streams that this gateway has begun while their service has several versions, and the
/// versions of each service when they change, until aborted.
pub(crate) async fn write_origins(shared: Arc<GatewayShared>) {
    let mut writer = OriginWriter {
        number: rand::random(),
        lease: None,
        differs_since: None,
    };
    loop {
        let _ = timeout(CHECK_INTERVAL, shared.origins.unsaved_news.notified()).await;
        let count = shared.origins.expire();
        shared.metrics.origins.set(count as i64);
        let versions = writer.write_versions(&shared).await;
        let streams = writer.write_streams(&shared).await;
        let gateways = shared.lock().members.len() as u32;
        sleep(if versions.is_ok() && streams.is_ok() {
            WRITE_INTERVAL.max(WRITE_INTERVAL_PER_GATEWAY * gateways)
        } else {
            RETRY_DELAY
        })
        .await;
    }
}

impl OriginWriter {
    /// Writes the streams that are not in the store yet.
    async fn write_streams(&mut self, shared: &GatewayShared) -> Result<(), PlatformError> {
        let keys = take_unsaved(shared);
        let versions = shared.origins.describe(&keys);
        if versions.is_empty() {
            return Ok(());
        }
        let value = SavedStreams { versions }.encode_to_vec();
        let result = self.write_record(shared, value).await;
        if let Err(error) = &result {
            // The write may have taken effect; a record that is written twice does no harm.
            shared.origins.lock().unsaved.extend(keys.iter().copied());
            self.lease = None;
            let reason = "versions of streams not written to the store; they are written again";
            let record = DecisionRecord::new(DecisionKind::Dependency, reason);
            let record = record.input("streams", keys.len());
            shared.log.write(record.input("cause", error.to_string()));
        }
        result
    }

    async fn write_record(
        &mut self,
        shared: &GatewayShared,
        value: Vec<u8>,
    ) -> Result<(), PlatformError> {
        let lease = self.open_lease(shared).await?;
        self.number = self.number.wrapping_add(1);
        let put = KeyPut {
            key: format!(
                "{STREAM_PREFIX}{}/{:016x}",
                shared.settings.instance, self.number
            ),
            value: Bytes::from(value),
            lease: Some(lease.id),
        };
        let write = shared
            .store
            .write(lease.era, Vec::new(), vec![put], Vec::new());
        match count_store_call(shared, write).await? {
            WriteOutcome::Committed(_) => Ok(()),
            WriteOutcome::Conflict | WriteOutcome::LeaseEnded => Err(PlatformError::LeaseEnded),
        }
    }

    /// Returns the lease for the next record, a new one if the latest is too old.
    async fn open_lease(&mut self, shared: &GatewayShared) -> Result<StoreLease, PlatformError> {
        let current = self.lease.filter(|held| {
            held.opened_at.elapsed() < LEASE_TIME && shared.lock().era.is_current(held.lease.era)
        });
        if let Some(held) = current {
            return Ok(held.lease);
        }
        let opened_at = Instant::now();
        let opening = shared.store.open_lease(RECORD_TTL);
        let lease = count_store_call(shared, opening).await?;
        self.lease = Some(RecordLease { lease, opened_at });
        Ok(lease)
    }

    /// Writes the versions of a service if they differ from those in the store. One gateway does so,
    /// and the others only if it does not.
    async fn write_versions(&mut self, shared: &GatewayShared) -> Result<(), PlatformError> {
        let Some((service, saved)) = next_versions(shared) else {
            self.differs_since = None;
            return Ok(());
        };
        let since = *self.differs_since.get_or_insert_with(Instant::now);
        let own = &shared.settings.instance;
        let turn = member_turn(service.as_str(), own, shared.lock().members.keys());
        if since.elapsed() < TURN_DELAY * turn {
            return Ok(());
        }
        let key = format!("{VERSION_PREFIX}{service}");
        let precondition = KeyPrecondition {
            key: key.clone(),
            revision: saved.revision,
        };
        let put = KeyPut {
            key,
            value: Bytes::from(VersionDocument::encode(&saved.versions)),
            lease: None,
        };
        let era = shared.lock().era.era;
        let write = shared
            .store
            .write(era, vec![precondition], vec![put], Vec::new());
        let outcome = count_store_call(shared, write).await?;
        // After a conflict, the watch tells what another gateway has written.
        if let WriteOutcome::Committed(revision) = outcome {
            let mut tables = shared.origins.lock();
            tables.outdated.remove(&service);
            let revision = revision.number;
            let saved = SavedVersions { revision, ..saved };
            tables.saved.insert(service, saved);
        }
        self.differs_since = None;
        Ok(())
    }
}

fn take_unsaved(shared: &GatewayShared) -> Vec<StreamKey> {
    let mut tables = shared.origins.lock();
    let keys: Vec<StreamKey> = tables.unsaved.iter().take(MAX_STREAMS).copied().collect();
    for key in &keys {
        tables.unsaved.remove(key);
    }
    keys
}

/// Returns the next service whose versions in the store differ from those of the entries, with the
/// versions to write and the revision that they replace.
fn next_versions(shared: &GatewayShared) -> Option<(ServiceName, SavedVersions)> {
    let now = Instant::now();
    let mut guard = shared.origins.lock();
    let tables = &mut *guard;
    let next = tables.history.services().find_map(|service| {
        let present = tables.history.present(service);
        let recent = tables.history.recent(now, service);
        let saved = tables.saved.get(service);
        let kept = saved.map_or_else(KnownVersions::new, |saved| saved.versions.clone());
        let is_rewritten = saved.is_none() || tables.outdated.contains(service);
        let mut wanted: KnownVersions = kept.intersection(&recent).cloned().collect();
        wanted.extend(present);
        if is_rewritten {
            wanted.extend(recent);
        }
        let revision = saved.map_or(0, |saved| saved.revision);
        let versions = SavedVersions {
            versions: wanted,
            revision,
        };
        let differs = versions.versions != kept && !versions.versions.is_empty();
        differs.then(|| (service.clone(), versions))
    });
    if next.is_none() {
        tables.outdated.clear();
    }
    next
}

/// Reads all records of streams, unless another request has begun to do so since `arrived`.
pub(crate) async fn read_streams(
    shared: &GatewayShared,
    arrived: Instant,
) -> Result<(), PlatformError> {
    let mut read_at = shared.origins.store_read.lock().await;
    if read_at.is_some_and(|at| at >= arrived) {
        return Ok(());
    }
    *read_at = Some(Instant::now());
    let range = count_store_call(shared, shared.store.range(STREAM_PREFIX)).await?;
    check_era(shared, range.revision)?;
    range.items.iter().for_each(|item| merge_item(shared, item));
    Ok(())
}

/// Applies all keys of the gateways in the store.
pub(crate) fn replace_origins(shared: &GatewayShared, items: &[KeyValue]) {
    {
        let mut guard = shared.origins.lock();
        let tables = &mut *guard;
        tables.outdated.extend(tables.saved.keys().cloned());
        tables.saved.clear();
    }
    items.iter().for_each(|item| merge_item(shared, item));
    shared.origins.unsaved_news.notify_one();
}

/// Applies a change of a record of streams, or of the versions of a service.
pub(crate) fn apply_origin_change(shared: &GatewayShared, change: &KeyChange) {
    match change {
        KeyChange::Written(item) => merge_item(shared, item),
        KeyChange::Removed(key) => {
            let service = key.strip_prefix(VERSION_PREFIX);
            if let Some(Ok(service)) = service.map(str::parse::<ServiceName>) {
                shared.origins.lock().saved.remove(&service);
            }
        }
    }
}

fn merge_item(shared: &GatewayShared, item: &KeyValue) {
    let result = if item.key.starts_with(STREAM_PREFIX) {
        merge_streams(shared, &item.value)
    } else if let Some(service) = item.key.strip_prefix(VERSION_PREFIX) {
        merge_versions(shared, service, item)
    } else {
        return;
    };
    if let Err(cause) = result {
        let reason = "record of versions cannot be read; remove its key from the store";
        let record = DecisionRecord::new(DecisionKind::Dependency, reason);
        let record = record.input("key", item.key.as_str());
        shared.log.write(record.input("cause", cause).failure());
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
    let versions = VersionDocument::decode(&item.value).map_err(|error| error.to_string())?;
    let now = Instant::now();
    let mut tables = shared.origins.lock();
    let was_mixed = tables.history.is_mixed(now, &service);
    for version in &versions {
        tables.history.add(now, &service, version.clone());
    }
    let is_mixed = tables.history.is_mixed(now, &service);
    let saved = SavedVersions {
        versions,
        revision: item.revision,
    };
    tables.saved.insert(service, saved);
    let own: Vec<StreamKey> = tables.streams.own(now).map(|(key, _)| key).collect();
    drop(tables);
    if is_mixed && !was_mixed {
        tell_gateways(shared, &own);
    }
    Ok(())
}

/// Versions of a service as JSON; `null` stands for engines that state none.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct VersionDocument {
    versions: Vec<Option<String>>,
}

impl VersionDocument {
    fn encode(versions: &KnownVersions) -> Vec<u8> {
        let names = versions.iter();
        let names = names.map(|version| version.as_ref().map(SoftwareVersion::to_string));
        let document = Self {
            versions: names.collect(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    fn decode(value: &[u8]) -> Result<KnownVersions, serde_json::Error> {
        let document: Self = serde_json::from_slice(value)?;
        let names = document.versions.into_iter();
        Ok(names
            .map(|name| name.and_then(|name| name.parse().ok()))
            .collect())
    }
}
