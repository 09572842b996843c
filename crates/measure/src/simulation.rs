//! Discrete event simulation of a policy over a workload.

use std::time::Duration;

use fakes::EngineSimulator;
use policy::{
    CostModel,
    EngineRole,
    EngineRouter,
    RolePlanner,
    SideScheduler,
    SuspectLimits,
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

/// Interval between the load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between decisions about roles.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for which a crashed engine is unavailable.
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(20);
/// Time for which a draining engine accepts no jobs.
pub(crate) const DRAIN_DURATION: Duration = Duration::from_secs(30);
/// Time that running streams get to end before a role change interrupts them.
pub(crate) const ROLE_CHANGE_GRACE: Duration = Duration::from_secs(3);
/// Delay before the next attempt of a job for which no engine can be selected.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of attempts before the first token, and in all under policies without rank
/// scheduling.
pub(crate) const MAX_START_ATTEMPTS: u32 = 4;

/// Simulates a policy and returns its metrics.
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

/// State of a simulation; jobs, engines and entries are addressed by their index.
pub(crate) struct Simulation<'a> {
    /// Site to simulate.
    pub(crate) site: &'a SiteModel,
    /// Traffic and faults.
    pub(crate) scenario: &'a Scenario,
    /// Policy under test.
    pub(crate) policy: &'a PolicySpec,
    /// Start of the simulation on the virtual clock.
    pub(crate) started_at: Instant,
    /// Current time on the virtual clock.
    pub(crate) now: Instant,
    /// Events still to handle.
    pub(crate) events: EventQueue,
    /// All engines.
    pub(crate) engines: Vec<SimEngine>,
    /// All jobs of the workload.
    pub(crate) jobs: Vec<SimJob>,
    /// Router of each entry.
    pub(crate) routers: Vec<EngineRouter>,
    /// Planner of engine roles.
    pub(crate) planner: RolePlanner,
    /// Jobs suspected of crashing engines.
    pub(crate) suspects: SuspectRegistry,
    /// Number of engine crashes, which also numbers them.
    pub(crate) crash_count: u64,
    /// Random numbers of routers and faults.
    pub(crate) rng: ChaCha8Rng,
    /// Estimated work of prefill and decode.
    pub(crate) cost_model: CostModel,
    /// Engine that round robin considered last.
    pub(crate) last_engine: usize,
    /// Counters for the metrics.
    pub(crate) counters: RunCounters,
}

/// Parses a generated name.
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
    /// Creates a simulation at its start, with idle engines.
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
                model: EngineSimulator::new(site.profile, role),
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
            suspects: SuspectRegistry::new(SuspectLimits::ISOLATING),
            crash_count: 0,
            // Independent of the generator of the workload, which has the plain seed.
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            cost_model: CostModel::from_profile(&site.profile),
            last_engine: 0,
            counters: RunCounters::default(),
        }
    }

    /// Returns the time on the virtual clock a number of seconds after the start.
    pub(crate) fn instant_at(&self, seconds: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(seconds)
    }

    /// Schedules all arrivals and faults and the first of each repeated event.
    pub(crate) fn schedule_initial_events(&mut self) {
        for job in 0..self.jobs.len() {
            self.events
                .push(self.jobs[job].arrived_at, SimEvent::ArriveAtEntry(job));
        }
        for engine in 0..self.engines.len() {
            // Spreads the reports of the engines evenly over the interval.
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

    /// Handles events until the end of the scenario.
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

    /// Handles one event at the current time.
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

    /// Delivers the current load report of an engine to all routers without delay.
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

    /// Sends the current load report of an engine to all routers and schedules the next report.
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

    /// Returns the metrics of the simulation.
    pub(crate) fn into_metrics(mut self) -> RunMetrics {
        for engine in &self.engines {
            let (cached, computed) = engine.model.prefill_token_counts();
            self.counters.cached_tokens += cached;
            self.counters.computed_tokens += computed;
        }
        let seconds = self.scenario.traffic_seconds;
        RunMetrics::from_jobs(
            self.policy.name,
            self.site,
            seconds,
            &self.jobs,
            self.counters,
        )
    }

    /// Returns the seconds since the start.
    pub(crate) fn elapsed_seconds(&self) -> f64 {
        self.now
            .saturating_duration_since(self.started_at)
            .as_secs_f64()
    }
}

/// Returns the role with which an engine starts.
fn initial_role(policy: &PolicySpec, site: &SiteModel, index: usize) -> EngineRole {
    if policy.roles != RoleStrategy::Static {
        return EngineRole::Mixed;
    }
    // In proportion to the mean prefill share of the scenarios, about every fourth engine.
    let prefill = (site.engine_count as f64 * 0.26).round() as usize;
    if index < prefill {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    }
}
