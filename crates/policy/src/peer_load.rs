//! Load of backend servers by requests of other gateways, from their latest load reports.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    IncarnationId,
    InstanceId, //
};

use crate::BackendLoad;

/// Age at which a peer's load report expires.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct PeerReport {
    received_at: Instant,
    incarnation: IncarnationId,
    sequence: u64,
    loads: BTreeMap<u32, BackendLoad>,
}

/// Latest load report of each peer.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    reports: BTreeMap<InstanceId, PeerReport>,
}

impl PeerLoads {
    /// Applies a peer's load report. Returns false, without applying it, if the latest report of
    /// the same incarnation is as new or newer.
    pub fn apply(
        &mut self,
        now: Instant,
        peer: InstanceId,
        incarnation: IncarnationId,
        sequence: u64,
        loads: BTreeMap<u32, BackendLoad>,
    ) -> bool {
        let known = self.reports.get(&peer);
        if known
            .is_some_and(|report| report.incarnation == incarnation && report.sequence >= sequence)
        {
            return false;
        }
        let report = PeerReport {
            received_at: now,
            incarnation,
            sequence,
            loads,
        };
        self.reports.insert(peer, report);
        true
    }

    /// Removes expired reports and returns the number of peers with a current report.
    pub fn expire(&mut self, now: Instant) -> usize {
        self.reports
            .retain(|_, report| now < report.received_at + REPORT_LIFETIME);
        self.reports.len()
    }

    /// Returns the load of all `peer_count` peers at a backend server, extrapolated from the peers
    /// with a current report.
    pub fn load_at(&self, backend: u32, peer_count: usize) -> BackendLoad {
        let reporting = self.reports.len();
        let mut total = BackendLoad::default();
        for report in self.reports.values() {
            total.add(report.loads.get(&backend).copied().unwrap_or_default());
        }
        if reporting == 0 || peer_count <= reporting {
            return total;
        }
        let factor = peer_count as f64 / reporting as f64;
        BackendLoad {
            requests: (f64::from(total.requests) * factor) as u32,
            prefill_backlog: total.prefill_backlog.scaled(factor),
            kv_cache_tokens: (total.kv_cache_tokens as f64 * factor) as u64,
        }
    }
}
