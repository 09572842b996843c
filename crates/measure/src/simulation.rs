//! Runs a policy over a workload in virtual time.

use std::time::Duration;

use fakes::EngineModel;
use policy::{
    CostModel,
    EngineRole,
    EngineRouter,
    RolePlanner,
    SideScheduler,
    SuspectRegistry, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use units::{
    DataCentre,
    InstanceId, //
};

use crate::event_queue::{
    EventQueue,
    SimEvent, //
};
use crate::metrics::{
    RunCounters,
    RunMetrics, //
};
use crate::policy_spec::{
    PolicySpec,
    RoleStrategy, //
};
use crate::sim_engine::SimEngine;
use crate::sim_job::SimJob;
use crate::{
    Scenario,
    SiteModel,
    Workload, //
};

const REPORT_PERIOD: Duration = Duration::from_millis(300);
pub(crate) const PLAN_PERIOD: Duration = Duration::from_millis(1_500);
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(20);
pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time that running streams get before a role change.
pub(crate) const FINISH_TIME: Duration = Duration::from_secs(3);
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Attempts before the first token.
pub(crate) const START_ATTEMPTS: u32 = 4;

/// Runs a policy and gives its figures.
pub fn run_policy(
    site: &SiteModel,
    scenario: &Scenario,
    workload: &Workload,
    policy: &PolicySpec,
    seed: u64,
) -> RunMetrics {
    let mut sim = Simulation::new(site, scenario, workload, policy, seed);
    sim.schedule();
    sim.run();
    sim.metrics()
}

pub(crate) struct Simulation<'a> {
    pub(crate) site: &'a SiteModel,
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: &'a PolicySpec,
    pub(crate) origin: Instant,
    pub(crate) now: Instant,
    pub(crate) events: EventQueue,
    pub(crate) engines: Vec<SimEngine>,
    pub(crate) jobs: Vec<SimJob>,
    pub(crate) routers: Vec<EngineRouter>,
    pub(crate) planner: RolePlanner,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) crashes: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) cost_model: CostModel,
    pub(crate) next_engine: usize,
    pub(crate) counts: RunCounters,
}

fn name<T: std::str::FromStr>(text: String) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("generated names are valid"),
    }
}

fn centre_name(index: usize) -> DataCentre {
    name(format!("dc-{index}"))
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        site: &'a SiteModel,
        scenario: &'a Scenario,
        workload: &Workload,
        policy: &'a PolicySpec,
        seed: u64,
    ) -> Self {
        let origin = Instant::now();
        let engine = |index: usize| {
            let role = first_role(policy, site, index);
            let side = SideScheduler::new(site.profile, role, site.minimum_shares());
            let mut engine = SimEngine {
                instance: name::<InstanceId>(format!("engine-{index}")),
                centre: index % site.centre_count,
                model: EngineModel::new(site.profile, role),
                side: policy.rank_scheduling.then_some(side),
                stepping: false,
                generation: 0,
                coming: Vec::new(),
                outstanding: 0,
                changing: None,
                drained: false,
            };
            engine.update_accepting(origin);
            engine
        };
        let at = |seconds: f64| origin + Duration::from_secs_f64(seconds);
        let jobs = workload
            .arrivals
            .iter()
            .map(|a| SimJob::new(*a, at(a.at_seconds)))
            .collect();
        let router = |index: usize| EngineRouter::new(centre_name(index % site.centre_count));
        Self {
            site,
            scenario,
            policy,
            origin,
            now: origin,
            events: EventQueue::default(),
            engines: (0..site.engine_count).map(engine).collect(),
            jobs,
            routers: (0..site.entry_count).map(router).collect(),
            planner: RolePlanner::new(),
            suspects: SuspectRegistry::default(),
            crashes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            cost_model: CostModel::from_profile(&site.profile),
            next_engine: 0,
            counts: RunCounters::default(),
        }
    }

    pub(crate) fn at(&self, seconds: f64) -> Instant {
        self.origin + Duration::from_secs_f64(seconds)
    }

    pub(crate) fn schedule(&mut self) {
        for job in 0..self.jobs.len() {
            self.events
                .add(self.jobs[job].arrived_at, SimEvent::Arrive(job));
        }
        for engine in 0..self.engines.len() {
            let part = engine as u32 + 1;
            let first = REPORT_PERIOD / self.engines.len() as u32 * part;
            self.take_report(engine, self.origin);
            self.events
                .add(self.origin + first, SimEvent::SendReport(engine));
        }
        self.events.add(self.origin + PLAN_PERIOD, SimEvent::Plan);
        let length = self.scenario.traffic_seconds;
        for index in 0..self.scenario.crash_count {
            let part = (index + 1) as f64 / (self.scenario.crash_count + 1) as f64;
            self.events.add(
                self.at(length * part),
                SimEvent::Crash(index * 5 % self.engines.len()),
            );
        }
        for index in 0..self.scenario.drain_count {
            let part = (index + 1) as f64 / (self.scenario.drain_count + 1) as f64;
            self.events.add(
                self.at(length * part),
                SimEvent::Drain(index * 3 % self.engines.len()),
            );
        }
        if self.scenario.cache_loss_probability > 0.0 {
            self.events.add(self.at(1.0), SimEvent::LoseCaches);
        }
    }

    pub(crate) fn run(&mut self) {
        let end = self.at(self.scenario.traffic_seconds + self.scenario.tail_seconds);
        while let Some((at, event)) = self.events.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub(crate) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(job) | SimEvent::Reroute(job) => self.route(job),
            SimEvent::Reach { job, engine } => self.reach(job, engine),
            SimEvent::StepEnd { engine, generation } => self.end_step(engine, generation),
            SimEvent::SendReport(engine) => self.send_report(engine),
            SimEvent::TakeReport {
                engine,
                measured,
                report,
            } => {
                let instance = self.engines[engine].instance.clone();
                let centre = centre_name(self.engines[engine].centre);
                for router in &mut self.routers {
                    router.record_report(measured, &instance, &centre, (*report).clone());
                }
            }
            SimEvent::Plan => self.plan_roles(),
            SimEvent::Crash(engine) => self.crash(engine),
            SimEvent::ChangeDue(engine) => self.try_change(engine, true),
            SimEvent::Drain(engine) => self.set_drained(engine, true),
            SimEvent::Restore(engine) => self.set_drained(engine, false),
            SimEvent::LoseCaches => self.lose_caches(),
        }
    }

    pub(crate) fn take_report(&mut self, engine: usize, measured: Instant) {
        let Some(side) = &self.engines[engine].side else {
            return;
        };
        let report = Box::new(side.report());
        self.handle(SimEvent::TakeReport {
            engine,
            measured,
            report,
        });
    }

    pub(crate) fn send_report(&mut self, engine: usize) {
        if let Some(side) = &self.engines[engine].side {
            let report = Box::new(side.report());
            let mut lag = self.site.inter_centre_latency;
            if self.scenario.max_report_lag_seconds > 0.0 {
                lag += Duration::from_secs_f64(
                    self.rng
                        .random_range(1.0..self.scenario.max_report_lag_seconds),
                );
            }
            let measured = self.now;
            self.events.add(
                self.now + lag,
                SimEvent::TakeReport {
                    engine,
                    measured,
                    report,
                },
            );
        }
        self.events
            .add(self.now + REPORT_PERIOD, SimEvent::SendReport(engine));
    }

    pub(crate) fn metrics(mut self) -> RunMetrics {
        for engine in &self.engines {
            let (hits, computed) = engine.model.prefill_counts();
            self.counts.hit_tokens += hits;
            self.counts.prefill_tokens += computed;
        }
        let seconds = self.scenario.traffic_seconds;
        RunMetrics::from_jobs(
            self.policy.name,
            self.site,
            seconds,
            &self.jobs,
            self.counts,
        )
    }

    pub(crate) fn elapsed(&self) -> f64 {
        self.now
            .saturating_duration_since(self.origin)
            .as_secs_f64()
    }
}

fn first_role(policy: &PolicySpec, site: &SiteModel, index: usize) -> EngineRole {
    if policy.roles != RoleStrategy::Static {
        return EngineRole::Mixed;
    }
    // Every fourth engine: the middle of the mix.
    let prefill = (site.engine_count as f64 * 0.26).round() as usize;
    if index < prefill {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    }
}
