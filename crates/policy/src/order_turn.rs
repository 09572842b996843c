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
const LIFETIME_MARGIN: f64 = 0.3;

/// Time that also passes while the instance is suspended, since some fixed moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub Duration);

#[derive(Debug, Clone, Copy)]
struct HeldTurn {
    epoch: EpochNumber,
    gained: BootTime,
    renewed: BootTime,
}

/// The turn of one planner: it begins some time after the lease was gained, so that orders of the
/// holder before have arrived, and ends before the lease can have passed to another.
#[derive(Debug, Clone)]
pub struct OrderTurn {
    lifetime: Duration,
    settle: Duration,
    held: Option<HeldTurn>,
}

impl OrderTurn {
    /// No turn yet, under leases of a lifetime, with a pause after each change of the holder.
    pub fn new(lifetime: Duration, settle: Duration) -> Self {
        Self {
            lifetime,
            settle,
            held: None,
        }
    }

    /// Notes that the lease was gained by a call sent at a moment.
    pub fn gain(&mut self, sent: BootTime, epoch: EpochNumber) {
        self.held = Some(HeldTurn {
            epoch,
            gained: sent,
            renewed: sent,
        });
    }

    /// Notes that the lease was renewed by a call sent at a moment.
    pub fn renew(&mut self, sent: BootTime) {
        if let Some(held) = &mut self.held {
            held.renewed = sent;
        }
    }

    /// Notes that the lease is lost.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// Whether the lease was gained and not lost since, as far as is known.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The fencing token for an order sent now, if one may be sent.
    pub fn epoch(&self, now: BootTime) -> Option<EpochNumber> {
        let held = self.held?;
        let usable = self.lifetime.mul_f64(1.0 - LIFETIME_MARGIN);
        let settled = now.0 >= held.gained.0 + self.settle;
        let covered = now.0 < held.renewed.0 + usable;
        (settled && covered).then_some(held.epoch)
    }
}

/// Time for which an order without visible effect may still be carried out.
const ORDER_LIFETIME: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    at: Instant,
    stage: EngineStage,
}

/// Orders sent to engines that have not shown their effect yet.
#[derive(Debug, Clone, Default)]
pub struct PendingOrders {
    sent: BTreeMap<InstanceId, SentOrder>,
}

impl PendingOrders {
    /// Notes an order to an engine.
    pub fn send(&mut self, now: Instant, instance: InstanceId, stage: EngineStage) {
        self.sent.insert(instance, SentOrder { at: now, stage });
    }

    /// The stage that an order may still give to an engine which shows `stage`.
    pub fn ordered(
        &self,
        now: Instant,
        instance: &InstanceId,
        stage: EngineStage,
    ) -> Option<EngineStage> {
        let sent = self.sent.get(instance)?;
        let open = sent.stage != stage && now < sent.at + ORDER_LIFETIME;
        open.then_some(sent.stage)
    }
}
