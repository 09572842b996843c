//! Membership of the gateways and the planner's lease, by leased keys in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyChange,
    KeyPrecondition,
    KeyPut,
    KeyValue,
    LeaseId,
    PlatformError,
    WriteOutcome, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    EpochNumber,
    InstanceId, //
};

use crate::follow::counted;
use crate::shared::GatewayShared;

/// Start of the keys of the gateways.
pub(crate) const OWN_PREFIX: &str = "galenarail/";
/// Start of the keys of members; the instance follows.
const MEMBER_PREFIX: &str = "galenarail/members/";
/// Key of the gateway that gives orders.
pub(crate) const PLANNER_KEY: &str = "galenarail/planner";
/// Time for which a gateway counts as a member without renewing its lease.
const MEMBER_LIFETIME: Duration = Duration::from_secs(20);
/// Time for which the planner's lease holds without renewal.
pub(crate) const PLANNER_LIFETIME: Duration = Duration::from_secs(4);
/// Pause between renewals of the planner's lease, and between looks at whether it is free.
const RENEW_PAUSE: Duration = Duration::from_secs(1);
/// Pause between renewals of the own key.
const MEMBER_PAUSE: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The leases that this gateway holds.
#[derive(Default)]
struct HeldLeases {
    member: Option<LeaseId>,
    planner: Option<LeaseId>,
    renewed: Option<Instant>,
}

/// Keeps the gateway's own key, the count of all, and the planner's lease if it is free, until
/// aborted.
pub(crate) async fn follow_members(shared: Arc<GatewayShared>) {
    let mut held = HeldLeases::default();
    loop {
        let pause = match step(&shared, &mut held).await {
            Ok(()) => RENEW_PAUSE,
            Err(_) => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

async fn step(shared: &GatewayShared, held: &mut HeldLeases) -> Result<(), PlatformError> {
    if held.planner.is_some() {
        renew_planner(shared, held).await?;
    }
    keep_member(shared, held).await?;
    let is_free = shared.lock().planner_is_free;
    if is_free && held.planner.is_none() && !shared.is_leaving() {
        gain_planner(shared, held).await?;
    }
    Ok(())
}

async fn keep_member(shared: &GatewayShared, held: &mut HeldLeases) -> Result<(), PlatformError> {
    let now = Instant::now();
    let due = held.renewed.is_none_or(|at| now >= at + MEMBER_PAUSE);
    match held.member {
        Some(_) if !due => {}
        Some(lease) if counted(shared, shared.store.renew_lease(lease)).await? => {
            held.renewed = Some(now);
        }
        _ => {
            held.member = Some(join(shared).await?);
            held.renewed = Some(now);
        }
    }
    Ok(())
}

async fn join(shared: &GatewayShared) -> Result<LeaseId, PlatformError> {
    let lease = counted(shared, shared.store.open_lease(MEMBER_LIFETIME)).await?;
    let put = KeyPut {
        key: format!("{MEMBER_PREFIX}{}", shared.settings.instance),
        value: Bytes::from(shared.settings.peer_address.to_string()),
        lease: Some(lease),
    };
    let write = shared.store.write(Vec::new(), vec![put], Vec::new());
    match counted(shared, write).await? {
        WriteOutcome::Committed(_) => Ok(lease),
        WriteOutcome::Conflict | WriteOutcome::LeaseEnded => Err(PlatformError::LeaseEnded),
    }
}

/// Reads a member's key.
pub(crate) fn read_member(item: &KeyValue) -> Option<(InstanceId, SocketAddr)> {
    let name = item.key.strip_prefix(MEMBER_PREFIX)?;
    let address = std::str::from_utf8(&item.value).ok()?;
    Some((name.parse().ok()?, address.parse().ok()?))
}

/// Takes all keys of the gateways.
pub(crate) fn take_members(shared: &GatewayShared, items: &[KeyValue]) {
    let members: BTreeMap<InstanceId, SocketAddr> = items.iter().filter_map(read_member).collect();
    let count = members.len();
    let mut state = shared.lock();
    state.planner_is_free = items.iter().all(|item| item.key != PLANNER_KEY);
    let before = std::mem::replace(&mut state.members, members).len();
    drop(state);
    log_members(shared, before, count);
}

/// Takes a change of a key of the gateways.
pub(crate) fn take_member(shared: &GatewayShared, change: &KeyChange) {
    let mut state = shared.lock();
    let before = state.members.len();
    match change {
        KeyChange::Written(item) if item.key == PLANNER_KEY => state.planner_is_free = false,
        KeyChange::Removed(key) if key == PLANNER_KEY => state.planner_is_free = true,
        KeyChange::Written(item) => state.members.extend(read_member(item)),
        KeyChange::Removed(key) => {
            let name = key.strip_prefix(MEMBER_PREFIX).unwrap_or_default();
            state.members.retain(|member, _| member.as_str() != name);
        }
    }
    let count = state.members.len();
    drop(state);
    log_members(shared, before, count);
}

fn log_members(shared: &GatewayShared, before: usize, count: usize) {
    if before != count {
        let record = DecisionRecord::new(DecisionKind::Member, "count of gateways changed");
        let record = record.input("before", before).input("now", count);
        shared.log.write(record);
    }
}

async fn gain_planner(shared: &GatewayShared, held: &mut HeldLeases) -> Result<(), PlatformError> {
    let sent = boot_time();
    let lease = counted(shared, shared.store.open_lease(PLANNER_LIFETIME)).await?;
    let free = KeyPrecondition {
        key: PLANNER_KEY.into(),
        revision: 0,
    };
    let put = KeyPut {
        key: PLANNER_KEY.into(),
        value: Bytes::from(shared.settings.instance.to_string()),
        lease: Some(lease),
    };
    let write = shared.store.write(vec![free], vec![put], Vec::new());
    let written = counted(shared, write).await;
    if let Ok(WriteOutcome::Committed(revision)) = written {
        held.planner = Some(lease);
        // Revisions grow, so that a later holder has a higher token.
        shared
            .lock()
            .order_lease
            .record_acquired(sent, EpochNumber(revision));
        let record = DecisionRecord::new(DecisionKind::Lease, "planner lease gained");
        shared.log.write(record.chosen(revision));
        return Ok(());
    }
    // A write whose answer was lost may still take effect; without its lease it cannot.
    counted(shared, shared.store.end_lease(lease)).await?;
    written.map(|_| ())
}

async fn renew_planner(shared: &GatewayShared, held: &mut HeldLeases) -> Result<(), PlatformError> {
    let Some(lease) = held.planner else {
        return Ok(());
    };
    if shared.is_leaving() {
        lose_planner(shared, held, "gateway leaves");
        return counted(shared, shared.store.end_lease(lease)).await;
    }
    let sent = boot_time();
    if counted(shared, shared.store.renew_lease(lease)).await? {
        shared.lock().order_lease.record_renewed(sent);
    } else {
        lose_planner(shared, held, "lease ended");
    }
    Ok(())
}

fn lose_planner(shared: &GatewayShared, held: &mut HeldLeases, reason: &str) {
    held.planner = None;
    shared.lock().order_lease.record_lost();
    let record = DecisionRecord::new(DecisionKind::Lease, "planner lease lost");
    shared.log.write(record.input("cause", reason).failure());
}
