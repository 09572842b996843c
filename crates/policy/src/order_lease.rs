//! When a planner that holds the lease may send orders.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    EpochNumber,
    InstanceId, //
};

use crate::EngineStage;

/// Part of the lease's lifetime that is left unused, for the delay of orders and unequal clocks.
const UNUSED_LIFETIME_SHARE: f64 = 0.3;

/// Time that also passes while the instance is suspended, since some fixed moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub Duration);

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: EpochNumber,
    acquired_at: BootTime,
    renewed_at: BootTime,
}

/// The turn of one planner: it begins some time after the lease was gained, so that orders of the
/// holder before have arrived, and ends before the lease can have passed to another.
#[derive(Debug, Clone)]
pub struct OrderLease {
    lifetime: Duration,
    settle_time: Duration,
    held: Option<HeldLease>,
}

impl OrderLease {
    /// No turn yet, under leases of a lifetime, with a pause after each change of the holder.
    pub fn new(lifetime: Duration, settle_time: Duration) -> Self {
        Self {
            lifetime,
            settle_time,
            held: None,
        }
    }

    /// Notes that the lease was gained by a call sent at a moment.
    pub fn record_acquired(&mut self, sent_at: BootTime, epoch: EpochNumber) {
        self.held = Some(HeldLease {
            epoch,
            acquired_at: sent_at,
            renewed_at: sent_at,
        });
    }

    /// Notes that the lease was renewed by a call sent at a moment.
    pub fn record_renewed(&mut self, sent_at: BootTime) {
        if let Some(held) = &mut self.held {
            held.renewed_at = sent_at;
        }
    }

    /// Notes that the lease is lost.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Whether the lease was gained and not lost since, as far as is known.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The fencing token for an order sent now, if one may be sent.
    pub fn epoch(&self, now: BootTime) -> Option<EpochNumber> {
        let held = self.held?;
        let usable_lifetime = self.lifetime.mul_f64(1.0 - UNUSED_LIFETIME_SHARE);
        let has_settled = now.0 >= held.acquired_at.0 + self.settle_time;
        let is_current = now.0 < held.renewed_at.0 + usable_lifetime;
        (has_settled && is_current).then_some(held.epoch)
    }
}

/// Time for which an order without visible effect may still be carried out.
const ORDER_LIFETIME: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    sent_at: Instant,
    stage: EngineStage,
}

/// Orders sent to engines that have not shown their effect yet.
#[derive(Debug, Clone, Default)]
pub struct PendingOrders {
    orders: BTreeMap<InstanceId, SentOrder>,
}

impl PendingOrders {
    /// Notes an order to an engine.
    pub fn record(&mut self, now: Instant, instance: InstanceId, stage: EngineStage) {
        self.orders.insert(
            instance,
            SentOrder {
                sent_at: now,
                stage,
            },
        );
    }

    /// The stage that an order may still give to an engine which shows `stage`.
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
