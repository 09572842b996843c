//! Registration of the gateways and election of the planner, both by leased keys in the store.

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

use crate::shared::GatewayShared;
use crate::store_watch::track_store_call;

/// Prefix of all keys of the gateways.
pub(crate) const GATEWAY_PREFIX: &str = "galenarail/";
/// Prefix of the member keys. The instance of the gateway follows.
const MEMBER_PREFIX: &str = "galenarail/members/";
/// Key of the planner lease. Its value is the instance of the lease holder, the only gateway that
/// orders stage changes.
pub(crate) const PLANNER_KEY: &str = "galenarail/planner";
/// Time to live of the lease of a member key.
const MEMBER_LEASE_TTL: Duration = Duration::from_secs(20);
/// Time to live of the planner lease.
pub(crate) const PLANNER_LEASE_TTL: Duration = Duration::from_secs(4);
/// Interval between renewals of the planner lease, and between checks whether it is free.
const PLANNER_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between renewals of the lease of this gateway's member key.
const MEMBER_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Leases that this gateway holds.
#[derive(Default)]
struct HeldLeases {
    member: Option<LeaseId>,
    planner: Option<LeaseId>,
    member_renewed_at: Option<Instant>,
}

/// Keeps this gateway registered, and acquires and renews the planner lease, until aborted.
pub(crate) async fn maintain_leases(shared: Arc<GatewayShared>) {
    let mut held = HeldLeases::default();
    loop {
        let pause = match maintain_once(&shared, &mut held).await {
            Ok(()) => PLANNER_RENEWAL_INTERVAL,
            Err(_) => RETRY_DELAY,
        };
        sleep(pause).await;
    }
}

async fn maintain_once(shared: &GatewayShared, held: &mut HeldLeases) -> Result<(), PlatformError> {
    if held.planner.is_some() {
        renew_planner_lease(shared, held).await?;
    }
    maintain_membership(shared, held).await?;
    let is_free = shared.lock().planner_is_free;
    if is_free && held.planner.is_none() && !shared.is_draining() {
        try_acquire_planner_lease(shared, held).await?;
    }
    Ok(())
}

/// Renews the lease of the member key if it is due, and registers the gateway if the lease has ended.
async fn maintain_membership(
    shared: &GatewayShared,
    held: &mut HeldLeases,
) -> Result<(), PlatformError> {
    let now = Instant::now();
    let is_renewal_due = held
        .member_renewed_at
        .is_none_or(|at| now >= at + MEMBER_RENEWAL_INTERVAL);
    match held.member {
        Some(_) if !is_renewal_due => {}
        Some(lease) if track_store_call(shared, shared.store.renew_lease(lease)).await? => {
            held.member_renewed_at = Some(now);
        }
        _ => {
            held.member = Some(register_member(shared).await?);
            held.member_renewed_at = Some(now);
        }
    }
    Ok(())
}

async fn register_member(shared: &GatewayShared) -> Result<LeaseId, PlatformError> {
    let lease = track_store_call(shared, shared.store.open_lease(MEMBER_LEASE_TTL)).await?;
    let put = KeyPut {
        key: format!("{MEMBER_PREFIX}{}", shared.settings.instance),
        value: Bytes::from(shared.settings.peer_address.to_string()),
        lease: Some(lease),
    };
    let write = shared.store.write(Vec::new(), vec![put], Vec::new());
    match track_store_call(shared, write).await? {
        WriteOutcome::Committed(_) => Ok(lease),
        WriteOutcome::Conflict | WriteOutcome::LeaseEnded => Err(PlatformError::LeaseEnded),
    }
}

/// Parses a member key and its value, the address for load reports.
pub(crate) fn parse_member(item: &KeyValue) -> Option<(InstanceId, SocketAddr)> {
    let instance_name = item.key.strip_prefix(MEMBER_PREFIX)?;
    let address = std::str::from_utf8(&item.value).ok()?;
    Some((instance_name.parse().ok()?, address.parse().ok()?))
}

/// Replaces the known gateways and the state of the planner lease by all keys of the gateways.
pub(crate) fn replace_members(shared: &GatewayShared, items: &[KeyValue]) {
    let members: BTreeMap<InstanceId, SocketAddr> = items.iter().filter_map(parse_member).collect();
    let count = members.len();
    let mut state = shared.lock();
    state.planner_is_free = items.iter().all(|item| item.key != PLANNER_KEY);
    let before = std::mem::replace(&mut state.members, members).len();
    drop(state);
    log_gateway_count(shared, before, count);
}

/// Applies a change of a gateway's member key or of the planner lease.
pub(crate) fn apply_member_change(shared: &GatewayShared, change: &KeyChange) {
    let mut state = shared.lock();
    let before = state.members.len();
    match change {
        KeyChange::Written(item) if item.key == PLANNER_KEY => state.planner_is_free = false,
        KeyChange::Removed(key) if key == PLANNER_KEY => state.planner_is_free = true,
        KeyChange::Written(item) => state.members.extend(parse_member(item)),
        KeyChange::Removed(key) => {
            let instance_name = key.strip_prefix(MEMBER_PREFIX).unwrap_or_default();
            state
                .members
                .retain(|member, _| member.as_str() != instance_name);
        }
    }
    let count = state.members.len();
    drop(state);
    log_gateway_count(shared, before, count);
}

fn log_gateway_count(shared: &GatewayShared, before: usize, count: usize) {
    if before != count {
        let record = DecisionRecord::new(DecisionKind::Member, "gateway count changed");
        let record = record.input("before", before).input("now", count);
        shared.log.write(record);
    }
}

async fn try_acquire_planner_lease(
    shared: &GatewayShared,
    held: &mut HeldLeases,
) -> Result<(), PlatformError> {
    let sent_at = boot_time();
    let lease = track_store_call(shared, shared.store.open_lease(PLANNER_LEASE_TTL)).await?;
    let unheld_key = KeyPrecondition {
        key: PLANNER_KEY.into(),
        revision: 0,
    };
    let put = KeyPut {
        key: PLANNER_KEY.into(),
        value: Bytes::from(shared.settings.instance.to_string()),
        lease: Some(lease),
    };
    let write = shared.store.write(vec![unheld_key], vec![put], Vec::new());
    let outcome = track_store_call(shared, write).await;
    if let Ok(WriteOutcome::Committed(revision)) = outcome {
        held.planner = Some(lease);
        // The store's revisions increase, so a later lease holder gets a higher fencing token.
        shared
            .lock()
            .order_lease
            .record_acquired(sent_at, EpochNumber(revision));
        let record = DecisionRecord::new(DecisionKind::Lease, "planner lease acquired");
        shared.log.write(record.chosen(revision));
        return Ok(());
    }
    // A write whose response was lost may still take effect, but not once its lease has ended.
    track_store_call(shared, shared.store.end_lease(lease)).await?;
    outcome.map(|_| ())
}

async fn renew_planner_lease(
    shared: &GatewayShared,
    held: &mut HeldLeases,
) -> Result<(), PlatformError> {
    let Some(lease) = held.planner else {
        return Ok(());
    };
    if shared.is_draining() {
        record_planner_lease_lost(shared, held, "gateway is draining");
        return track_store_call(shared, shared.store.end_lease(lease)).await;
    }
    let sent_at = boot_time();
    if track_store_call(shared, shared.store.renew_lease(lease)).await? {
        shared.lock().order_lease.record_renewed(sent_at);
    } else {
        record_planner_lease_lost(shared, held, "lease expired");
    }
    Ok(())
}

fn record_planner_lease_lost(shared: &GatewayShared, held: &mut HeldLeases, reason: &str) {
    held.planner = None;
    shared.lock().order_lease.record_lost();
    let record = DecisionRecord::new(DecisionKind::Lease, "planner lease lost");
    shared.log.write(record.input("cause", reason).failure());
}
