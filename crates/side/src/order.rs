//! Execution of the planner's role change orders.
//!
//! Orders run one at a time, and only while the planner that sent them may still hold its lease.

use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    EngineRole,
    OrderAuthorization,
    OrderRefusal,
    SideTimestamp, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};
use units::{
    EpochNumber,
    IncarnationId, //
};
use wire::{
    FrameKind,
    LinkSender,
    OrderVerdict,
    RoleOrder, //
};

use crate::engine_client::OrderOutcome;
use crate::state::SideShared;

/// Time for running streams to finish before a role change interrupts the rest.
const ROLE_CHANGE_DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of queries for whether the engine has completed a role change.
const ROLE_CHANGE_POLL_PERIOD: Duration = Duration::from_millis(100);

impl SideShared {
    /// Accepts or refuses an order, and carries out an accepted order in a new task.
    pub(crate) fn handle_order(self: &Arc<Self>, order: RoleOrder, sender: &LinkSender) {
        let authorization = OrderAuthorization {
            epoch: EpochNumber(order.epoch),
            incarnation: IncarnationId(order.incarnation),
            timestamp: SideTimestamp(Duration::from_millis(order.clock_ms)),
        };
        let Ok(role) = order.role.parse::<EngineRole>() else {
            self.send_order_verdict(sender, order.order, Some("unknown role".into()));
            return;
        };
        let accepted = self
            .lock()
            .validator
            .accept(self.clock.timestamp(), &authorization);
        if let Err(refusal) = accepted {
            self.record_order_refusal(&refusal);
            self.send_order_verdict(sender, order.order, Some(refusal.to_string()));
            return;
        }
        self.send_order_verdict(sender, order.order, None);
        tokio::spawn(self.clone().change_role(authorization, role));
    }

    fn send_order_verdict(&self, sender: &LinkSender, order: u64, refusal: Option<String>) {
        let accepted = refusal.is_none();
        let reason = refusal.unwrap_or_default();
        // If the verdict is lost, later heartbeats still show the planner the role.
        let _ = sender.send(FrameKind::Verdict(OrderVerdict {
            order,
            accepted,
            reason,
        }));
    }

    fn record_order_refusal(&self, refusal: &OrderRefusal) {
        self.metrics.orders_refused.inc();
        let record = DecisionRecord::new(DecisionKind::RefuseOrder, refusal.to_string());
        self.log.write(record);
    }

    /// Drains the engine, changes its role, and accepts jobs again.
    async fn change_role(self: Arc<Self>, authorization: OrderAuthorization, role: EngineRole) {
        self.lock().update_accepting();
        self.send_heartbeats();
        self.drain_engine(Instant::now() + ROLE_CHANGE_DRAIN_TIMEOUT)
            .await;
        // The order may have expired, or a newer planner may have appeared, during the drain.
        let validated = self
            .lock()
            .validator
            .check(self.clock.timestamp(), &authorization);
        match validated {
            Err(refusal) => self.record_order_refusal(&refusal),
            Ok(()) => self.send_role_order(authorization.epoch, role).await,
        }
        {
            let mut state = self.lock();
            state.validator.finish();
            state.update_accepting();
            self.run_scheduler(&mut state);
        }
        self.send_heartbeats();
    }

    /// Waits until all jobs have ended, and evicts the rest at the deadline.
    async fn drain_engine(self: &Arc<Self>, deadline: Instant) {
        loop {
            let work_changed = self.work_changed.notified();
            if self.lock().jobs.is_empty() {
                return;
            }
            if timeout_at(deadline, work_changed).await.is_err() {
                break;
            }
        }
        let mut state = self.lock();
        self.evict_jobs(&mut state);
    }

    /// Sends the role change to the engine and waits until the engine has completed it.
    async fn send_role_order(self: &Arc<Self>, epoch: EpochNumber, role: EngineRole) {
        self.metrics.orders.inc();
        let record = DecisionRecord::new(
            DecisionKind::Order,
            "order is valid and the engine is drained; changing its role",
        )
        .chosen(role);
        self.log.write(record);
        let outcome = self.engine.set_role(epoch, role).await;
        if outcome == OrderOutcome::Fenced {
            let reason = "engine rejected the role change: it has accepted a higher fencing number";
            let record = DecisionRecord::new(DecisionKind::RefuseOrder, reason);
            self.log.write(record);
        }
        if outcome != OrderOutcome::NotSent {
            self.wait_for_engine().await;
        }
    }

    /// Waits until the engine responds and has no role change in progress.
    pub(crate) async fn wait_for_engine(self: &Arc<Self>) {
        loop {
            sleep(ROLE_CHANGE_POLL_PERIOD).await;
            let Some(info) = self.engine.fetch_info().await else {
                continue;
            };
            if info.away_ms == 0 {
                self.apply_engine_info(info);
                return;
            }
        }
    }
}
