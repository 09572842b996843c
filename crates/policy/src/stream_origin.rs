//! Software versions that began streams, kept for as long as their callers may take them up.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    ServiceName,
    SoftwareVersion,
    StreamKey, //
};

/// Returns the key of a stream that callers name by the id of the request which began it.
pub fn stream_key(service: &ServiceName, name: &[u8]) -> StreamKey {
    let mut text = service.as_str().as_bytes().to_vec();
    text.push(0);
    text.extend_from_slice(name);
    StreamKey(XxHash3_64::oneshot(&text))
}

/// Where the version of a stream was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This gateway forwarded events of the stream.
    Own,
    /// Another gateway told it.
    Peer,
    /// A record in the platform's store told it.
    Store,
}

impl OriginSource {
    /// Returns the source's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The version, or `None` if the engine states none or if two records differ.
    pub version: Option<SoftwareVersion>,
    /// Time until which the caller may come back.
    pub expires_at: Instant,
    /// When this gateway learned it.
    pub learned_at: Instant,
    /// Where the version was learned.
    pub source: OriginSource,
}

/// Versions that began streams, up to a number of streams.
#[derive(Debug)]
pub struct StreamOrigins {
    capacity: usize,
    entries: BTreeMap<StreamKey, StreamOrigin>,
    expiries: BTreeSet<(Instant, StreamKey)>,
}

impl StreamOrigins {
    /// Creates a table for up to `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the origin of a stream.
    pub fn get(&self, now: Instant, key: StreamKey) -> Option<&StreamOrigin> {
        let origin = self.entries.get(&key);
        origin.filter(|origin| now < origin.expires_at)
    }

    /// Returns the streams of which this gateway has forwarded events.
    pub fn own(&self, now: Instant) -> impl Iterator<Item = (StreamKey, &StreamOrigin)> {
        let current = self.entries.iter().filter(move |(_, origin)| {
            origin.source == OriginSource::Own && now < origin.expires_at //
        });
        current.map(|(key, origin)| (*key, origin))
    }

    /// Records the origin of a stream. Records of different versions leave none. If the table was full,
    /// the stream with the least time left is dropped, and the end of that time is returned.
    pub fn record(
        &mut self,
        now: Instant,
        key: StreamKey,
        mut origin: StreamOrigin,
    ) -> Option<Instant> {
        if let Some(known) = self.remove(key).filter(|known| now < known.expires_at) {
            origin.expires_at = origin.expires_at.max(known.expires_at);
            if known.version != origin.version {
                origin.version = None;
            }
            if known.source == OriginSource::Own {
                origin.source = OriginSource::Own;
            }
        }
        self.expiries.insert((origin.expires_at, key));
        self.entries.insert(key, origin);
        if self.entries.len() <= self.capacity {
            return None;
        }
        let (expires_at, first) = self.expiries.first().copied()?;
        self.remove(first);
        Some(expires_at)
    }

    /// Removes the streams whose callers no longer come back.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.expiries.first().copied() {
            if now < expires_at {
                return;
            }
            self.remove(key);
        }
    }

    fn remove(&mut self, key: StreamKey) -> Option<StreamOrigin> {
        let origin = self.entries.remove(&key)?;
        self.expiries.remove(&(origin.expires_at, key));
        Some(origin)
    }
}
