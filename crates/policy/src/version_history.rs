//! Software versions that the engines of each service run, or ran a short time ago.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::{
    ServiceName,
    SoftwareVersion, //
};

use crate::BackendRecord;

/// Shortest time after which a version that is gone has begun no stream that a caller may still take up.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);
/// Longest such time, to which longer timeouts of routes are cut.
const MAX_VERSION_MEMORY: Duration = Duration::from_secs(570);
/// Time beyond a route's timeout in which the last engines of a version that is gone may end.
const MEMORY_MARGIN: Duration = Duration::from_secs(15);

/// Versions of one service; `None` stands for engines that state none.
pub type KnownVersions = BTreeSet<Option<SoftwareVersion>>;

#[derive(Debug, Clone, Copy)]
struct VersionUse {
    last_seen: Instant,
    is_present: bool,
}

/// Versions of the engines of all services, with when each was last seen.
#[derive(Debug, Clone)]
pub struct VersionHistory {
    /// Time after which a version that is gone has begun no stream that a caller may still take up.
    memory: Duration,
    services: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, VersionUse>>,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            memory: VERSION_MEMORY,
            services: BTreeMap::new(),
        }
    }
}

impl VersionHistory {
    /// Sets the longest time for which a stream may last.
    pub fn set_longest_timeout(&mut self, timeout: Duration) {
        let memory = timeout.saturating_add(MEMORY_MARGIN);
        self.memory = memory.clamp(VERSION_MEMORY, MAX_VERSION_MEMORY);
    }

    /// Returns the time after which a version that is gone has begun no stream that a caller may take up.
    pub fn memory(&self) -> Duration {
        self.memory
    }

    /// Records the entry of a backend server. Returns whether its version is new to a service that has
    /// another one.
    pub fn record_entry(&mut self, now: Instant, record: &BackendRecord) -> bool {
        if record.stage.is_none() {
            return false;
        }
        let entry = VersionUse {
            last_seen: now,
            is_present: true,
        };
        let known = self.services.get_mut(&record.service);
        if let Some(known) = known.and_then(|versions| versions.get_mut(&record.version)) {
            let was_recent = now < known.last_seen + self.memory;
            *known = entry;
            return !was_recent && self.is_mixed(now, &record.service);
        }
        let versions = self.services.entry(record.service.clone()).or_default();
        versions.insert(record.version.clone(), entry);
        self.is_mixed(now, &record.service)
    }

    /// Records all entries. Versions without an entry are gone. Returns the services to which a version
    /// is new beside another one.
    pub fn record_entries<'a>(
        &mut self,
        now: Instant,
        records: impl Iterator<Item = &'a BackendRecord>,
    ) -> BTreeSet<ServiceName> {
        let versions = self.services.values_mut().flat_map(BTreeMap::values_mut);
        versions.for_each(|version| version.is_present = false);
        let mut mixed = BTreeSet::new();
        for record in records {
            if self.record_entry(now, record) {
                mixed.insert(record.service.clone());
            }
        }
        mixed
    }

    /// Records a version that another gateway has listed. It may have begun streams until now, also if
    /// this gateway saw its engines leave long ago.
    pub fn record_listed(
        &mut self,
        now: Instant,
        service: &ServiceName,
        version: Option<SoftwareVersion>,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let listed = versions.entry(version).or_insert(VersionUse {
            last_seen: now,
            is_present: false,
        });
        listed.last_seen = now;
    }

    /// Returns the versions of a service that may have begun a stream which a caller takes up.
    pub fn recent(&self, now: Instant, service: &ServiceName) -> KnownVersions {
        self.select(service, |version| {
            now < version.last_seen + self.memory //
        })
    }

    /// Returns the versions of the entries of a service.
    pub fn present(&self, service: &ServiceName) -> KnownVersions {
        self.select(service, |version| version.is_present)
    }

    /// Returns whether a version was ever seen in a service.
    pub fn contains(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let versions = self.services.get(service);
        let name = Some(version.clone());
        versions.is_some_and(|versions| versions.contains_key(&name))
    }

    /// Returns whether more than one version may have begun a stream that a caller takes up.
    pub fn is_mixed(&self, now: Instant, service: &ServiceName) -> bool {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, version)| now < version.last_seen + self.memory);
        recent.take(2).count() > 1
    }

    /// Returns all services with engines.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    fn select(&self, service: &ServiceName, fits: impl Fn(&VersionUse) -> bool) -> KnownVersions {
        let versions = self.services.get(service).into_iter().flatten();
        let fitting = versions.filter(|(_, version)| fits(version));
        fitting.map(|(version, _)| version.clone()).collect()
    }
}
