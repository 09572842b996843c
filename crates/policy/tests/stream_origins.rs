//! Which software version began a stream, and which versions a service runs.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    BackendRecord,
    EngineStage,
    KnownVersions,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    VERSION_MEMORY,
    VersionHistory,
    stream_key, //
};
use tokio::time::Instant;
use units::{
    ServiceName,
    SoftwareVersion,
    StreamKey, //
};

const SECOND: Duration = Duration::from_secs(1);

fn origin(now: Instant, version: &str, seconds: u32) -> StreamOrigin {
    StreamOrigin {
        version: version.parse().ok(),
        expires_at: now + SECOND * seconds,
        learned_at: now,
        source: OriginSource::Own,
    }
}

fn version_of(origins: &StreamOrigins, now: Instant, key: u64) -> Option<String> {
    let origin = origins.get(now, StreamKey(key))?;
    origin.version.as_ref().map(SoftwareVersion::to_string)
}

/// Guards against a flood of streams that drops those whose callers have most time to come back.
#[test]
fn record_table_full() {
    let now = Instant::now();
    let mut origins = StreamOrigins::new(2);
    assert_eq!(
        origins.record(now, StreamKey(1), origin(now, "v1", 9)),
        None
    );
    assert_eq!(
        origins.record(now, StreamKey(2), origin(now, "v2", 3)),
        None
    );
    let dropped = origins.record(now, StreamKey(3), origin(now, "v2", 6));
    assert_eq!(dropped, Some(now + SECOND * 3));
    assert_eq!(version_of(&origins, now, 1), Some("v1".into()));
    assert_eq!(version_of(&origins, now, 2), None);
    assert_eq!(version_of(&origins, now, 3), Some("v2".into()));
    assert_eq!(origins.len(), 2);
}

/// Guards against a guess where two records of a stream differ.
#[test]
fn record_versions_differ() {
    let now = Instant::now();
    let mut origins = StreamOrigins::new(4);
    origins.record(now, StreamKey(1), origin(now, "v1", 3));
    origins.record(now, StreamKey(1), origin(now, "v1", 6));
    let later = now + SECOND * 5;
    assert_eq!(version_of(&origins, later, 1), Some("v1".into()));
    origins.record(now, StreamKey(1), origin(now, "v2", 3));
    assert_eq!(version_of(&origins, now, 1), None);
    assert_eq!(origins.len(), 1);
}

/// Guards against records that outlive the time in which callers come back.
#[test]
fn expire_after_deadline() {
    let now = Instant::now();
    let mut origins = StreamOrigins::new(4);
    origins.record(now, StreamKey(1), origin(now, "v1", 3));
    origins.record(now, StreamKey(2), origin(now, "v1", 5));
    let later = now + SECOND * 4;
    assert_eq!(version_of(&origins, later, 1), None);
    origins.expire(later);
    assert_eq!(origins.len(), 1);
    assert_eq!(origins.own(later).count(), 1);
}

/// Guards against names that stand for streams of two services.
#[test]
fn stream_key_of_services() {
    let first: ServiceName = "assist".parse().unwrap();
    let second: ServiceName = "assista".parse().unwrap();
    assert_ne!(stream_key(&first, b"ab"), stream_key(&second, b"b"));
    assert_eq!(stream_key(&first, b"ab"), stream_key(&first, b"ab"));
}

fn engine(instance: &str, version: Option<&str>) -> BackendRecord {
    BackendRecord {
        instance: instance.parse().unwrap(),
        service: "assist".parse().unwrap(),
        address: "10.1.0.1:8080".parse().unwrap(),
        centre: "a".parse().unwrap(),
        slots: 64,
        draining: false,
        cold_time: Duration::ZERO,
        stage: Some(EngineStage::Decode),
        started_unix_ms: None,
        version: version.map(|version| version.parse().unwrap()),
    }
}

fn versions(names: &[&str]) -> KnownVersions {
    names.iter().map(|name| name.parse().ok()).collect()
}

/// Guards against a version that is forgotten while callers may still take up its streams, and against
/// one that is remembered for good.
#[test]
fn recent_version_gone() {
    let service: ServiceName = "assist".parse().unwrap();
    let now = Instant::now();
    let mut history = VersionHistory::default();
    let (first, second) = (engine("e-1", Some("v1")), engine("e-2", Some("v2")));
    assert!(history.record_entries(now, [&first].into_iter()).is_empty());
    assert!(!history.is_mixed(now, &service));
    let mixed = history.record_entries(now + SECOND, [&second].into_iter());
    assert!(mixed.contains(&service), "own streams are told from now on");
    assert_eq!(history.present(&service), versions(&["v2"]));
    let late = now + VERSION_MEMORY - SECOND;
    assert_eq!(history.recent(late, &service), versions(&["v1", "v2"]));
    let mixed = history.record_entries(now + VERSION_MEMORY, [&second].into_iter());
    assert!(mixed.is_empty());
    let after = now + VERSION_MEMORY;
    assert_eq!(history.recent(after, &service), versions(&["v2"]));
    assert!(!history.is_mixed(after, &service));
}

/// Guards against engines without a version that count as none.
#[test]
fn recent_entry_without_version() {
    let service: ServiceName = "assist".parse().unwrap();
    let now = Instant::now();
    let mut history = VersionHistory::default();
    let (first, second) = (engine("e-1", Some("v1")), engine("e-2", None));
    history.record_entries(now, [&first, &second].into_iter());
    assert!(history.is_mixed(now, &service));
    assert_eq!(history.recent(now, &service).len(), 2);
}

/// Guards against plain services, which have no streams, that cost records.
#[test]
fn record_entry_plain_service() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    for version in ["v1", "v2"] {
        let mut record = engine("s-1", Some(version));
        record.stage = None;
        assert!(!history.record_entry(now, &record));
    }
    assert_eq!(history.services().count(), 0);
}

/// Guards against a base that is decided too early: a version that left long ago has come back and left while
/// this gateway was out of step, and shows in the list that others wrote.
#[test]
fn record_listed_version_that_left() {
    let service: ServiceName = "assist".parse().unwrap();
    let version: SoftwareVersion = "v1".parse().unwrap();
    let mut history = VersionHistory::default();
    let now = Instant::now();
    history.record_listed(now, &service, Some(version.clone()));
    let later = now + VERSION_MEMORY * 2;
    assert!(history.recent(later, &service).is_empty());
    history.record_listed(later, &service, Some(version.clone()));
    let recent = history.recent(later + SECOND, &service);
    assert!(recent.contains(&Some(version)));
    assert!(history.present(&service).is_empty());
}
