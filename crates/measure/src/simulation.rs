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

const REPORT_INTERVAL: Duration = Duration::from_millis(300);
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(1_500);
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(20);
pub(crate) const DRAIN_DURATION: Duration = Duration::from_secs(30);
/// Time that running streams get before a role change.
pub(crate) const ROLE_CHANGE_GRACE: Duration = Duration::from_secs(3);
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts before the first token.
pub(crate) const MAX_START_ATTEMPTS: u32 = 4;

/// Runs a policy and gives its figures.
pub fn run_policy(
    site: &SiteModel,
    scenario: &Scenario,
    workload: &Workload,
    policy: &PolicySpec,
    seed: u64,
) -> RunMetrics {
    let mut simulation = Simulation::new(site, scenario, workload, policy, seed);
    simulation.schedule_initial_events();
    simulation.run();
    simulation.into_metrics()
}

pub(crate) struct Simulation<'a> {
    pub(crate) site: &'a SiteModel,
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: &'a PolicySpec,
    pub(crate) started_at: Instant,
    pub(crate) now: Instant,
    pub(crate) events: EventQueue,
    pub(crate) engines: Vec<SimEngine>,
    pub(crate) jobs: Vec<SimJob>,
    pub(crate) routers: Vec<EngineRouter>,
    pub(crate) planner: RolePlanner,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) crash_count: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) cost_model: CostModel,
    pub(crate) last_engine: usize,
    pub(crate) counts: RunCounters,
}

fn parse_name<T: std::str::FromStr>(text: String) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("generated names are valid"),
    }
}

fn data_centre_name(index: usize) -> DataCentre {
    parse_name(format!("dc-{index}"))
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        site: &'a SiteModel,
        scenario: &'a Scenario,
        workload: &Workload,
        policy: &'a PolicySpec,
        seed: u64,
    ) -> Self {
        let started_at = Instant::now();
        let engine = |index: usize| {
            let role = initial_role(policy, site, index);
            let scheduler = SideScheduler::new(site.profile, role, site.minimum_shares());
            let mut engine = SimEngine {
                instance: parse_name::<InstanceId>(format!("engine-{index}")),
                data_centre: index % site.centre_count,
                model: EngineModel::new(site.profile, role),
                scheduler: policy.rank_scheduling.then_some(scheduler),
                step_running: false,
                generation: 0,
                pending_events: Vec::new(),
                in_flight: 0,
                pending_role: None,
                drained: false,
            };
            engine.update_accepting(started_at);
            engine
        };
        let at = |seconds: f64| started_at + Duration::from_secs_f64(seconds);
        let jobs = workload
            .arrivals
            .iter()
            .map(|a| SimJob::new(*a, at(a.at_seconds)))
            .collect();
        let router = |index: usize| EngineRouter::new(data_centre_name(index % site.centre_count));
        Self {
            site,
            scenario,
            policy,
            started_at,
            now: started_at,
            events: EventQueue::default(),
            engines: (0..site.engine_count).map(engine).collect(),
            jobs,
            routers: (0..site.entry_count).map(router).collect(),
            planner: RolePlanner::new(),
            suspects: SuspectRegistry::default(),
            crash_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            cost_model: CostModel::from_profile(&site.profile),
            last_engine: 0,
            counts: RunCounters::default(),
        }
    }

    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(seconds)
    }

    pub(crate) fn schedule_initial_events(&mut self) {
        for job in 0..self.jobs.len() {
            self.events
                .push(self.jobs[job].arrived_at, SimEvent::ArriveAtEntry(job));
        }
        for engine in 0..self.engines.len() {
            let position = engine as u32 + 1;
            let first_report_delay = REPORT_INTERVAL / self.engines.len() as u32 * position;
            self.deliver_report(engine, self.started_at);
            self.events.push(
                self.started_at + first_report_delay,
                SimEvent::SendReport(engine),
            );
        }
        self.events
            .push(self.started_at + PLAN_INTERVAL, SimEvent::PlanRoles);
        let traffic_seconds = self.scenario.traffic_seconds;
        for index in 0..self.scenario.crash_count {
            let fraction = (index + 1) as f64 / (self.scenario.crash_count + 1) as f64;
            self.events.push(
                self.instant_at(traffic_seconds * fraction),
                SimEvent::Crash(index * 5 % self.engines.len()),
            );
        }
        for index in 0..self.scenario.drain_count {
            let fraction = (index + 1) as f64 / (self.scenario.drain_count + 1) as f64;
            self.events.push(
                self.instant_at(traffic_seconds * fraction),
                SimEvent::Drain(index * 3 % self.engines.len()),
            );
        }
        if self.scenario.cache_loss_probability > 0.0 {
            self.events.push(self.instant_at(1.0), SimEvent::DropCaches);
        }
    }

    pub(crate) fn run(&mut self) {
        let end = self.instant_at(self.scenario.traffic_seconds + self.scenario.tail_seconds);
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    pub(crate) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ArriveAtEntry(job) | SimEvent::Reroute(job) => self.route_job(job),
            SimEvent::ReachEngine { job, engine } => self.submit_job(job, engine),
            SimEvent::StepEnd { engine, generation } => self.end_step(engine, generation),
            SimEvent::SendReport(engine) => self.send_report(engine),
            SimEvent::DeliverReport {
                engine,
                measured_at,
                report,
            } => {
                let instance = self.engines[engine].instance.clone();
                let data_centre = data_centre_name(self.engines[engine].data_centre);
                for router in &mut self.routers {
                    router.record_report(measured_at, &instance, &data_centre, (*report).clone());
                }
            }
            SimEvent::PlanRoles => self.plan_roles(),
            SimEvent::Crash(engine) => self.crash_engine(engine),
            SimEvent::RoleChangeDeadline(engine) => self.try_role_change(engine, true),
            SimEvent::Drain(engine) => self.set_drained(engine, true),
            SimEvent::Undrain(engine) => self.set_drained(engine, false),
            SimEvent::DropCaches => self.drop_caches(),
        }
    }

    pub(crate) fn deliver_report(&mut self, engine: usize, measured_at: Instant) {
        let Some(scheduler) = &self.engines[engine].scheduler else {
            return;
        };
        let report = Box::new(scheduler.report());
        self.handle_event(SimEvent::DeliverReport {
            engine,
            measured_at,
            report,
        });
    }

    pub(crate) fn send_report(&mut self, engine: usize) {
        if let Some(scheduler) = &self.engines[engine].scheduler {
            let report = Box::new(scheduler.report());
            let mut delay = self.site.inter_centre_latency;
            if self.scenario.max_report_lag_seconds > 0.0 {
                delay += Duration::from_secs_f64(
                    self.rng
                        .random_range(1.0..self.scenario.max_report_lag_seconds),
                );
            }
            let measured_at = self.now;
            self.events.push(
                self.now + delay,
                SimEvent::DeliverReport {
                    engine,
                    measured_at,
                    report,
                },
            );
        }
        self.events
            .push(self.now + REPORT_INTERVAL, SimEvent::SendReport(engine));
    }

    pub(crate) fn into_metrics(mut self) -> RunMetrics {
        for engine in &self.engines {
            let (cached, computed) = engine.model.prefill_counts();
            self.counts.cached_tokens += cached;
            self.counts.computed_tokens += computed;
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

    pub(crate) fn elapsed_seconds(&self) -> f64 {
        self.now
            .saturating_duration_since(self.started_at)
            .as_secs_f64()
    }
}

fn initial_role(policy: &PolicySpec, site: &SiteModel, index: usize) -> EngineRole {
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
