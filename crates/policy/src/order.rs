//! Authority over engines: which orders a side accepts, and which stamps a planner may use.

use std::collections::BTreeMap;
use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;
use units::{
    EpochNumber,
    IncarnationId,
    InstanceId, //
};

/// Time of a side's own clock since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SideStamp(pub Duration);

/// What binds an order to its planner's authority and to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderBinding {
    /// Epoch of the planner.
    pub epoch: EpochNumber,
    /// Incarnation of the side that the order is for.
    pub incarnation: IncarnationId,
    /// Stamp of that side, received before the lease renewal that covers the order.
    pub stamp: SideStamp,
}

/// Why an order has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum OrderRefusal {
    /// The order is for an earlier or later run of the side.
    #[snafu(display("order for incarnation {given}, this is {own}; read its reports again"))]
    WrongIncarnation {
        /// Incarnation in the order.
        given: IncarnationId,
        /// Incarnation of the side.
        own: IncarnationId,
    },
    /// The lease behind the order may have passed to another planner.
    #[snafu(display("stamp is {age:?} old, the limit is {limit:?}; renew the lease first"))]
    Stale {
        /// Age of the stamp.
        age: Duration,
        /// Age from which orders have no effect.
        limit: Duration,
    },
    /// The stamp lies in the future of this side's clock.
    #[snafu(display("stamp was never given by this side; use stamps of its reports"))]
    FutureStamp,
    /// A later planner has given orders already.
    #[snafu(display("epoch {given} is older than {highest}; stop planning"))]
    OldEpoch {
        /// Epoch in the order.
        given: EpochNumber,
        /// Highest epoch seen.
        highest: EpochNumber,
    },
    /// An earlier order is still being carried out.
    #[snafu(display("a change is in progress; wait until it is over"))]
    Busy,
}

/// Accepts at most one order at a time, of a planner that holds its lease.
#[derive(Debug, Clone)]
pub struct OrderGuard {
    incarnation: IncarnationId,
    limit: Duration,
    highest: EpochNumber,
    busy: bool,
}

impl OrderGuard {
    /// A guard for one run of a side; `drift` is taken off the lease for unequal clock rates.
    pub fn new(incarnation: IncarnationId, lease: Duration, drift: Duration) -> Self {
        Self {
            incarnation,
            limit: lease.saturating_sub(drift),
            highest: EpochNumber(0),
            busy: false,
        }
    }

    /// Takes over the highest epoch that the engine has seen.
    pub fn raise_epoch(&mut self, epoch: EpochNumber) {
        self.highest = self.highest.max(epoch);
    }

    /// Highest epoch seen.
    pub fn highest(&self) -> EpochNumber {
        self.highest
    }

    /// Accepts an order and counts as busy until [`OrderGuard::finish`].
    pub fn accept(&mut self, now: SideStamp, binding: &OrderBinding) -> Result<(), OrderRefusal> {
        self.check(now, binding)?;
        if self.busy {
            return BusySnafu.fail();
        }
        self.highest = binding.epoch;
        self.busy = true;
        Ok(())
    }

    /// Checks again, at the moment at which the engine is to receive the order.
    pub fn check(&self, now: SideStamp, binding: &OrderBinding) -> Result<(), OrderRefusal> {
        let own = self.incarnation;
        if binding.incarnation != own {
            let given = binding.incarnation;
            return WrongIncarnationSnafu { given, own }.fail();
        }
        let Some(age) = now.0.checked_sub(binding.stamp.0) else {
            return FutureStampSnafu.fail();
        };
        if age >= self.limit {
            let limit = self.limit;
            return StaleSnafu { age, limit }.fail();
        }
        let highest = self.highest;
        if binding.epoch < highest {
            let given = binding.epoch;
            return OldEpochSnafu { given, highest }.fail();
        }
        Ok(())
    }

    /// Marks a change as in progress, such as one found at the start of a side.
    pub fn set_busy(&mut self) {
        self.busy = true;
    }

    /// Ends the order that was accepted.
    pub fn finish(&mut self) {
        self.busy = false;
    }

    /// Whether an order is being carried out.
    pub fn is_busy(&self) -> bool {
        self.busy
    }
}

/// A planner's lease and the side stamps that it covers.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    lease: Duration,
    epoch: Option<EpochNumber>,
    renewal_started: Option<Instant>,
    held_since: Option<Instant>,
    stamps: BTreeMap<InstanceId, StampRecord>,
}

#[derive(Debug, Clone, Copy)]
struct StampRecord {
    incarnation: IncarnationId,
    latest: SideStamp,
    candidate: Option<SideStamp>,
    covered: Option<SideStamp>,
}

impl LeaseKeeper {
    /// A keeper without a lease.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            epoch: None,
            renewal_started: None,
            held_since: None,
            stamps: BTreeMap::new(),
        }
    }

    /// Notes that the call which gains or renews the lease starts now.
    pub fn start_renewal(&mut self, now: Instant) {
        self.renewal_started = Some(now);
        // Stamps that arrive while the call is under way are not covered by it.
        for record in self.stamps.values_mut() {
            record.candidate = Some(record.latest);
        }
    }

    /// Notes that the call which was started last has succeeded.
    pub fn renewed(&mut self, epoch: EpochNumber) {
        let Some(started) = self.renewal_started.take() else {
            return;
        };
        if self.epoch != Some(epoch) {
            self.stamps
                .values_mut()
                .for_each(|record| record.covered = None);
        }
        self.epoch = Some(epoch);
        self.held_since = Some(started);
        for record in self.stamps.values_mut() {
            if let Some(candidate) = record.candidate.take() {
                record.covered = Some(candidate);
            }
        }
    }

    /// Notes that the call failed or its answer was lost; it counts as not renewed.
    pub fn renewal_failed(&mut self) {
        self.renewal_started = None;
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.epoch = None;
        self.held_since = None;
        self.renewal_started = None;
    }

    /// Epoch of the lease while it is held by this process's own clock.
    pub fn held_epoch(&self, now: Instant) -> Option<EpochNumber> {
        let since = self.held_since?;
        if now >= since + self.lease {
            return None;
        }
        self.epoch
    }

    /// Takes the stamp of a side's report.
    pub fn stamp(&mut self, instance: &InstanceId, incarnation: IncarnationId, stamp: SideStamp) {
        let fresh = StampRecord {
            incarnation,
            latest: stamp,
            candidate: None,
            covered: None,
        };
        let record = self.stamps.entry(instance.clone()).or_insert(fresh);
        if record.incarnation != incarnation {
            *record = fresh;
            return;
        }
        record.latest = record.latest.max(stamp);
    }

    /// Forgets a side.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.stamps.remove(instance);
    }

    /// What an order to a side must carry; none while no stamp of it is covered by the lease.
    pub fn binding(&self, now: Instant, instance: &InstanceId) -> Option<OrderBinding> {
        let epoch = self.held_epoch(now)?;
        let record = self.stamps.get(instance)?;
        let stamp = record.covered?;
        let incarnation = record.incarnation;
        Some(OrderBinding {
            epoch,
            incarnation,
            stamp,
        })
    }
}
