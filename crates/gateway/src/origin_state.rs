//! What this gateway knows of the software versions that began streams.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use policy::{
    BackendRecord,
    KnownVersions,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    VersionHistory, //
};
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName,
    SoftwareVersion,
    StreamKey, //
};
use wire::VersionStreams;

/// Maximum number of streams whose versions are known.
const MAX_STREAMS: usize = 16_384;
/// Maximum number of streams that wait to be written to the store.
const MAX_UNSAVED: usize = 4_096;
/// Longest time for which a caller may come back to its stream.
const MAX_LIFETIME: Duration = Duration::from_secs(60);
/// Time beyond a caller's deadline for which the version of its stream is kept.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Question to other gateways that is not settled.
#[derive(Debug, Default)]
pub(crate) struct OpenQuestion {
    pub(crate) asked: BTreeSet<InstanceId>,
    pub(crate) answered: BTreeSet<InstanceId>,
    /// Versions that may have begun the stream, according to the answers.
    pub(crate) versions: KnownVersions,
}

/// Versions of one service in the platform's store.
#[derive(Debug, Clone, Default)]
pub(crate) struct SavedVersions {
    pub(crate) versions: KnownVersions,
    pub(crate) revision: u64,
}

#[derive(Debug)]
pub(crate) struct OriginTables {
    pub(crate) streams: StreamOrigins,
    pub(crate) history: VersionHistory,
    /// Streams that are not in the store yet.
    pub(crate) unsaved: BTreeSet<StreamKey>,
    /// Service of each of this gateway's own streams.
    own_services: BTreeMap<StreamKey, ServiceName>,
    pub(crate) questions: BTreeMap<u64, OpenQuestion>,
    /// Versions of each service in the store.
    pub(crate) saved: BTreeMap<ServiceName, SavedVersions>,
    /// Services whose versions in the store may be those of an earlier copy.
    pub(crate) outdated: BTreeSet<ServiceName>,
}

/// Versions that began streams, with what wakes those that wait for them.
#[derive(Debug)]
pub(crate) struct OriginState {
    tables: Mutex<OriginTables>,
    /// Wakes the task that writes to the store.
    pub(crate) unsaved_news: Notify,
    /// Wakes the requests that wait for an answer.
    pub(crate) answers: Notify,
    /// Held while the records in the store are read; holds when the latest read began.
    pub(crate) store_read: tokio::sync::Mutex<Option<Instant>>,
}

impl Default for OriginState {
    fn default() -> Self {
        Self {
            tables: Mutex::new(OriginTables {
                streams: StreamOrigins::new(MAX_STREAMS),
                history: VersionHistory::default(),
                unsaved: BTreeSet::new(),
                own_services: BTreeMap::new(),
                questions: BTreeMap::new(),
                saved: BTreeMap::new(),
                outdated: BTreeSet::new(),
            }),
            unsaved_news: Notify::new(),
            answers: Notify::new(),
            store_read: tokio::sync::Mutex::new(None),
        }
    }
}

/// Returns the end of the time in which a caller with a timeout may come back.
pub(crate) fn origin_expiry(now: Instant, timeout: Duration) -> Instant {
    now + (timeout + LIFETIME_MARGIN).min(MAX_LIFETIME)
}

impl OriginState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, OriginTables> {
        self.tables.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records the entry of a backend server. Returns this gateway's own streams of its service if they
    /// have to be told to others from now on.
    pub(crate) fn record_entry(&self, record: &BackendRecord) -> Vec<StreamKey> {
        let now = Instant::now();
        let mut tables = self.lock();
        let is_mixed = tables.history.record_entry(now, record);
        let service = is_mixed.then_some(&record.service);
        self.take_own_streams(&mut tables, now, service.into_iter())
    }

    /// Records all entries, in the same way as [`Self::record_entry`].
    pub(crate) fn record_entries<'a>(
        &self,
        records: impl Iterator<Item = &'a BackendRecord>,
    ) -> Vec<StreamKey> {
        let now = Instant::now();
        let mut tables = self.lock();
        let mixed = tables.history.record_entries(now, records);
        self.take_own_streams(&mut tables, now, mixed.iter())
    }

    fn take_own_streams<'a>(
        &self,
        tables: &mut OriginTables,
        now: Instant,
        services: impl Iterator<Item = &'a ServiceName>,
    ) -> Vec<StreamKey> {
        let services: BTreeSet<&ServiceName> = services.collect();
        if services.is_empty() {
            return Vec::new();
        }
        let own = tables.streams.own(now).map(|(key, _)| key);
        let is_concerned = |key: &StreamKey| {
            let service = tables.own_services.get(key);
            service.is_some_and(|service| services.contains(service))
        };
        let keys: Vec<StreamKey> = own.filter(is_concerned).collect();
        tables.unsaved.extend(keys.iter().copied());
        self.unsaved_news.notify_one();
        keys
    }

    /// Records a stream of which this gateway forwards events. Returns whether others have to be told,
    /// and whether the table was full.
    pub(crate) fn record_own(
        &self,
        service: &ServiceName,
        key: StreamKey,
        version: Option<SoftwareVersion>,
        expires_at: Instant,
    ) -> (bool, bool) {
        let now = Instant::now();
        let origin = StreamOrigin {
            version,
            expires_at,
            learned_at: now,
            source: OriginSource::Own,
        };
        let mut tables = self.lock();
        let is_full = tables.streams.record(now, key, origin);
        tables.own_services.insert(key, service.clone());
        let is_mixed = tables.history.is_mixed(now, service);
        if is_mixed {
            if tables.unsaved.len() >= MAX_UNSAVED {
                tables.unsaved.pop_first();
            }
            tables.unsaved.insert(key);
            self.unsaved_news.notify_one();
        }
        (is_mixed, is_full)
    }

    /// Merges streams that another gateway or the store tells. Returns how many others were dropped.
    pub(crate) fn merge(&self, begun: &VersionStreams, source: OriginSource) -> usize {
        let now = Instant::now();
        let version: Option<SoftwareVersion> = begun.version.parse().ok();
        let mut tables = self.lock();
        let times = begun.streams.iter().zip(&begun.left_ms);
        let dropped = times.filter(|(key, left_ms)| {
            let left = Duration::from_millis(u64::from(**left_ms)).min(MAX_LIFETIME);
            let origin = StreamOrigin {
                version: version.clone(),
                expires_at: now + left,
                learned_at: now,
                source,
            };
            let key = StreamKey(**key);
            let known = tables.streams.get(now, key);
            // What is known does not become older by being told again.
            if known.is_some_and(|known| known.version == version) {
                return false;
            }
            tables.streams.record(now, key, origin)
        });
        dropped.count()
    }

    /// Returns streams grouped by version, for a message or a record.
    pub(crate) fn describe(&self, keys: &[StreamKey]) -> Vec<VersionStreams> {
        let now = Instant::now();
        let tables = self.lock();
        let mut groups: BTreeMap<&str, VersionStreams> = BTreeMap::new();
        for key in keys {
            let Some(origin) = tables.streams.get(now, *key) else {
                continue;
            };
            let version = origin.version.as_ref().map_or("", SoftwareVersion::as_str);
            let group = groups.entry(version).or_default();
            version.clone_into(&mut group.version);
            group.streams.push(key.0);
            let left = origin.expires_at.saturating_duration_since(now);
            group.left_ms.push(left.as_millis() as u32);
        }
        groups.into_values().collect()
    }

    /// Removes streams whose callers no longer come back. Returns how many are left.
    pub(crate) fn expire(&self) -> usize {
        let now = Instant::now();
        let mut guard = self.lock();
        let tables = &mut *guard;
        tables.streams.expire(now);
        let streams = &tables.streams;
        tables
            .own_services
            .retain(|key, _| streams.get(now, *key).is_some());
        streams.len()
    }
}
