//! Lease under which a planner sends orders to engines, and the orders that are still pending.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    EpochNumber,
    InstanceId,
    StoreEra, //
};

use crate::EngineStage;

/// Share of the lease's lifetime that is left unused, to allow for delayed orders and clock drift.
const UNUSED_LIFETIME_SHARE: f64 = 0.3;

/// Number of revisions that the store gives out in one era at most. The latest epochs stay below
/// 2^53, which JSON parsers with floating-point numbers read exactly.
const ERA_REVISIONS: u64 = 1 << 40;

/// Returns the epoch of a planner whose lease key was written at a store revision, or `None` if the
/// numbers are too large for one.
///
/// Epochs rise with the era first, since revisions are given out again in the next era. The epoch in
/// an unknown era is the revision alone.
pub fn planner_epoch(era: Option<StoreEra>, revision: u64) -> Option<EpochNumber> {
    if revision >= ERA_REVISIONS {
        return None;
    }
    let first = era.unwrap_or_default().0.checked_mul(ERA_REVISIONS)?;
    first.checked_add(revision).map(EpochNumber)
}

/// Time since an arbitrary fixed moment, on a clock that also advances while the instance is
/// suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub Duration);

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: EpochNumber,
    acquired_at: BootTime,
    renewed_at: BootTime,
}

/// Planner's view of its lease.
///
/// Orders are allowed from a settle time after the lease was acquired, so that the orders of the
/// previous lease holder have arrived, until shortly before the lease can pass to another holder.
#[derive(Debug, Clone)]
pub struct OrderLease {
    lifetime: Duration,
    settle_time: Duration,
    held: Option<HeldLease>,
    suspended_until: Option<BootTime>,
}

impl OrderLease {
    /// Creates a lease that is not held yet. `lifetime` is its lifetime in the store after each
    /// renewal, `settle_time` the delay before the first order of a new holder.
    pub fn new(lifetime: Duration, settle_time: Duration) -> Self {
        Self {
            lifetime,
            settle_time,
            held: None,
            suspended_until: None,
        }
    }

    /// Records that a call sent at `sent_at` acquired the lease with the given epoch.
    pub fn record_acquired(&mut self, sent_at: BootTime, epoch: EpochNumber) {
        self.held = Some(HeldLease {
            epoch,
            acquired_at: sent_at,
            renewed_at: sent_at,
        });
    }

    /// Records that a call sent at `sent_at` renewed the lease.
    pub fn record_renewed(&mut self, sent_at: BootTime) {
        if let Some(held) = &mut self.held {
            held.renewed_at = sent_at;
        }
    }

    /// Records that the lease is lost.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Records that the store may have lost leases before `now`. Gives the lease up and allows no
    /// order until the lease of a holder that does not know of it has expired.
    pub fn record_leases_lost(&mut self, now: BootTime) {
        self.held = None;
        self.suspended_until = Some(BootTime(now.0 + self.lifetime));
    }

    /// Returns whether the lease was acquired and is not known to be lost. A lease that has expired
    /// unnoticed counts as held.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the epoch, which is the fencing token of orders, if an order may be sent at `now`.
    pub fn epoch(&self, now: BootTime) -> Option<EpochNumber> {
        let held = self.held?;
        let usable_lifetime = self.lifetime.mul_f64(1.0 - UNUSED_LIFETIME_SHARE);
        let has_settled = now.0 >= held.acquired_at.0 + self.settle_time;
        let is_current = now.0 < held.renewed_at.0 + usable_lifetime;
        let is_suspended = self.suspended_until.is_some_and(|until| now < until);
        (has_settled && is_current && !is_suspended).then_some(held.epoch)
    }
}

/// Time after which an order that has shown no effect is no longer expected to take effect.
const ORDER_LIFETIME: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    sent_at: Instant,
    stage: EngineStage,
}

/// Latest order sent to each engine, to find those that have not taken effect yet.
#[derive(Debug, Clone, Default)]
pub struct PendingOrders {
    orders: BTreeMap<InstanceId, SentOrder>,
}

impl PendingOrders {
    /// Records an order sent to the engine on `instance`.
    pub fn record(&mut self, now: Instant, instance: InstanceId, stage: EngineStage) {
        self.orders.insert(
            instance,
            SentOrder {
                sent_at: now,
                stage,
            },
        );
    }

    /// Returns the stage that a pending order may still give to an engine which reports `stage`.
    pub fn pending_stage(
        &self,
        now: Instant,
        instance: &InstanceId,
        stage: EngineStage,
    ) -> Option<EngineStage> {
        let order = self.orders.get(instance)?;
        let is_pending = order.stage != stage && now < order.sent_at + ORDER_LIFETIME;
        is_pending.then_some(order.stage)
    }
}
