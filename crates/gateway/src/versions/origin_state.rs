//! What this gateway knows of the software versions that began streams.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use platform::StoreRevision;
use policy::{
    BackendRecord,
    BaseVersion,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    VersionList, //
};
use tokio::sync::Notify;
use tokio::time::{
    Instant,
    timeout_at, //
};
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
const MAX_LIFETIME: Duration = Duration::from_secs(570);
/// Time beyond a caller's deadline for which the version of its stream is kept.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Question to other gateways that is not settled.
#[derive(Debug, Default)]
pub(crate) struct OpenQuestion {
    pub(crate) asked: BTreeSet<InstanceId>,
    pub(crate) answered: BTreeSet<InstanceId>,
}

/// Versions of one service in the platform's store.
#[derive(Debug, Clone, Default)]
pub(crate) struct SavedVersions {
    pub(crate) list: VersionList,
    pub(crate) revision: u64,
    /// Since when this gateway has seen no base, or `None` if there is one.
    pub(crate) undecided_since: Option<Instant>,
}

impl SavedVersions {
    pub(crate) fn new(list: VersionList, revision: u64, before: Option<&Self>) -> Self {
        let since = before.and_then(|before| before.undecided_since);
        let is_undecided = list.base == BaseVersion::Undecided;
        Self {
            undecided_since: is_undecided.then(|| since.unwrap_or_else(Instant::now)),
            list,
            revision,
        }
    }
}

/// What has to happen before the caller gets the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordNeed {
    /// Nothing: a stream without a record is one of its version.
    None,
    /// Others are told. The record is awaited for a moment only, since nothing is concluded from a stream
    /// without one.
    Told,
    /// Others are told, and the record is in the store.
    Stored,
}

#[derive(Debug)]
pub(crate) struct OriginTables {
    pub(crate) streams: StreamOrigins,
    pub(crate) history: VersionHistory,
    /// Streams that are not in the store yet.
    pub(crate) unsaved: BTreeSet<StreamKey>,
    /// Streams whose first event waits until they are in the store.
    pub(crate) awaited: BTreeSet<StreamKey>,
    /// Revision up to which records and lists have been read.
    pub(crate) position: Option<StoreRevision>,
    /// Time until which streams may be unknown since the table was full.
    pub(crate) incomplete_until: Option<Instant>,
    /// Service of each of this gateway's own streams.
    own_services: BTreeMap<StreamKey, ServiceName>,
    pub(crate) questions: BTreeMap<u64, OpenQuestion>,
    /// Versions of each service in the store.
    pub(crate) saved: BTreeMap<ServiceName, SavedVersions>,
    /// Services whose versions in the store may be those of an earlier copy.
    pub(crate) outdated: BTreeSet<ServiceName>,
}

impl OriginTables {
    /// Returns what has to happen before the first event of a stream.
    pub(crate) fn record_need(
        &self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
    ) -> RecordNeed {
        match self.saved.get(service).map(|saved| &saved.list) {
            Some(list) if !list.needs_record(version) => RecordNeed::None,
            // A base is decided only among listed versions, so that others have to be listed first.
            Some(list) if list.base == BaseVersion::Undecided && list.lists(version) => {
                RecordNeed::Told
            }
            // The first list decides the base, so that no stream begins before it without a record.
            Some(_) | None => RecordNeed::Stored,
        }
    }

    /// Records the origin of a stream. Returns whether another one was dropped.
    fn record(&mut self, now: Instant, key: StreamKey, origin: StreamOrigin) -> bool {
        let dropped = self.streams.record(now, key, origin);
        self.incomplete_until = self.incomplete_until.max(dropped);
        dropped.is_some()
    }

    /// Returns whether all streams in the records that were read are known.
    pub(crate) fn is_complete(&self, now: Instant) -> bool {
        self.incomplete_until.is_none_or(|until| now >= until)
    }
}

/// Versions that began streams, with what wakes those that wait for them.
#[derive(Debug)]
pub(crate) struct OriginState {
    tables: Mutex<OriginTables>,
    /// Wakes the task that writes to the store.
    pub(crate) unsaved_news: Notify,
    /// Wakes the requests that wait for an answer.
    pub(crate) answers: Notify,
    /// Wakes the streams whose first event waits for a record or a list.
    pub(crate) saved_news: Notify,
    /// Whether the latest write of a record was acknowledged.
    is_writable: AtomicBool,
    /// Held while the records in the store are read; holds when the latest complete read began.
    pub(crate) store_read: tokio::sync::Mutex<Option<Instant>>,
}

impl Default for OriginState {
    fn default() -> Self {
        Self {
            tables: Mutex::new(OriginTables {
                streams: StreamOrigins::new(MAX_STREAMS),
                history: VersionHistory::default(),
                unsaved: BTreeSet::new(),
                awaited: BTreeSet::new(),
                position: None,
                incomplete_until: None,
                own_services: BTreeMap::new(),
                questions: BTreeMap::new(),
                saved: BTreeMap::new(),
                outdated: BTreeSet::new(),
            }),
            unsaved_news: Notify::new(),
            answers: Notify::new(),
            saved_news: Notify::new(),
            is_writable: AtomicBool::new(true),
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

    /// Returns whether the store takes records, as far as known.
    pub(crate) fn is_writable(&self) -> bool {
        self.is_writable.load(Ordering::Relaxed)
    }

    pub(crate) fn set_writable(&self, is_writable: bool) {
        self.is_writable.store(is_writable, Ordering::Relaxed);
    }

    /// Records the entry of a backend server. Returns this gateway's own streams of its service if they
    /// have to be told to others from now on.
    pub(crate) fn record_entry(&self, record: &BackendRecord) -> Vec<StreamKey> {
        let now = Instant::now();
        let mut tables = self.lock();
        let is_mixed = tables.history.record_entry(now, record);
        self.wake_for_unlisted(&tables);
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
        self.wake_for_unlisted(&tables);
        self.take_own_streams(&mut tables, now, mixed.iter())
    }

    /// Wakes the task that writes to the store if a version is not listed there.
    fn wake_for_unlisted(&self, tables: &OriginTables) {
        let is_unlisted = tables.history.services().any(|service| {
            let saved = tables.saved.get(service).map(|saved| &saved.list.versions);
            let present = tables.history.present(service);
            saved.is_none_or(|saved| !present.is_subset(saved))
        });
        if is_unlisted {
            self.unsaved_news.notify_one();
        }
    }

    fn take_own_streams<'a>(
        &self,
        tables: &mut OriginTables,
        now: Instant,
        services: impl Iterator<Item = &'a ServiceName>,
    ) -> Vec<StreamKey> {
        let services: BTreeSet<&ServiceName> = services.collect();
        let mut keys = Vec::new();
        for (key, origin) in tables.streams.own(now) {
            let Some(service) = tables.own_services.get(&key) else {
                continue;
            };
            let version = origin.version.as_ref();
            if services.contains(service)
                && tables.record_need(service, version) != RecordNeed::None
            {
                keys.push(key);
            }
        }
        if !keys.is_empty() {
            tables.unsaved.extend(keys.iter().copied());
            self.unsaved_news.notify_one();
        }
        keys
    }

    /// Returns this gateway's own streams of a service that have to be told to others.
    pub(crate) fn own_streams(&self, service: &ServiceName) -> Vec<StreamKey> {
        let mut tables = self.lock();
        self.take_own_streams(&mut tables, Instant::now(), std::iter::once(service))
    }

    /// Records a stream of which this gateway forwards events. Returns what has to happen before the first
    /// one, and whether the table was full.
    pub(crate) fn record_own(
        &self,
        service: &ServiceName,
        key: StreamKey,
        version: Option<SoftwareVersion>,
        expires_at: Instant,
    ) -> (RecordNeed, bool) {
        let now = Instant::now();
        let mut tables = self.lock();
        let need = tables.record_need(service, version.as_ref());
        let known = tables.streams.get(now, key);
        let is_stored = known.is_some_and(|known| known.source == OriginSource::Store);
        let origin = StreamOrigin {
            version,
            expires_at,
            learned_at: now,
            source: OriginSource::Own,
        };
        let is_full = tables.record(now, key, origin);
        tables.own_services.insert(key, service.clone());
        if need != RecordNeed::None {
            if tables.unsaved.len() >= MAX_UNSAVED {
                tables.unsaved.pop_first();
            }
            tables.unsaved.insert(key);
            if !is_stored {
                tables.awaited.insert(key);
            }
            self.unsaved_news.notify_one();
        }
        (need, is_full)
    }

    /// Waits until the record of a stream is in the store and its version is listed. Returns false if that
    /// is not so by `until`.
    pub(crate) async fn await_record(
        &self,
        service: &ServiceName,
        key: StreamKey,
        version: Option<&SoftwareVersion>,
        until: Instant,
    ) -> bool {
        loop {
            let saved = self.saved_news.notified();
            tokio::pin!(saved);
            saved.as_mut().enable();
            {
                let tables = self.lock();
                let saved = tables.saved.get(service);
                let is_listed = saved.is_some_and(|saved| saved.list.lists(version));
                if is_listed && !tables.awaited.contains(&key) {
                    return true;
                }
            }
            if timeout_at(until, saved).await.is_err() {
                self.lock().awaited.remove(&key);
                return false;
            }
        }
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
            tables.record(now, key, origin)
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
