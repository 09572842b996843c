//! Counts the bytes of all links of this process.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes of frames since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Bytes of frames that this process has sent and received.
pub fn link_traffic() -> LinkTraffic {
    LinkTraffic {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
    }
}

pub(crate) fn count_sent(bytes: usize) {
    SENT.fetch_add(bytes as u64, Ordering::Relaxed);
}

pub(crate) fn count_received(bytes: usize) {
    RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
}
