//! Era of the platform's store: what a gateway remembers from the store ends when the era rises.

use std::time::Duration;

use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::StoreHealth;
use tokio::time::Instant;
use units::StoreEra;

use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::store::membership::{
    HeldLeases,
    MEMBER_LEASE_TTL, //
};
use crate::store::planner_lease::PlannerKey;
use crate::suspects::suspect_sharing::queue_write;

/// Era that the state of a gateway belongs to.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EraState {
    /// Era, or `None` while the store has not told it.
    pub(crate) era: Option<StoreEra>,
    /// Time of the latest response to a store call in this era.
    answered_at: Option<Instant>,
}

impl EraState {
    /// Returns whether something learned in `era` still holds. An unknown era never ends.
    pub(crate) fn is_current(&self, era: Option<StoreEra>) -> bool {
        era.is_none() || era == self.era
    }
}

/// Compares the era of the store's responses with that of the state, and voids what the state holds
/// from an earlier era. Runs after each store call, before its result is used; `is_answered` tells
/// whether the call got a response.
pub(crate) fn observe_era(shared: &GatewayShared, is_answered: bool) {
    let Some(era) = shared.store.era() else {
        return;
    };
    let now = Instant::now();
    let mut state = shared.lock();
    let answered_at = state.era.answered_at;
    if is_answered {
        state.era.answered_at = Some(now);
    }
    if state.era.era >= Some(era) {
        return;
    }
    let Some(before) = state.era.era.replace(era) else {
        // The era may have risen just before this gateway started.
        void_leases(&mut state);
        return;
    };
    let was_planner = state.order_lease.is_held();
    let records = void_earlier_era(shared, &mut state, now);
    drop(state);
    let reason = "store came back from an earlier copy; its keys are read and written again";
    let record = DecisionRecord::new(DecisionKind::Dependency, reason)
        .chosen(era)
        .input("era_before", before.0)
        .input("era", era.0)
        .input(
            "age_ms",
            answered_at.map(|at| (now - at).as_millis() as u64),
        )
        .input("was_planner", was_planner)
        .input("suspects", records)
        .failure();
    shared.log.write(record);
    shared.eras.send_replace(Some(era));
}

/// Voids all revisions and leases. Keeps what does not depend on them: the configuration, whose
/// version never goes back, the evidence on suspects and the known gateways and backend servers, until
/// these had time to write their keys again. Returns the number of records to be written again.
fn void_earlier_era(shared: &GatewayShared, state: &mut GatewayState, now: Instant) -> usize {
    void_leases(state);
    state.planner_key = PlannerKey::Unknown;
    state.store_health.record_restored(now);
    let recorded = state.suspect_news.void_revisions();
    for suspect in &recorded {
        queue_write(shared, state, *suspect, Duration::ZERO);
    }
    recorded.len()
}

fn void_leases(state: &mut GatewayState) {
    state.leases = HeldLeases::default();
    state.order_lease.record_leases_lost(boot_time());
}

/// Time after the store's return from an earlier copy until which gateways without a member key are
/// kept. Each may notice the loss of its lease as late as the lease would have expired.
const MEMBER_RETURN_TIME: Duration = MEMBER_LEASE_TTL;

/// Returns whether gateways without a member key are kept.
pub(crate) fn members_may_return(health: &StoreHealth, now: Instant) -> bool {
    let restored_at = health.restored_at();
    restored_at.is_some_and(|at| now < at + MEMBER_RETURN_TIME)
}

/// Returns when all keys that were read at `loaded_at` are to be read again, so that what was kept
/// after the store's return from an earlier copy goes if it is not in the store by then.
pub(crate) fn next_load(health: &StoreHealth, loaded_at: Instant) -> Option<Instant> {
    let members_due = health.restored_at().map(|at| at + MEMBER_RETURN_TIME);
    let due = [health.outdated_until(), members_due];
    due.into_iter().flatten().find(|due| loaded_at < *due)
}
