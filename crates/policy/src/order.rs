//! Fencing of planner orders: which orders a side process accepts, and which side timestamps a
//! planner may put into an order.
//!
//! Every order carries a timestamp of the side's own clock that the planner received before the
//! lease renewal that covers the order. The side thus judges the age of an order by its own clock
//! alone and rejects an order whose lease may have passed to another planner.

use std::collections::BTreeMap;
use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;
use units::{
    EpochNumber,
    IncarnationId,
    InstanceId, //
};

/// Time since the start of a side process, by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SideTimestamp(pub Duration);

/// Proof that an order comes from a lease holder and is meant for one run of a side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderAuthorization {
    /// Epoch of the planner's lease, used as fencing token.
    pub epoch: EpochNumber,
    /// Incarnation of the side process that the order is for.
    pub incarnation: IncarnationId,
    /// Timestamp of that side process, received before the lease renewal that covers the order.
    pub timestamp: SideTimestamp,
}

/// Reason why an order was refused; its text is sent back to the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum OrderRefusal {
    /// The order is for another run of the side process.
    #[snafu(display("order for incarnation {given}, this is {own}; read its reports again"))]
    WrongIncarnation {
        /// Incarnation in the order.
        given: IncarnationId,
        /// Incarnation of the side process.
        own: IncarnationId,
    },
    /// The lease behind the order may have passed to another planner.
    #[snafu(display("stamp is {age:?} old, the limit is {limit:?}; renew the lease first"))]
    Stale {
        /// Age of the timestamp.
        age: Duration,
        /// Age at which orders are refused.
        limit: Duration,
    },
    /// The timestamp lies in the future of the side's clock.
    #[snafu(display("stamp was never given by this side; use stamps of its reports"))]
    FutureTimestamp,
    /// An order of a later lease holder was accepted before.
    #[snafu(display("epoch {given} is older than {highest}; stop planning"))]
    OldEpoch {
        /// Epoch in the order.
        given: EpochNumber,
        /// Highest epoch observed.
        highest: EpochNumber,
    },
    /// An earlier order is still in progress.
    #[snafu(display("a change is in progress; wait until it is over"))]
    Busy,
}

/// Accepts one order at a time, and only from a planner that holds the lease.
#[derive(Debug, Clone)]
pub struct OrderValidator {
    incarnation: IncarnationId,
    max_age: Duration,
    highest_epoch: EpochNumber,
    busy: bool,
}

impl OrderValidator {
    /// Creates a validator for one run of a side process.
    ///
    /// `drift` is subtracted from the lease, because the clocks of planner and side may run at
    /// different rates.
    pub fn new(incarnation: IncarnationId, lease: Duration, drift: Duration) -> Self {
        Self {
            incarnation,
            max_age: lease.saturating_sub(drift),
            highest_epoch: EpochNumber(0),
            busy: false,
        }
    }

    /// Raises the highest epoch to the one that the engine has observed.
    pub fn raise_epoch(&mut self, epoch: EpochNumber) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Returns the highest epoch observed.
    pub fn highest_epoch(&self) -> EpochNumber {
        self.highest_epoch
    }

    /// Accepts an order and stays busy until [`OrderValidator::finish`].
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

    /// Checks whether an order is still valid; called again right before the engine receives the
    /// order.
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

    /// Marks a change as in progress, for example one found when a side process starts.
    pub fn set_busy(&mut self) {
        self.busy = true;
    }

    /// Marks the accepted order as completed.
    pub fn finish(&mut self) {
        self.busy = false;
    }

    /// Returns whether an order is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy
    }
}

/// Lease of a planner, and the side timestamps that the lease covers.
#[derive(Debug, Clone)]
pub struct PlannerLease {
    duration: Duration,
    epoch: Option<EpochNumber>,
    renewal_started_at: Option<Instant>,
    held_since: Option<Instant>,
    timestamps: BTreeMap<InstanceId, TimestampRecord>,
}

/// Timestamps received from one side process.
///
/// The latest timestamp becomes a candidate when a lease renewal starts, and is covered once that
/// renewal succeeds.
#[derive(Debug, Clone, Copy)]
struct TimestampRecord {
    incarnation: IncarnationId,
    latest: SideTimestamp,
    renewal_candidate: Option<SideTimestamp>,
    covered: Option<SideTimestamp>,
}

impl PlannerLease {
    /// Creates a lease that is not held.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            epoch: None,
            renewal_started_at: None,
            held_since: None,
            timestamps: BTreeMap::new(),
        }
    }

    /// Records that a call to acquire or renew the lease starts now.
    pub fn start_renewal(&mut self, now: Instant) {
        self.renewal_started_at = Some(now);
        // The renewal does not cover timestamps that arrive during the call.
        for record in self.timestamps.values_mut() {
            record.renewal_candidate = Some(record.latest);
        }
    }

    /// Records that the call started last has succeeded; the lease counts from the start of the
    /// call.
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

    /// Records that the call failed or that its answer was lost; the lease counts as not renewed.
    pub fn fail_renewal(&mut self) {
        self.renewal_started_at = None;
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.epoch = None;
        self.held_since = None;
        self.renewal_started_at = None;
    }

    /// Returns the epoch of the lease, or `None` once the lease has expired by this process's own
    /// clock.
    pub fn held_epoch(&self, now: Instant) -> Option<EpochNumber> {
        let since = self.held_since?;
        if now >= since + self.duration {
            return None;
        }
        self.epoch
    }

    /// Records the timestamp of a side process's report.
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

    /// Removes a side process.
    pub fn remove_side(&mut self, instance: &InstanceId) {
        self.timestamps.remove(instance);
    }

    /// Returns the authorization for an order to a side process, or `None` if the lease is not held
    /// or covers no timestamp of that side process.
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
