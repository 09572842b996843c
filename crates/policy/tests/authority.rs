//! Random schedules of planners, their leases, a side and the orders between them.

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

const SCHEDULES: u32 = 10_000;
const LEASE: Duration = Duration::from_secs(6);
/// The side's clock runs by up to this much faster or slower, in thousandths.
const DRIFT_PER_MILLE: u64 = 20;

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// The side's report reaches a planner.
    Report(usize),
    /// A planner's call to gain or renew the lease starts.
    StartRenewal(usize),
    /// The call takes effect in the store.
    TakeEffect(usize),
    /// Its answer reaches the planner, or is lost.
    Answer(usize, bool),
    /// A planner writes an order, which stays on its way.
    Send(usize),
    /// An order that is on its way arrives, and may arrive again later.
    Deliver(usize),
    Finish,
    RestartSide,
    /// A whole renewal with a report under way, as a slow store brings it about.
    SlowRenewal {
        planner: usize,
        before_ms: u64,
        after_ms: u64,
    },
}

/// The store's view of the lease.
#[derive(Debug, Default)]
struct StoreLease {
    holder: Option<usize>,
    until_ms: u64,
    epoch: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RenewalCall {
    started: bool,
    granted: Option<u64>,
}

struct Model {
    origin: Instant,
    now_ms: u64,
    drift: u64,
    store: StoreLease,
    planners: [PlannerLease; 2],
    renewal_calls: [RenewalCall; 2],
    validator: OrderValidator,
    incarnation: u64,
    side_start_ms: u64,
    orders: Vec<OrderAuthorization>,
    accepted: Vec<u64>,
}

impl Model {
    fn new(drift: u64) -> Self {
        let lease = || PlannerLease::new(LEASE);
        Self {
            origin: Instant::now(),
            now_ms: 0,
            drift,
            store: StoreLease::default(),
            planners: [lease(), lease()],
            renewal_calls: [RenewalCall::default(); 2],
            validator: OrderValidator::new(IncarnationId(1), LEASE, LEASE / 20),
            incarnation: 1,
            side_start_ms: 0,
            orders: Vec::new(),
            accepted: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn side_instance() -> InstanceId {
        "engine-1".parse().unwrap()
    }

    /// The side's clock, which runs at a rate of its own.
    fn side_timestamp(&self) -> SideTimestamp {
        let elapsed = self.now_ms - self.side_start_ms;
        SideTimestamp(Duration::from_millis(
            elapsed * (1_000 - DRIFT_PER_MILLE + self.drift) / 1_000,
        ))
    }

    fn take_effect(&mut self, planner: usize) {
        if !self.renewal_calls[planner].started || self.renewal_calls[planner].granted.is_some() {
            return;
        }
        let lapsed = self.now_ms >= self.store.until_ms;
        if self.store.holder != Some(planner) || lapsed {
            if self.store.holder.is_some() && !lapsed {
                return;
            }
            self.store.epoch += 1;
            self.store.holder = Some(planner);
        }
        self.store.until_ms = self.now_ms + LEASE.as_millis() as u64;
        self.renewal_calls[planner].granted = Some(self.store.epoch);
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let now = self.now();
        match *step {
            Step::Advance(millis) => self.now_ms += millis,
            Step::Report(planner) => {
                let incarnation = IncarnationId(self.incarnation);
                let timestamp = self.side_timestamp();
                self.planners[planner].record_timestamp(
                    &Self::side_instance(),
                    incarnation,
                    timestamp,
                );
            }
            Step::StartRenewal(planner) => {
                self.planners[planner].start_renewal(now);
                self.renewal_calls[planner] = RenewalCall {
                    started: true,
                    granted: None,
                };
            }
            Step::TakeEffect(planner) => self.take_effect(planner),
            Step::Answer(planner, arrives) => {
                let call = std::mem::take(&mut self.renewal_calls[planner]);
                match call.granted {
                    Some(epoch) if arrives => {
                        self.planners[planner].complete_renewal(EpochNumber(epoch))
                    }
                    _ => self.planners[planner].fail_renewal(),
                }
            }
            Step::Send(planner) => {
                let authorization =
                    self.planners[planner].authorization(now, &Self::side_instance());
                self.orders.extend(authorization);
            }
            Step::Deliver(number) => return self.deliver(number),
            Step::SlowRenewal {
                planner,
                before_ms,
                after_ms,
            } => {
                let steps = [
                    Step::StartRenewal(planner),
                    Step::Advance(before_ms),
                    Step::TakeEffect(planner),
                    Step::Advance(after_ms),
                    Step::Report(planner),
                    Step::Answer(planner, true),
                    Step::Send(planner),
                ];
                for step in &steps {
                    self.apply(step)?;
                }
            }
            Step::Finish => self.validator.finish(),
            Step::RestartSide => {
                self.incarnation += 1;
                self.side_start_ms = self.now_ms;
                let incarnation = IncarnationId(self.incarnation);
                self.validator = OrderValidator::new(incarnation, LEASE, LEASE / 20);
            }
        }
        Ok(())
    }

    fn deliver(&mut self, number: usize) -> Result<(), TestCaseError> {
        if self.orders.is_empty() {
            return Ok(());
        }
        let authorization = self.orders[number % self.orders.len()];
        let timestamp = self.side_timestamp();
        if self.validator.accept(timestamp, &authorization).is_err() {
            return Ok(());
        }
        // The order's planner is still the last that the store gave the lease to.
        prop_assert_eq!(authorization.epoch.0, self.store.epoch);
        // Orders that had effect never go back to an earlier planner.
        let highest = self.accepted.iter().max().copied().unwrap_or(0);
        prop_assert!(authorization.epoch.0 >= highest);
        self.accepted.push(authorization.epoch.0);
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let planner = 0_usize..2;
    prop_oneof![
        3 => prop_oneof![0_u64..300, 0_u64..8_000, 4_000_u64..6_500].prop_map(Step::Advance),
        3 => planner.clone().prop_map(Step::Report),
        3 => planner.clone().prop_map(Step::StartRenewal),
        3 => planner.clone().prop_map(Step::TakeEffect),
        3 => (planner.clone(), prop::bool::weighted(0.8)).prop_map(|(p, a)| Step::Answer(p, a)),
        3 => planner.prop_map(Step::Send),
        4 => any::<usize>().prop_map(Step::Deliver),
        2 => Just(Step::Finish),
        1 => Just(Step::RestartSide),
        2 => (0_usize..2, 0_u64..1_500, 0_u64..3_000).prop_map(|(planner, before_ms, after_ms)| {
            Step::SlowRenewal { planner, before_ms, after_ms }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accept_random_schedules(
        drift in 0..=2 * DRIFT_PER_MILLE,
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new(drift);
        for step in &steps {
            model.apply(step)?;
        }
    }
}

/// The schedules above would prove nothing if orders never had effect.
#[test]
fn accept_plain_schedule() {
    let mut model = Model::new(DRIFT_PER_MILLE);
    let steps = [
        Step::Advance(100),
        Step::Report(0),
        Step::StartRenewal(0),
        Step::TakeEffect(0),
        Step::Answer(0, true),
        Step::Send(0),
        Step::Deliver(0),
    ];
    for step in &steps {
        model.apply(step).unwrap();
    }
    assert_eq!(model.accepted, vec![1]);
}

/// A stamp that arrives while the call is under way is not covered by it.
#[test]
fn authorization_timestamp_during_renewal() {
    let mut lease = PlannerLease::new(LEASE);
    let side = Model::side_instance();
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
        "its own clock says that it lapsed"
    );
}
