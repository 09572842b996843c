//! Byte counters of all links of this process.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes of frames sent and received since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Bytes of frames sent.
    pub sent_bytes: u64,
    /// Bytes of frames received.
    pub received_bytes: u64,
}

/// Returns the bytes of frames that this process has sent and received.
pub fn link_traffic() -> LinkTraffic {
    LinkTraffic {
        sent_bytes: SENT_BYTES.load(Ordering::Relaxed),
        received_bytes: RECEIVED_BYTES.load(Ordering::Relaxed),
    }
}

pub(crate) fn count_sent(bytes: usize) {
    SENT_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}

pub(crate) fn count_received(bytes: usize) {
    RECEIVED_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}
