//! Competes for the planner lease of the data centre and orders role changes while holding it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    EngineObservation,
    EngineRole,
    OrderAuthorization,
    RoleChange,
    RolePlanner, //
};
use store::{
    SessionId,
    SessionRequest,
    StoreError,
    StoreKey, //
};
use tokio::time::{
    Instant,
    MissedTickBehavior,
    interval, //
};
use units::{
    EngineSeconds,
    EpochNumber, //
};
use wire::{
    FrameKind,
    RoleOrder, //
};

use crate::state::{
    EntryShared,
    PLANNER_LEASE_DURATION, //
};

const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of entries in a data centre that compete for the lease, which limits the load on the
/// store.
const CANDIDATE_COUNT: usize = 3;

/// Acquires and renews the lease and plans role changes, until aborted.
pub(crate) async fn plan_roles(shared: Arc<EntryShared>) {
    let mut holder = LeaseHolder {
        shared,
        session: None,
        epoch: None,
        last_order: 0,
    };
    let mut planner = RolePlanner::new();
    let mut ticks = interval(LEASE_RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let is_candidate =
            holder.epoch.is_some() || holder.shared.is_chosen_for("planner", CANDIDATE_COUNT);
        if is_candidate {
            holder.renew().await;
        }
        let observations = holder.shared.engine_observations();
        let change = planner.plan(Instant::now(), &observations);
        if let Some(change) = change {
            holder.send_order(&change);
        }
    }
}

/// Acquires the planner lease and sends orders under it.
struct LeaseHolder {
    shared: Arc<EntryShared>,
    session: Option<SessionId>,
    epoch: Option<EpochNumber>,
    last_order: u64,
}

impl LeaseHolder {
    /// Acquires or renews the lease. Any error counts as a failed renewal.
    async fn renew(&mut self) {
        self.shared
            .lock()
            .planner_lease
            .start_renewal(Instant::now());
        let renewal = match (&self.session, self.epoch) {
            (Some(session), Some(epoch)) => {
                let session = session.clone();
                self.shared
                    .store
                    .renew_session(&session)
                    .await
                    .map(|()| Some(epoch))
            }
            _ => self.acquire().await,
        };
        match renewal {
            Ok(Some(epoch)) => self.record_held(epoch),
            Ok(None) => self.shared.lock().planner_lease.fail_renewal(),
            Err(error) => self.record_failed_renewal(&error),
        }
    }

    /// Tries to acquire the lease and returns its epoch, or `None` if another entry holds it.
    async fn acquire(&mut self) -> Result<Option<EpochNumber>, StoreError> {
        let store = &self.shared.store;
        let session = match self.session.clone() {
            Some(session) => session,
            None => {
                let request = SessionRequest::new("galenarail-planner", PLANNER_LEASE_DURATION);
                store.create_session(&request).await?
            }
        };
        self.session = Some(session.clone());
        let key = StoreKey::planner(&self.shared.settings.data_centre);
        let holder_name = Bytes::from(self.shared.identity.instance.to_string());
        if !store.acquire(&key, &session, holder_name).await? {
            // The session is kept alive for the next attempt to acquire the lease.
            store.renew_session(&session).await?;
            return Ok(None);
        }
        // The index of the write that acquired the lock serves as fencing token, since it grows
        // with each lease holder.
        let value = store.get(&key).await?;
        let held_value = value.filter(|value| value.session.as_ref() == Some(&session));
        Ok(held_value.map(|value| EpochNumber(value.index)))
    }

    fn record_held(&mut self, epoch: EpochNumber) {
        self.shared.lock().planner_lease.complete_renewal(epoch);
        if self.epoch != Some(epoch) {
            self.epoch = Some(epoch);
            self.shared.metrics.planner.set(1);
            let record = DecisionRecord::new(DecisionKind::Lease, "planner lease acquired");
            self.shared.log.write(record.chosen(epoch));
        }
    }

    fn record_failed_renewal(&mut self, error: &StoreError) {
        self.shared.metrics.store_errors.inc();
        self.shared.lock().planner_lease.fail_renewal();
        if matches!(error, StoreError::ErrorStatus { .. }) {
            // The session has expired, and another entry may hold the lease.
            self.session = None;
            self.shared.lock().planner_lease.release();
            if self.epoch.take().is_some() {
                self.shared.metrics.planner.set(0);
                let record = DecisionRecord::new(DecisionKind::Lease, "planner lease lost");
                self.shared.log.write(record);
            }
        }
    }

    /// Sends an order, provided that the lease covers a timestamp of its side process.
    fn send_order(&mut self, change: &RoleChange) {
        let now = Instant::now();
        let state = self.shared.lock();
        let Some(authorization) = state.planner_lease.authorization(now, &change.instance) else {
            return;
        };
        let Some(link) = state.links.get(&change.instance) else {
            return;
        };
        self.last_order += 1;
        let role_order = make_role_order(self.last_order, &authorization, change.role);
        let sent = link.sender.send(FrameKind::Order(role_order));
        drop(state);
        if !sent {
            return;
        }
        self.shared.metrics.role_orders.inc();
        let reason = format!(
            "prefill is {:.0}% of the requested work; expected gain {:.1} engine seconds",
            change.prefill_share * 100.0,
            change.gain_seconds
        );
        let record = DecisionRecord::new(DecisionKind::Order, reason)
            .chosen(format!("{} to {}", change.instance, change.role));
        self.shared.log.write(record);
    }
}

fn make_role_order(order: u64, authorization: &OrderAuthorization, role: EngineRole) -> RoleOrder {
    RoleOrder {
        order,
        epoch: authorization.epoch.0,
        incarnation: authorization.incarnation.0,
        clock_ms: authorization.timestamp.0.as_millis() as u64,
        role: role.to_string(),
    }
}

impl EntryShared {
    /// Returns the state of the engines in the entry's data centre.
    fn engine_observations(&self) -> Vec<EngineObservation> {
        let state = self.lock();
        let mut observations = Vec::new();
        for (instance, link) in &state.links {
            let record = state.instances.get(instance);
            let is_local =
                record.is_some_and(|record| record.data_centre == self.settings.data_centre);
            let Ok(role) = link.backend.role.parse::<EngineRole>() else {
                continue;
            };
            if !is_local || link.service.is_some() || link.backend.pieces == 0 {
                continue;
            }
            observations.push(EngineObservation {
                instance: instance.clone(),
                role,
                unavailable: link.load.changing_role || !link.load.accepting,
                requested_prefill: EngineSeconds(link.load.prefill_total_seconds),
                requested_decode: EngineSeconds(link.load.decode_total_seconds),
                role_change_seconds: link.backend.role_change_seconds,
            });
        }
        observations
    }
}
