//! Registration of the gateways by leased keys in the store, and the task that keeps their leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyChange,
    KeyPut,
    KeyValue,
    PlatformError,
    StoreLease,
    WriteOutcome, //
};
use tokio::time::{
    Instant,
    timeout, //
};
use units::InstanceId;

use crate::shared::GatewayShared;
use crate::store::planner_lease::{
    PLANNER_KEY,
    PlannerKey,
    planner_holder,
    planner_key,
    planner_turn_delay,
    remove_unheld_key,
    renew_planner_lease,
    try_acquire_planner_lease, //
};
use crate::store::store_call::{
    CallPurpose,
    track_store_call, //
};
use crate::store::store_era::members_may_return;
use crate::store::unreadable_entries::UnreadableKind;
use crate::store::unreadable_report::report_unreadable;

/// Prefix of all keys of the gateways.
pub(crate) const GATEWAY_PREFIX: &str = "galenarail/";
/// Prefix of the member keys. The instance of the gateway follows.
const MEMBER_PREFIX: &str = "galenarail/members/";
/// Time to live of the lease of a member key.
pub(crate) const MEMBER_LEASE_TTL: Duration = Duration::from_secs(20);
/// Interval between renewals of the planner lease, and between checks whether it is free.
const PLANNER_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between renewals of the lease of this gateway's member key.
const MEMBER_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Leases that this gateway holds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeldLeases {
    pub(crate) member: Option<StoreLease>,
    pub(crate) planner: Option<StoreLease>,
    member_renewed_at: Option<Instant>,
}

/// Keeps this gateway registered, and acquires and renews the planner lease, until aborted.
pub(crate) async fn maintain_leases(shared: Arc<GatewayShared>) {
    let mut eras = shared.eras.subscribe();
    let mut absent_since = None;
    loop {
        let pause = match maintain_once(&shared, &mut absent_since).await {
            Ok(()) => PLANNER_RENEWAL_INTERVAL,
            Err(_) => RETRY_DELAY,
        };
        // Leases are opened again as soon as the era rises.
        let _ = timeout(pause, eras.changed()).await;
    }
}

/// Renews or acquires what is due. `absent_since` tells since when no gateway holds the planner lease.
async fn maintain_once(
    shared: &GatewayShared,
    absent_since: &mut Option<Instant>,
) -> Result<(), PlatformError> {
    renew_planner_lease(shared).await?;
    maintain_membership(shared).await?;
    let is_held = shared.lock().leases.planner.is_some();
    let planner_key = shared.lock().planner_key;
    if planner_key != PlannerKey::Absent {
        *absent_since = None;
    }
    match planner_key {
        PlannerKey::Absent if !is_held && !shared.is_draining() => {
            let since = *absent_since.get_or_insert_with(Instant::now);
            if since.elapsed() < planner_turn_delay(shared) {
                return Ok(());
            }
            try_acquire_planner_lease(shared).await
        }
        PlannerKey::Own(revision) if !is_held => remove_unheld_key(shared, revision).await,
        _ => Ok(()),
    }
}

/// Renews the lease of the member key if it is due, and registers the gateway if the lease has ended.
async fn maintain_membership(shared: &GatewayShared) -> Result<(), PlatformError> {
    let now = Instant::now();
    let held = shared.lock().leases;
    let is_renewal_due = held
        .member_renewed_at
        .is_none_or(|at| now >= at + MEMBER_RENEWAL_INTERVAL);
    let renewed = match held.member {
        Some(_) if !is_renewal_due => return Ok(()),
        Some(lease)
            if track_store_call(
                shared,
                CallPurpose::Membership,
                shared.store.renew_lease(lease),
            )
            .await? =>
        {
            lease
        }
        _ => register_member(shared).await?,
    };
    let mut state = shared.lock();
    if state.era.is_current(renewed.era) {
        state.leases.member = Some(renewed);
        state.leases.member_renewed_at = Some(now);
    }
    Ok(())
}

async fn register_member(shared: &GatewayShared) -> Result<StoreLease, PlatformError> {
    let lease = track_store_call(
        shared,
        CallPurpose::Membership,
        shared.store.open_lease(MEMBER_LEASE_TTL),
    )
    .await?;
    let put = KeyPut {
        key: format!("{MEMBER_PREFIX}{}", shared.settings.instance),
        value: Bytes::from(shared.settings.peer_address.to_string()),
        lease: Some(lease.id),
    };
    let write = shared
        .store
        .write(lease.era, Vec::new(), vec![put], Vec::new());
    match track_store_call(shared, CallPurpose::Membership, write).await? {
        WriteOutcome::Committed(_) => Ok(lease),
        WriteOutcome::Conflict(_) | WriteOutcome::LeaseEnded => Err(PlatformError::LeaseEnded),
    }
}

/// Parses a member key and its value, the address for load reports.
pub(crate) fn parse_member(item: &KeyValue) -> Option<(InstanceId, SocketAddr)> {
    let instance_name = item.key.strip_prefix(MEMBER_PREFIX)?;
    let address = std::str::from_utf8(&item.value).ok()?;
    Some((instance_name.parse().ok()?, address.parse().ok()?))
}

fn parse_or_report(shared: &GatewayShared, item: &KeyValue) -> Option<(InstanceId, SocketAddr)> {
    let member = parse_member(item);
    if member.is_none() && item.key.starts_with(MEMBER_PREFIX) {
        let cause = "no address of a gateway";
        report_unreadable(shared, UnreadableKind::Member, item, cause);
    }
    member
}

/// Replaces the known gateways and the state of the planner lease by all keys of the gateways.
pub(crate) fn replace_members(shared: &GatewayShared, items: &[KeyValue]) {
    let parsed = items
        .iter()
        .filter_map(|item| parse_or_report(shared, item));
    let mut members: BTreeMap<InstanceId, SocketAddr> = parsed.collect();
    let planner_item = items.iter().find(|item| item.key == PLANNER_KEY);
    let planner_key = planner_item.map_or(PlannerKey::Absent, |item| planner_key(shared, item));
    let holder = planner_item.and_then(planner_holder);
    let mut state = shared.lock();
    state.planner_key = planner_key;
    state.planner_holder = holder;
    // Each gateway would take a larger share of the retry budgets if others seemed to be gone.
    if members_may_return(&state.store_health, Instant::now()) {
        let known = state.members.clone();
        members = known.into_iter().chain(members).collect();
    }
    let count = members.len();
    let before = std::mem::replace(&mut state.members, members).len();
    drop(state);
    log_gateway_count(shared, before, count);
}

/// Applies a change of a gateway's member key or of the planner lease.
pub(crate) fn apply_member_change(shared: &GatewayShared, change: &KeyChange) {
    let member = match change {
        KeyChange::Written(item) => parse_or_report(shared, item),
        KeyChange::Removed(_) => None,
    };
    let mut state = shared.lock();
    let before = state.members.len();
    match change {
        KeyChange::Written(item) if item.key == PLANNER_KEY => {
            state.planner_key = planner_key(shared, item);
            state.planner_holder = planner_holder(item);
        }
        KeyChange::Removed(key) if key == PLANNER_KEY => {
            state.planner_key = PlannerKey::Absent;
            state.planner_holder = None;
        }
        KeyChange::Written(_) => state.members.extend(member),
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
