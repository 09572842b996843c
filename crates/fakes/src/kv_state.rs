//! State of the fake key-value store: values, sessions, locks and injected faults.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

/// Faults to inject into the key-value store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFaults {
    /// Whether requests have no effect and receive no response before the client's timeout.
    pub unresponsive: bool,
    /// Time before each request takes effect.
    pub delay: Duration,
    /// Number of upcoming writes that take effect but receive no response.
    pub lost_responses: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct ValueState {
    pub(crate) data: Bytes,
    pub(crate) index: u64,
    pub(crate) session: Option<String>,
}

#[derive(Debug, Clone)]
struct SessionState {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct KvState {
    values: BTreeMap<String, ValueState>,
    sessions: BTreeMap<String, SessionState>,
    index: u64,
    pub(crate) faults: StoreFaults,
    pub(crate) request_counts: BTreeMap<String, u64>,
}

impl KvState {
    pub(crate) fn get(&mut self, now: Instant, key: &str) -> Option<ValueState> {
        self.expire(now);
        self.values.get(key).cloned()
    }

    /// Writes a value unless `expected` differs from its current index, where a missing key
    /// has index 0.
    ///
    /// Returns whether the value was written.
    pub(crate) fn put(&mut self, key: &str, expected: Option<u64>, data: Bytes) -> bool {
        let current = self.values.get(key).map_or(0, |value| value.index);
        if expected.is_some_and(|index| index != current) {
            return false;
        }
        self.index += 1;
        let index = self.index;
        let session = self.values.get(key).and_then(|value| value.session.clone());
        self.values.insert(
            key.into(),
            ValueState {
                data,
                index,
                session,
            },
        );
        true
    }

    /// Writes a value and locks it for a session.
    ///
    /// Returns `false` if the session is unknown or another session holds the lock.
    pub(crate) fn acquire(&mut self, now: Instant, key: &str, session: &str, data: Bytes) -> bool {
        self.expire(now);
        if !self.sessions.contains_key(session) {
            return false;
        }
        let holder = self
            .values
            .get(key)
            .and_then(|value| value.session.as_deref());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        self.index += 1;
        let index = self.index;
        let session = Some(session.to_owned());
        self.values.insert(
            key.into(),
            ValueState {
                data,
                index,
                session,
            },
        );
        true
    }

    pub(crate) fn create_session(&mut self, now: Instant, ttl: Duration) -> String {
        self.index += 1;
        let id = format!("session-{}", self.index);
        let expires = now + ttl;
        self.sessions
            .insert(id.clone(), SessionState { ttl, expires });
        id
    }

    pub(crate) fn renew_session(&mut self, now: Instant, id: &str) -> bool {
        self.expire(now);
        let Some(session) = self.sessions.get_mut(id) else {
            return false;
        };
        session.expires = now + session.ttl;
        true
    }

    pub(crate) fn destroy_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.release_orphaned_locks();
    }

    fn expire(&mut self, now: Instant) {
        self.sessions.retain(|_, session| session.expires > now);
        self.release_orphaned_locks();
    }

    fn release_orphaned_locks(&mut self) {
        for value in self.values.values_mut() {
            let is_orphaned = |id: &String| !self.sessions.contains_key(id);
            if value.session.as_ref().is_some_and(is_orphaned) {
                value.session = None;
            }
        }
    }
}
