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
    KeyPrecondition,
    KeyPut,
    PlatformError,
    StoreLease,
    WriteOutcome, //
};
use policy::{
    VersionList,
    VersionView,
    member_turn, //
};
use prost::Message;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use units::{
    ServiceName,
    StreamKey, //
};
use wire::SavedStreams;

use crate::shared::GatewayShared;
use crate::store::store_call::{
    CallPurpose,
    count_store_call, //
};
use crate::versions::origin_reader::{
    merge_item,
    read_changes, //
};
use crate::versions::origin_state::SavedVersions;
use crate::versions::version_document::VersionDocument;

/// Prefix of the records of streams. The gateway and the number of the record follow.
pub(crate) const STREAM_PREFIX: &str = "galenarail/streams/";
/// Prefix of the versions of each service. The service follows.
pub(crate) const VERSION_PREFIX: &str = "galenarail/versions/";
/// Shortest time to live of a lease of records.
const RECORD_TTL: Duration = Duration::from_secs(90);
/// Longest time to live that the store grants.
const MAX_RECORD_TTL: Duration = Duration::from_secs(600);
/// Time by which a new lease outlives the records that it is opened for, so that later ones use it too.
const LEASE_MARGIN: Duration = Duration::from_secs(25);
/// Shortest time between two records of one gateway while first events wait for them.
const AWAITED_INTERVAL: Duration = Duration::from_millis(50);
/// Part of that interval for each gateway, so that all together write 500 records a second at most.
const AWAITED_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(2);
/// Shortest time between two records of one gateway while nothing waits for them.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Part of that interval for each gateway, so that all together write 50 records a second at most.
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
    ends_at: Instant,
}

/// State of the task between writes.
#[derive(Debug)]
struct OriginWriter {
    number: u64,
    lease: Option<RecordLease>,
    /// When the versions in the store were first seen to differ from those of the entries.
    differs_since: Option<Instant>,
    /// When the latest record of streams was written.
    written_at: Option<Instant>,
}

/// Writes the streams that this gateway has begun while their service has several versions, and the
/// versions of each service when they change, until aborted.
pub(crate) async fn write_origins(shared: Arc<GatewayShared>) {
    let mut writer = OriginWriter {
        number: rand::random(),
        lease: None,
        differs_since: None,
        written_at: None,
    };
    loop {
        let wait = writer.streams_due(&shared).min(CHECK_INTERVAL);
        let _ = timeout(wait, shared.origins.unsaved_news.notified()).await;
        let count = shared.origins.expire();
        shared.metrics.origins.set(count as i64);
        let versions = writer.write_versions(&shared).await;
        let streams = writer.write_streams(&shared).await;
        sleep(if versions.is_ok() && streams.is_ok() {
            awaited_interval(&shared)
        } else {
            RETRY_DELAY
        })
        .await;
    }
}

/// Returns the shortest time between two records while first events wait for them.
fn awaited_interval(shared: &GatewayShared) -> Duration {
    let gateways = shared.lock().members.len() as u32;
    AWAITED_INTERVAL + AWAITED_INTERVAL_PER_GATEWAY * gateways
}

impl OriginWriter {
    /// Returns the time until the streams that are not in the store yet are due to be written.
    fn streams_due(&self, shared: &GatewayShared) -> Duration {
        let gateways = shared.lock().members.len() as u32;
        let tables = shared.origins.lock();
        match self.written_at {
            _ if tables.unsaved.is_empty() => Duration::MAX,
            Some(at) if tables.awaited.is_empty() => {
                let interval = WRITE_INTERVAL.max(WRITE_INTERVAL_PER_GATEWAY * gateways);
                interval.saturating_sub(at.elapsed())
            }
            _ => Duration::ZERO,
        }
    }

    /// Writes the streams that are not in the store yet, once they are due.
    async fn write_streams(&mut self, shared: &GatewayShared) -> Result<(), PlatformError> {
        if !self.streams_due(shared).is_zero() {
            return Ok(());
        }
        self.written_at = Some(Instant::now());
        let keys = take_unsaved(shared);
        let versions = shared.origins.describe(&keys);
        if versions.is_empty() {
            shared.origins.set_writable(true);
            return Ok(());
        }
        let longest = versions.iter().flat_map(|begun| &begun.left_ms).max();
        let longest = Duration::from_millis(longest.copied().unwrap_or_default().into());
        // Streams that the table has dropped are not in the record.
        let recorded = versions.iter().flat_map(|begun| &begun.streams);
        let recorded: Vec<StreamKey> = recorded.map(|key| StreamKey(*key)).collect();
        let value = SavedStreams { versions }.encode_to_vec();
        let result = self.write_record(shared, value, longest).await;
        shared.origins.set_writable(result.is_ok());
        if result.is_ok() {
            let mut tables = shared.origins.lock();
            for key in &recorded {
                tables.awaited.remove(key);
            }
            drop(tables);
            shared.origins.saved_news.notify_waiters();
        }
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
        lifetime: Duration,
    ) -> Result<(), PlatformError> {
        let lease = self.open_lease(shared, lifetime).await?;
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
        match count_store_call(shared, CallPurpose::StreamRecords, write).await? {
            WriteOutcome::Committed(_) => Ok(()),
            WriteOutcome::Conflict(_) | WriteOutcome::LeaseEnded => Err(PlatformError::LeaseEnded),
        }
    }

    /// Returns a lease for a record that is needed for some time.
    async fn open_lease(
        &mut self,
        shared: &GatewayShared,
        lifetime: Duration,
    ) -> Result<StoreLease, PlatformError> {
        let now = Instant::now();
        let current = self.lease.filter(|held| {
            held.ends_at >= now + lifetime && shared.lock().era.is_current(held.lease.era)
        });
        if let Some(held) = current {
            return Ok(held.lease);
        }
        let ttl = (lifetime + LEASE_MARGIN).clamp(RECORD_TTL, MAX_RECORD_TTL);
        let opening = shared.store.open_lease(ttl);
        let lease = count_store_call(shared, CallPurpose::StreamRecords, opening).await?;
        let ends_at = now + ttl;
        self.lease = Some(RecordLease { lease, ends_at });
        Ok(lease)
    }

    /// Writes the versions of a service if they differ from those in the store. One gateway does so,
    /// and the others only if it does not.
    async fn write_versions(&mut self, shared: &GatewayShared) -> Result<(), PlatformError> {
        let Some((service, list, revision)) = next_versions(shared) else {
            self.differs_since = None;
            return Ok(());
        };
        let since = *self.differs_since.get_or_insert_with(Instant::now);
        let own = &shared.settings.instance;
        let turn = member_turn(service.as_str(), own, shared.lock().members.keys());
        let is_first = revision == 0;
        let is_awaited = !shared.origins.lock().awaited.is_empty();
        if !is_first && !is_awaited && since.elapsed() < TURN_DELAY * turn {
            return Ok(());
        }
        let key = format!("{VERSION_PREFIX}{service}");
        let precondition = KeyPrecondition {
            key: key.clone(),
            revision,
        };
        let put = KeyPut {
            key,
            value: Bytes::from(VersionDocument::encode(&list)),
            lease: None,
        };
        let era = shared.lock().era.era;
        let write = shared
            .store
            .write(era, vec![precondition], vec![put], Vec::new());
        let outcome = count_store_call(shared, CallPurpose::Versions, write).await?;
        self.differs_since = None;
        let committed = match outcome {
            WriteOutcome::Committed(revision) => revision,
            // Another gateway has written.
            WriteOutcome::Conflict(items) if !items.is_empty() => {
                items.iter().for_each(|item| merge_item(shared, item));
                return Ok(());
            }
            WriteOutcome::Conflict(_) | WriteOutcome::LeaseEnded => {
                return read_changes(shared, Instant::now()).await;
            }
        };
        let mut tables = shared.origins.lock();
        tables.outdated.remove(&service);
        let before = tables.saved.get(&service);
        let written = SavedVersions::new(list, committed.number, before);
        tables.saved.insert(service, written);
        drop(tables);
        shared.origins.saved_news.notify_waiters();
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
fn next_versions(shared: &GatewayShared) -> Option<(ServiceName, VersionList, u64)> {
    let now = Instant::now();
    let era = shared.lock().era.era;
    let mut guard = shared.origins.lock();
    let tables = &mut *guard;
    let memory = tables.history.memory();
    let next = tables.history.services().find_map(|service| {
        let saved = tables.saved.get(service);
        let undecided_since = saved.and_then(|saved| saved.undecided_since);
        let view = VersionView {
            present: tables.history.present(service),
            recent: tables.history.recent(now, service),
            era,
            is_outdated: tables.outdated.contains(service),
            has_settled: undecided_since.is_some_and(|since| now >= since + memory),
        };
        let list = VersionList::next(saved.map(|saved| &saved.list), &view)?;
        let revision = saved.map_or(0, |saved| saved.revision);
        Some((service.clone(), list, revision))
    });
    if next.is_none() {
        tables.outdated.clear();
    }
    next
}
