//! Entries of backend servers in a store that has come back from an earlier copy.

use tokio::time::Instant;
use units::InstanceId;

use crate::{
    BackendChange,
    BackendFleet,
    BackendRecord, //
};

/// Applies all entries of a store whose copy may be older than what is known.
///
/// An entry of an unknown backend server may be that of one which has left, and one that accepts
/// requests may be from before the server started to drain. A backend server without an entry is kept
/// as after an outage. The servers write their entries again, which the watch on the store tells.
pub fn apply_restored_entries(
    fleet: &mut BackendFleet,
    now: Instant,
    records: Vec<BackendRecord>,
) -> Vec<(InstanceId, BackendChange)> {
    let is_unused = fleet.views().next().is_none();
    let records = records.into_iter().filter_map(|mut record| {
        let Some(view) = fleet.get(&record.instance) else {
            return is_unused.then_some(record);
        };
        let known = &view.record;
        if record.started_unix_ms < known.started_unix_ms {
            return Some(known.clone());
        }
        let is_same_run = record.started_unix_ms == known.started_unix_ms;
        record.draining |= is_same_run && known.draining;
        Some(record)
    });
    let records = records.collect();
    fleet.replace(now, records, true)
}
