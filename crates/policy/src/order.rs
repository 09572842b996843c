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
pub struct SideTimestamp(pub Duration);

/// What binds an order to its planner's authority and to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderAuthorization {
    /// Epoch of the planner.
    pub epoch: EpochNumber,
    /// Incarnation of the side that the order is for.
    pub incarnation: IncarnationId,
    /// Stamp of that side, received before the lease renewal that covers the order.
    pub timestamp: SideTimestamp,
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
    FutureTimestamp,
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
pub struct OrderValidator {
    incarnation: IncarnationId,
    max_age: Duration,
    highest_epoch: EpochNumber,
    busy: bool,
}

impl OrderValidator {
    /// A guard for one run of a side; `drift` is taken off the lease for unequal clock rates.
    pub fn new(incarnation: IncarnationId, lease: Duration, drift: Duration) -> Self {
        Self {
            incarnation,
            max_age: lease.saturating_sub(drift),
            highest_epoch: EpochNumber(0),
            busy: false,
        }
    }

    /// Takes over the highest epoch that the engine has seen.
    pub fn raise_epoch(&mut self, epoch: EpochNumber) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Highest epoch seen.
    pub fn highest_epoch(&self) -> EpochNumber {
        self.highest_epoch
    }

    /// Accepts an order and counts as busy until [`OrderGuard::finish`].
    pub fn accept(
        &mut self,
        now: SideTimestamp,
        authorization: &OrderAuthorization,
    ) -> Result<(), OrderRefusal> {
        self.check(now, authorization)?;
        if self.busy {
            return BusySnafu.fail();
        }
        self.highest_epoch = authorization.epoch;
        self.busy = true;
        Ok(())
    }

    /// Checks again, at the moment at which the engine is to receive the order.
    pub fn check(
        &self,
        now: SideTimestamp,
        authorization: &OrderAuthorization,
    ) -> Result<(), OrderRefusal> {
        let own = self.incarnation;
        if authorization.incarnation != own {
            let given = authorization.incarnation;
            return WrongIncarnationSnafu { given, own }.fail();
        }
        let Some(age) = now.0.checked_sub(authorization.timestamp.0) else {
            return FutureTimestampSnafu.fail();
        };
        if age >= self.max_age {
            let limit = self.max_age;
            return StaleSnafu { age, limit }.fail();
        }
        let highest = self.highest_epoch;
        if authorization.epoch < highest {
            let given = authorization.epoch;
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
pub struct PlannerLease {
    lease: Duration,
    epoch: Option<EpochNumber>,
    renewal_started_at: Option<Instant>,
    held_since: Option<Instant>,
    timestamps: BTreeMap<InstanceId, TimestampRecord>,
}

#[derive(Debug, Clone, Copy)]
struct TimestampRecord {
    incarnation: IncarnationId,
    latest: SideTimestamp,
    renewal_candidate: Option<SideTimestamp>,
    covered: Option<SideTimestamp>,
}

impl PlannerLease {
    /// A keeper without a lease.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            epoch: None,
            renewal_started_at: None,
            held_since: None,
            timestamps: BTreeMap::new(),
        }
    }

    /// Notes that the call which gains or renews the lease starts now.
    pub fn start_renewal(&mut self, now: Instant) {
        self.renewal_started_at = Some(now);
        // Stamps that arrive while the call is under way are not covered by it.
        for record in self.timestamps.values_mut() {
            record.renewal_candidate = Some(record.latest);
        }
    }

    /// Notes that the call which was started last has succeeded.
    pub fn complete_renewal(&mut self, epoch: EpochNumber) {
        let Some(started) = self.renewal_started_at.take() else {
            return;
        };
        if self.epoch != Some(epoch) {
            self.timestamps
                .values_mut()
                .for_each(|record| record.covered = None);
        }
        self.epoch = Some(epoch);
        self.held_since = Some(started);
        for record in self.timestamps.values_mut() {
            if let Some(renewal_candidate) = record.renewal_candidate.take() {
                record.covered = Some(renewal_candidate);
            }
        }
    }

    /// Notes that the call failed or its answer was lost; it counts as not renewed.
    pub fn fail_renewal(&mut self) {
        self.renewal_started_at = None;
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.epoch = None;
        self.held_since = None;
        self.renewal_started_at = None;
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
    pub fn record_timestamp(
        &mut self,
        instance: &InstanceId,
        incarnation: IncarnationId,
        timestamp: SideTimestamp,
    ) {
        let new_record = TimestampRecord {
            incarnation,
            latest: timestamp,
            renewal_candidate: None,
            covered: None,
        };
        let record = self
            .timestamps
            .entry(instance.clone())
            .or_insert(new_record);
        if record.incarnation != incarnation {
            *record = new_record;
            return;
        }
        record.latest = record.latest.max(timestamp);
    }

    /// Forgets a side.
    pub fn remove_side(&mut self, instance: &InstanceId) {
        self.timestamps.remove(instance);
    }

    /// What an order to a side must carry; none while no stamp of it is covered by the lease.
    pub fn authorization(&self, now: Instant, instance: &InstanceId) -> Option<OrderAuthorization> {
        let epoch = self.held_epoch(now)?;
        let record = self.timestamps.get(instance)?;
        let timestamp = record.covered?;
        let incarnation = record.incarnation;
        Some(OrderAuthorization {
            epoch,
            incarnation,
            timestamp,
        })
    }
}
