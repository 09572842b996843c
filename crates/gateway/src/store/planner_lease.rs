//! Election of the planner by a leased key in the store.

use std::time::Duration;

use bytes::Bytes;
use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyPrecondition,
    KeyPut,
    KeyValue,
    PlatformError,
    StoreLease,
    StoreRevision,
    WriteOutcome, //
};
use policy::{
    BootTime,
    member_turn,
    planner_epoch, //
};
use units::InstanceId;

use crate::shared::GatewayShared;
use crate::store::store_call::{
    CallPurpose,
    track_store_call, //
};

/// Key of the planner lease. Its value is the instance of the lease holder, the only gateway that
/// orders stage changes.
pub(crate) const PLANNER_KEY: &str = "galenarail/planner";
/// Time to live of the planner lease.
pub(crate) const PLANNER_LEASE_TTL: Duration = Duration::from_secs(4);
/// Delay for each gateway that precedes this one in acquiring the planner lease.
const PLANNER_TURN: Duration = Duration::from_millis(500);
/// Number of gateways of which the lease is left to one.
const MAX_PLANNER_TURN: u32 = 4;
/// Time in which gateways that start together learn of each other.
const MEMBER_NEWS_TIME: Duration = Duration::from_millis(500);

/// Key of the planner lease, according to the watch on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlannerKey {
    /// Not read yet.
    Unknown,
    /// No gateway holds the lease.
    Absent,
    /// Names this gateway, and was written at this revision.
    Own(u64),
    /// Names another gateway.
    Other,
}

async fn track_call<T>(
    shared: &GatewayShared,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    track_store_call(shared, CallPurpose::PlannerLease, call).await
}

/// Returns what an item of the planner key says.
pub(crate) fn planner_key(shared: &GatewayShared, item: &KeyValue) -> PlannerKey {
    if item.value == shared.settings.instance.as_str() {
        PlannerKey::Own(item.revision)
    } else {
        PlannerKey::Other
    }
}

/// Returns the gateway that an item of the planner key names.
pub(crate) fn planner_holder(item: &KeyValue) -> Option<InstanceId> {
    std::str::from_utf8(&item.value).ok()?.parse().ok()
}

/// Returns how long this gateway leaves the planner lease to others, of which one acquires it.
pub(crate) fn planner_turn_delay(shared: &GatewayShared) -> Duration {
    let own = &shared.settings.instance;
    let turn = member_turn(PLANNER_KEY, own, shared.lock().members.keys());
    MEMBER_NEWS_TIME + PLANNER_TURN * turn.min(MAX_PLANNER_TURN)
}

/// Acquires the planner lease, unless another gateway has been first.
pub(crate) async fn try_acquire_planner_lease(shared: &GatewayShared) -> Result<(), PlatformError> {
    let sent_at = boot_time();
    let lease = track_call(shared, shared.store.open_lease(PLANNER_LEASE_TTL)).await?;
    let unheld_key = KeyPrecondition {
        key: PLANNER_KEY.into(),
        revision: 0,
    };
    let put = KeyPut {
        key: PLANNER_KEY.into(),
        value: Bytes::from(shared.settings.instance.to_string()),
        lease: Some(lease.id),
    };
    let write = shared
        .store
        .write(lease.era, vec![unheld_key], vec![put], Vec::new());
    let outcome = track_call(shared, write).await;
    if let Ok(WriteOutcome::Committed(revision)) = outcome
        && record_planner_lease(shared, sent_at, lease, revision)
    {
        return Ok(());
    }
    // A write whose response was lost may still take effect, but not once its lease has ended.
    track_call(shared, shared.store.end_lease(lease)).await?;
    outcome.map(|_| ())
}

/// Records the planner lease with its fencing token. Returns false if it is void.
fn record_planner_lease(
    shared: &GatewayShared,
    sent_at: BootTime,
    lease: StoreLease,
    revision: StoreRevision,
) -> bool {
    let epoch = planner_epoch(revision.era, revision.number);
    let mut state = shared.lock();
    let valid_epoch = epoch.filter(|_| state.era.is_current(revision.era));
    if let Some(epoch) = valid_epoch {
        state.leases.planner = Some(lease);
        state.order_lease.record_acquired(sent_at, epoch);
    }
    drop(state);
    let record = match valid_epoch {
        Some(epoch) => {
            let record = DecisionRecord::new(DecisionKind::Lease, "planner lease acquired");
            record.chosen(epoch)
        }
        None => DecisionRecord::new(DecisionKind::Lease, "planner lease is void").failure(),
    };
    shared
        .log
        .write(record.input("store_revision", revision.to_string()));
    valid_epoch.is_some()
}

/// Removes the planner key of this gateway that belongs to none of its leases. A write that was
/// executed after the store came back from an earlier copy may have put it under the lease of another
/// gateway, which has been given the same id.
pub(crate) async fn remove_unheld_key(
    shared: &GatewayShared,
    revision: u64,
) -> Result<(), PlatformError> {
    let era = shared.lock().era.era;
    let key = KeyPrecondition {
        key: PLANNER_KEY.into(),
        revision,
    };
    let write = shared
        .store
        .write(era, vec![key], Vec::new(), vec![PLANNER_KEY.into()]);
    let is_removed = matches!(track_call(shared, write).await?, WriteOutcome::Committed(_));
    // The watch tells of the next change of the key.
    let mut state = shared.lock();
    if state.planner_key == PlannerKey::Own(revision) && state.era.is_current(era) {
        state.planner_key = PlannerKey::Unknown;
    }
    drop(state);
    if is_removed {
        let reason = "planner key without a lease removed";
        let record = DecisionRecord::new(DecisionKind::Lease, reason);
        shared.log.write(record.input("store_revision", revision));
    }
    Ok(())
}

/// Renews the planner lease if this gateway holds it, and ends it while the gateway drains.
pub(crate) async fn renew_planner_lease(shared: &GatewayShared) -> Result<(), PlatformError> {
    let Some(lease) = shared.lock().leases.planner else {
        return Ok(());
    };
    if shared.is_draining() {
        record_planner_lease_lost(shared, "gateway is draining");
        // The renewal tells whether the lease id has been given to another gateway in the next era.
        if track_call(shared, shared.store.renew_lease(lease)).await? {
            track_call(shared, shared.store.end_lease(lease)).await?;
        }
        return Ok(());
    }
    let sent_at = boot_time();
    let is_renewed = track_call(shared, shared.store.renew_lease(lease)).await?;
    if shared.lock().leases.planner != Some(lease) {
        return Ok(());
    }
    if is_renewed {
        shared.lock().order_lease.record_renewed(sent_at);
    } else {
        record_planner_lease_lost(shared, "lease expired");
    }
    Ok(())
}

fn record_planner_lease_lost(shared: &GatewayShared, reason: &str) {
    let mut state = shared.lock();
    state.leases.planner = None;
    state.order_lease.record_lost();
    drop(state);
    let record = DecisionRecord::new(DecisionKind::Lease, "planner lease lost");
    shared.log.write(record.input("cause", reason).failure());
}
