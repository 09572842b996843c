//! Fencing of planner orders under random schedules of two planners, their leases, one side process
//! and the orders between them.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    OrderAuthorization,
    OrderValidator,
    PlannerLease,
    SideTimestamp, //
};
use proptest::prelude::*;
use tokio::time::Instant;
use units::{
    EpochNumber,
    IncarnationId,
    InstanceId, //
};

const SCHEDULE_COUNT: u32 = 10_000;
const LEASE: Duration = Duration::from_secs(6);
/// Maximum difference between the rate of the side's clock and real time, in thousandths.
const DRIFT_PER_MILLE: u64 = 20;

#[derive(Debug, Clone)]
enum ScheduleStep {
    Advance(u64),
    /// A report of the side process reaches a planner.
    ReportTimestamp(usize),
    /// A planner starts a call to acquire or renew the lease.
    StartRenewal(usize),
    /// The store applies the call.
    ApplyRenewal(usize),
    /// The answer to the call reaches the planner, or is lost.
    AnswerRenewal(usize, bool),
    /// A planner creates an order, which stays in flight.
    CreateOrder(usize),
    /// An in-flight order arrives; the same order may arrive again later.
    DeliverOrder(usize),
    FinishOrder,
    RestartSide,
    /// A complete renewal by a slow store, during which a report arrives.
    SlowRenewal {
        planner: usize,
        before_ms: u64,
        after_ms: u64,
    },
}

/// Lease as recorded in the store.
#[derive(Debug, Default)]
struct StoreLease {
    holder: Option<usize>,
    expires_at_ms: u64,
    epoch: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RenewalCall {
    started: bool,
    granted_epoch: Option<u64>,
}

struct ScheduleModel {
    origin: Instant,
    now_ms: u64,
    drift: u64,
    store: StoreLease,
    leases: [PlannerLease; 2],
    renewal_calls: [RenewalCall; 2],
    validator: OrderValidator,
    incarnation: u64,
    side_started_at_ms: u64,
    orders: Vec<OrderAuthorization>,
    accepted_epochs: Vec<u64>,
}

impl ScheduleModel {
    fn new(drift: u64) -> Self {
        let lease = || PlannerLease::new(LEASE);
        Self {
            origin: Instant::now(),
            now_ms: 0,
            drift,
            store: StoreLease::default(),
            leases: [lease(), lease()],
            renewal_calls: [RenewalCall::default(); 2],
            validator: OrderValidator::new(IncarnationId(1), LEASE, LEASE / 20),
            incarnation: 1,
            side_started_at_ms: 0,
            orders: Vec::new(),
            accepted_epochs: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn side_instance() -> InstanceId {
        "engine-1".parse().unwrap()
    }

    /// Returns the time of the side's clock, whose rate differs from real time.
    fn side_timestamp(&self) -> SideTimestamp {
        let elapsed = self.now_ms - self.side_started_at_ms;
        SideTimestamp(Duration::from_millis(
            elapsed * (1_000 - DRIFT_PER_MILLE + self.drift) / 1_000,
        ))
    }

    fn apply_renewal(&mut self, planner: usize) {
        if !self.renewal_calls[planner].started
            || self.renewal_calls[planner].granted_epoch.is_some()
        {
            return;
        }
        let expired = self.now_ms >= self.store.expires_at_ms;
        if self.store.holder != Some(planner) || expired {
            if self.store.holder.is_some() && !expired {
                return;
            }
            self.store.epoch += 1;
            self.store.holder = Some(planner);
        }
        self.store.expires_at_ms = self.now_ms + LEASE.as_millis() as u64;
        self.renewal_calls[planner].granted_epoch = Some(self.store.epoch);
    }

    fn apply_step(&mut self, step: &ScheduleStep) -> Result<(), TestCaseError> {
        let now = self.now();
        match *step {
            ScheduleStep::Advance(millis) => self.now_ms += millis,
            ScheduleStep::ReportTimestamp(planner) => {
                let incarnation = IncarnationId(self.incarnation);
                let timestamp = self.side_timestamp();
                self.leases[planner].record_timestamp(
                    &Self::side_instance(),
                    incarnation,
                    timestamp,
                );
            }
            ScheduleStep::StartRenewal(planner) => {
                self.leases[planner].start_renewal(now);
                self.renewal_calls[planner] = RenewalCall {
                    started: true,
                    granted_epoch: None,
                };
            }
            ScheduleStep::ApplyRenewal(planner) => self.apply_renewal(planner),
            ScheduleStep::AnswerRenewal(id, arrives) => {
                let call = std::mem::take(&mut self.renewal_calls[id]);
                match call.granted_epoch {
                    Some(epoch) if arrives => self.leases[id].complete_renewal(EpochNumber(epoch)),
                    _ => self.leases[id].fail_renewal(),
                }
            }
            ScheduleStep::CreateOrder(planner) => {
                let authorization = self.leases[planner].authorization(now, &Self::side_instance());
                self.orders.extend(authorization);
            }
            ScheduleStep::DeliverOrder(index) => return self.deliver_order(index),
            ScheduleStep::SlowRenewal {
                planner,
                before_ms,
                after_ms,
            } => {
                let steps = [
                    ScheduleStep::StartRenewal(planner),
                    ScheduleStep::Advance(before_ms),
                    ScheduleStep::ApplyRenewal(planner),
                    ScheduleStep::Advance(after_ms),
                    ScheduleStep::ReportTimestamp(planner),
                    ScheduleStep::AnswerRenewal(planner, true),
                    ScheduleStep::CreateOrder(planner),
                ];
                for step in &steps {
                    self.apply_step(step)?;
                }
            }
            ScheduleStep::FinishOrder => self.validator.finish(),
            ScheduleStep::RestartSide => {
                self.incarnation += 1;
                self.side_started_at_ms = self.now_ms;
                let incarnation = IncarnationId(self.incarnation);
                self.validator = OrderValidator::new(incarnation, LEASE, LEASE / 20);
            }
        }
        Ok(())
    }

    fn deliver_order(&mut self, index: usize) -> Result<(), TestCaseError> {
        if self.orders.is_empty() {
            return Ok(());
        }
        let authorization = self.orders[index % self.orders.len()];
        let timestamp = self.side_timestamp();
        if self.validator.accept(timestamp, &authorization).is_err() {
            return Ok(());
        }
        // The planner of an accepted order still is the last one that the store granted the lease.
        prop_assert_eq!(authorization.epoch.0, self.store.epoch);
        // No order of an earlier lease holder is accepted after one of a later holder.
        let highest = self.accepted_epochs.iter().max().copied().unwrap_or(0);
        prop_assert!(authorization.epoch.0 >= highest);
        self.accepted_epochs.push(authorization.epoch.0);
        Ok(())
    }
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    let planner = 0_usize..2;
    prop_oneof![
        3 => prop_oneof![0_u64..300, 0_u64..8_000, 4_000_u64..6_500]
            .prop_map(ScheduleStep::Advance),
        3 => planner.clone().prop_map(ScheduleStep::ReportTimestamp),
        3 => planner.clone().prop_map(ScheduleStep::StartRenewal),
        3 => planner.clone().prop_map(ScheduleStep::ApplyRenewal),
        3 => (planner.clone(), prop::bool::weighted(0.8))
            .prop_map(|(planner, arrives)| ScheduleStep::AnswerRenewal(planner, arrives)),
        3 => planner.prop_map(ScheduleStep::CreateOrder),
        4 => any::<usize>().prop_map(ScheduleStep::DeliverOrder),
        2 => Just(ScheduleStep::FinishOrder),
        1 => Just(ScheduleStep::RestartSide),
        2 => (0_usize..2, 0_u64..1_500, 0_u64..3_000).prop_map(|(planner, before_ms, after_ms)| {
            ScheduleStep::SlowRenewal { planner, before_ms, after_ms }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULE_COUNT,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accept_random_schedules(
        drift in 0..=2 * DRIFT_PER_MILLE,
        steps in proptest::collection::vec(schedule_step(), 1..120),
    ) {
        let mut model = ScheduleModel::new(drift);
        for step in &steps {
            model.apply_step(step)?;
        }
    }
}

/// Guards against a validator that refuses every order, with which the random schedules would pass.
#[test]
fn accept_uncontended_schedule() {
    let mut model = ScheduleModel::new(DRIFT_PER_MILLE);
    let steps = [
        ScheduleStep::Advance(100),
        ScheduleStep::ReportTimestamp(0),
        ScheduleStep::StartRenewal(0),
        ScheduleStep::ApplyRenewal(0),
        ScheduleStep::AnswerRenewal(0, true),
        ScheduleStep::CreateOrder(0),
        ScheduleStep::DeliverOrder(0),
    ];
    for step in &steps {
        model.apply_step(step).unwrap();
    }
    assert_eq!(model.accepted_epochs, vec![1]);
}

/// Guards against an authorization with a timestamp that arrived during the renewal call, which the
/// renewed lease does not cover.
#[test]
fn authorization_timestamp_during_renewal() {
    let mut lease = PlannerLease::new(LEASE);
    let side = ScheduleModel::side_instance();
    let now = Instant::now();
    lease.start_renewal(now);
    lease.record_timestamp(
        &side,
        IncarnationId(1),
        SideTimestamp(Duration::from_secs(1)),
    );
    lease.complete_renewal(EpochNumber(1));
    assert_eq!(lease.authorization(now, &side), None);
    lease.start_renewal(now);
    lease.complete_renewal(EpochNumber(1));
    assert!(lease.authorization(now, &side).is_some());
    assert_eq!(
        lease.authorization(now + LEASE, &side),
        None,
        "the lease has expired by the planner's own clock"
    );
}
