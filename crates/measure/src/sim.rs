//! Runs a policy over a workload in virtual time.

use std::time::Duration;

use fakes::{
    EngineModel,
    StreamEnd,
    StreamKey,
    TokenEvent, //
};
use policy::{
    CostModel,
    CrashId,
    EngineRole,
    EngineRouter,
    EngineSight,
    RolePlanner,
    RouteNeed,
    SideScheduler,
    SuspectRegister,
    SuspectVerdict, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use units::{
    DataCentre,
    FingerprintId,
    InstanceId,
    TokenCount,
    WorkAmount, //
};

use crate::engine::{
    SimEngine,
    model_name, //
};
use crate::event::{
    EventQueue,
    SimEvent, //
};
use crate::figures::{
    RunCounts,
    RunFigures, //
};
use crate::job::{
    JobEnd,
    SimJob, //
};
use crate::plan::{
    PolicyPlan,
    RoleKind,
    RouteKind, //
};
use crate::{
    Scenario,
    SiteModel,
    Workload, //
};

const REPORT_PERIOD: Duration = Duration::from_millis(300);
const PLAN_PERIOD: Duration = Duration::from_millis(1_500);
const RESTART_TIME: Duration = Duration::from_secs(20);
const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time that running streams get before a role change.
const FINISH_TIME: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Attempts before the first token.
const START_ATTEMPTS: u32 = 4;

/// Runs a policy and gives its figures.
pub fn run_plan(
    site: &SiteModel,
    scenario: &Scenario,
    workload: &Workload,
    plan: &PolicyPlan,
    seed: u64,
) -> RunFigures {
    let mut sim = Simulation::new(site, scenario, workload, plan, seed);
    sim.schedule();
    sim.run();
    sim.figures()
}

struct Simulation<'a> {
    site: &'a SiteModel,
    scenario: &'a Scenario,
    plan: &'a PolicyPlan,
    origin: Instant,
    now: Instant,
    events: EventQueue,
    engines: Vec<SimEngine>,
    jobs: Vec<SimJob>,
    routers: Vec<EngineRouter>,
    planner: RolePlanner,
    suspects: SuspectRegister,
    crashes: u64,
    rng: ChaCha8Rng,
    cost: CostModel,
    next_engine: usize,
    counts: RunCounts,
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
    fn new(
        site: &'a SiteModel,
        scenario: &'a Scenario,
        workload: &Workload,
        plan: &'a PolicyPlan,
        seed: u64,
    ) -> Self {
        let origin = Instant::now();
        let engine = |index: usize| {
            let role = first_role(plan, site, index);
            let side = SideScheduler::new(site.profile, role, site.floors());
            let mut engine = SimEngine {
                instance: name::<InstanceId>(format!("engine-{index}")),
                centre: index % site.centres,
                model: EngineModel::new(site.profile, role),
                side: plan.ranks.then_some(side),
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
            .map(|a| SimJob::new(*a, at(a.at)))
            .collect();
        let router = |index: usize| EngineRouter::new(centre_name(index % site.centres));
        Self {
            site,
            scenario,
            plan,
            origin,
            now: origin,
            events: EventQueue::default(),
            engines: (0..site.engines).map(engine).collect(),
            jobs,
            routers: (0..site.entries).map(router).collect(),
            planner: RolePlanner::new(),
            suspects: SuspectRegister::default(),
            crashes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            cost: CostModel::from_profile(&site.profile),
            next_engine: 0,
            counts: RunCounts::default(),
        }
    }

    fn at(&self, seconds: f64) -> Instant {
        self.origin + Duration::from_secs_f64(seconds)
    }

    fn schedule(&mut self) {
        for job in 0..self.jobs.len() {
            self.events
                .add(self.jobs[job].arrived, SimEvent::Arrive(job));
        }
        for engine in 0..self.engines.len() {
            let part = engine as u32 + 1;
            let first = REPORT_PERIOD / self.engines.len() as u32 * part;
            self.take_report(engine, self.origin);
            self.events
                .add(self.origin + first, SimEvent::SendReport(engine));
        }
        self.events.add(self.origin + PLAN_PERIOD, SimEvent::Plan);
        let length = self.scenario.seconds;
        for index in 0..self.scenario.crashes {
            let part = (index + 1) as f64 / (self.scenario.crashes + 1) as f64;
            self.events.add(
                self.at(length * part),
                SimEvent::Crash(index * 5 % self.engines.len()),
            );
        }
        for index in 0..self.scenario.drains {
            let part = (index + 1) as f64 / (self.scenario.drains + 1) as f64;
            self.events.add(
                self.at(length * part),
                SimEvent::Drain(index * 3 % self.engines.len()),
            );
        }
        if self.scenario.cache_loss > 0.0 {
            self.events.add(self.at(1.0), SimEvent::LoseCaches);
        }
    }

    fn run(&mut self) {
        let end = self.at(self.scenario.seconds + self.scenario.tail_seconds);
        while let Some((at, event)) = self.events.next() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
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
                    router.report(measured, &instance, &centre, (*report).clone());
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

    fn take_report(&mut self, engine: usize, measured: Instant) {
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

    fn send_report(&mut self, engine: usize) {
        if let Some(side) = &self.engines[engine].side {
            let report = Box::new(side.report());
            let mut lag = self.site.between_centres;
            if self.scenario.report_lag > 0.0 {
                lag +=
                    Duration::from_secs_f64(self.rng.random_range(1.0..self.scenario.report_lag));
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

    /// Gives a job to an engine, or ends it.
    fn route(&mut self, job: usize) {
        if self.jobs[job].end != JobEnd::Running {
            return;
        }
        self.jobs[job].attempts += 1;
        if !self.check_suspect(job) {
            self.finish(job, JobEnd::Failed);
            return;
        }
        let chosen = match self.plan.route {
            RouteKind::Predicted => self.predicted(job),
            RouteKind::RoundRobin => Ok(self.round_robin(job)),
            RouteKind::LeastOutstanding => Ok(self.least_outstanding(job)),
        };
        match chosen {
            Ok(Some(engine)) => {
                let home = self.jobs[job].arrival.entry % self.site.centres;
                let near = home == self.engines[engine].centre;
                let delay = if near {
                    Duration::from_micros(200)
                } else {
                    self.site.between_centres
                };
                self.engines[engine].outstanding += 1;
                self.jobs[job].engine = Some(engine);
                self.events
                    .add(self.now + delay, SimEvent::Reach { job, engine });
            }
            Ok(None) if self.jobs[job].produced > 0 || !self.plan.ranks => {
                self.jobs[job].tried.clear();
                let over =
                    self.now > self.at(self.scenario.seconds + self.scenario.tail_seconds / 2.0);
                if over {
                    self.finish(job, JobEnd::Failed);
                    return;
                }
                self.events
                    .add(self.now + RETRY_PAUSE, SimEvent::Reroute(job));
            }
            _ => self.finish(job, JobEnd::Refused),
        }
    }

    fn predicted(&mut self, job: usize) -> Result<Option<usize>, ()> {
        let site = self.site;
        let sim_job = &self.jobs[job];
        let arrival = &sim_job.arrival;
        let class = &site.classes[arrival.rank.index()];
        let context = sim_job.context();
        let left = sim_job.output_left();
        let due = sim_job.arrived + class.start - site.to_callers;
        let resumes = sim_job.produced > 0;
        let need = RouteNeed {
            model: model_name(),
            rank: arrival.rank,
            start_work: self.cost.prefill_work(context),
            decode_work: self.cost.decode_work(left),
            pieces: site.profile.pieces_for(TokenCount(context.0 + left.0)),
            prefix: arrival.prefix,
            budget: if resumes {
                Duration::MAX
            } else {
                due.saturating_duration_since(self.now)
            },
            imports: sim_job.imported,
            pin: None,
            trial: sim_job.alone.then_some(self.fingerprint(job)),
            avoid: sim_job.tried.clone(),
        };
        let router = &mut self.routers[arrival.entry];
        match router.route(self.now, &need, &mut self.rng) {
            Ok(choice) => {
                let found = self
                    .engines
                    .iter()
                    .position(|e| e.instance == choice.instance);
                Ok(found)
            }
            Err(_) if resumes => Ok(None),
            Err(_) => Err(()),
        }
    }

    fn usable(&self, job: usize, engine: usize) -> bool {
        let role = self.engines[engine].model.role();
        let fits = match self.jobs[job].imported {
            true => role.generates(),
            false => role.takes_prompts(),
        };
        let away = self.engines[engine]
            .model
            .away_until()
            .is_some_and(|until| until > self.now);
        fits && !away && !self.engines[engine].drained
    }

    fn round_robin(&mut self, job: usize) -> Option<usize> {
        for _ in 0..self.engines.len() {
            self.next_engine = (self.next_engine + 1) % self.engines.len();
            if self.usable(job, self.next_engine) {
                return Some(self.next_engine);
            }
        }
        None
    }

    fn least_outstanding(&self, job: usize) -> Option<usize> {
        let usable = (0..self.engines.len()).filter(|engine| self.usable(job, *engine));
        usable.min_by_key(|engine| self.engines[*engine].outstanding)
    }

    fn reach(&mut self, job: usize, engine: usize) {
        let taken = self.engines[engine].take(self.now, job, &self.jobs[job], self.site);
        if taken.is_err() {
            self.engines[engine].outstanding -= 1;
            self.refused(job, engine);
            return;
        }
        self.pump(engine);
    }

    /// A refusal comes back to the entry, which tries elsewhere a few times.
    fn refused(&mut self, job: usize, engine: usize) {
        let instance = self.engines[engine].instance.clone();
        let sim_job = &mut self.jobs[job];
        sim_job.tried.insert(instance);
        sim_job.imported = false;
        sim_job.engine = None;
        let more = sim_job.produced > 0 || sim_job.attempts < START_ATTEMPTS;
        if more {
            self.events
                .add(self.now + self.site.between_centres, SimEvent::Reroute(job));
        } else {
            self.finish(job, JobEnd::Refused);
        }
    }

    fn pump(&mut self, engine: usize) {
        let (refused, paused) = self.engines[engine].pump(self.now, &self.jobs);
        for job in paused {
            self.counts.pauses += 1;
            self.jobs[job].imported = true;
        }
        for job in refused {
            self.engines[engine].outstanding -= 1;
            self.jobs[job].engine = None;
            self.finish(job, JobEnd::Refused);
        }
        if !self.engines[engine].stepping {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        let now = self.now;
        let own = &mut self.engines[engine];
        let Some((duration, coming)) = own.model.step(now) else {
            own.stepping = false;
            return;
        };
        own.stepping = true;
        own.generation += 1;
        own.coming = coming;
        let generation = own.generation;
        self.events
            .add(now + duration, SimEvent::StepEnd { engine, generation });
    }

    fn end_step(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let coming = std::mem::take(&mut self.engines[engine].coming);
        for event in coming {
            self.take_token(engine, event);
        }
        self.engines[engine].stepping = false;
        let was_away = self.engines[engine].model.away_until().is_some();
        if was_away {
            self.engines[engine].update_accepting(self.now);
        }
        self.try_change(engine, false);
        self.pump(engine);
    }

    fn take_token(&mut self, engine: usize, event: TokenEvent) {
        let StreamKey(key) = event.key;
        let job = key as usize;
        if self.jobs[job].engine != Some(engine) || self.jobs[job].end != JobEnd::Running {
            return;
        }
        if event.token {
            let sim_job = &mut self.jobs[job];
            sim_job.produced += 1;
            sim_job.first.get_or_insert(self.now);
            sim_job.last = Some(self.now);
            if let Some(side) = &mut self.engines[engine].side {
                side.progress(policy::JobKey(key), TokenCount(1));
            }
            if self.jobs[job].arrival.poison {
                self.counts.poison_crashes += 1;
                self.crash(engine);
                return;
            }
        }
        match event.end {
            Some(StreamEnd::Finished) => {
                self.leave_engine(job, engine);
                self.finish(job, JobEnd::Whole);
            }
            Some(StreamEnd::Handoff) => {
                self.leave_engine(job, engine);
                self.jobs[job].imported = true;
                self.jobs[job].tried.clear();
                self.events
                    .add(self.now + self.site.between_centres, SimEvent::Reroute(job));
            }
            Some(StreamEnd::Interrupted) => self.interrupt(job, engine),
            None => {}
        }
    }

    fn leave_engine(&mut self, job: usize, engine: usize) {
        if let Some(side) = &mut self.engines[engine].side {
            side.finish(policy::JobKey(job as u64));
        }
        self.engines[engine].outstanding -= 1;
        self.jobs[job].engine = None;
    }

    /// A stream broke off; its entry resumes it elsewhere from what was handed out.
    fn interrupt(&mut self, job: usize, engine: usize) {
        self.leave_engine(job, engine);
        let instance = self.engines[engine].instance.clone();
        let sim_job = &mut self.jobs[job];
        sim_job.tried = [instance].into();
        sim_job.imported = false;
        sim_job.recomputed += u64::from(sim_job.context().0);
        self.events
            .add(self.now + self.site.between_centres, SimEvent::Reroute(job));
    }

    fn finish(&mut self, job: usize, end: JobEnd) {
        if end == JobEnd::Whole && self.jobs[job].alone {
            let fingerprint = self.fingerprint(job);
            self.suspects.clear(fingerprint);
        }
        self.jobs[job].end = end;
        self.jobs[job].ended = Some(self.now);
    }

    fn crash(&mut self, engine: usize) {
        let until = self.now + RESTART_TIME;
        self.engines[engine].model.crash(until);
        self.engines[engine].changing = None;
        self.suspect_all(engine);
        self.empty(engine);
        self.start_step(engine);
    }

    /// Ends all that an engine has, waiting jobs too.
    fn empty(&mut self, engine: usize) {
        self.engines[engine].generation += 1;
        self.engines[engine].coming.clear();
        self.engines[engine].update_accepting(self.now);
        for job in self.jobs_on(engine) {
            self.interrupt(job, engine);
        }
    }

    fn jobs_on(&self, engine: usize) -> Vec<usize> {
        let here = |job: &usize| {
            let job = &self.jobs[*job];
            job.engine == Some(engine) && job.end == JobEnd::Running
        };
        (0..self.jobs.len()).filter(here).collect()
    }

    /// All that ran on a crashed engine is suspected of the crash.
    fn suspect_all(&mut self, engine: usize) {
        self.crashes += 1;
        let here = self.jobs_on(engine);
        let ran: Vec<FingerprintId> = here.iter().map(|job| self.fingerprint(*job)).collect();
        self.suspects.crash(self.now, CrashId(self.crashes), &ran);
    }

    fn fingerprint(&self, job: usize) -> FingerprintId {
        let arrival = &self.jobs[job].arrival;
        let own = if arrival.poison {
            arrival.prefix
        } else {
            job as u64
        };
        FingerprintId(own)
    }

    /// Whether a job may run, beside others or alone.
    fn check_suspect(&mut self, job: usize) -> bool {
        if !self.plan.ranks {
            return self.jobs[job].attempts <= START_ATTEMPTS;
        }
        match self.suspects.verdict(self.now, self.fingerprint(job)) {
            SuspectVerdict::Free => true,
            SuspectVerdict::Alone => {
                self.jobs[job].alone = true;
                true
            }
            SuspectVerdict::Quarantined(_) => false,
        }
    }

    fn set_drained(&mut self, engine: usize, drained: bool) {
        self.engines[engine].drained = drained;
        self.engines[engine].update_accepting(self.now);
        // Side processes tell at once that they leave, and that they are back.
        let instance = self.engines[engine].instance.clone();
        for router in &mut self.routers {
            router.set_leaving(&instance, drained);
        }
        if drained {
            self.events
                .add(self.now + DRAIN_TIME, SimEvent::Restore(engine));
        }
    }

    fn lose_caches(&mut self) {
        for engine in &mut self.engines {
            if self.rng.random::<f64>() < self.scenario.cache_loss {
                engine.model.drop_prefixes();
            }
        }
        self.events
            .add(self.now + Duration::from_secs(1), SimEvent::LoseCaches);
    }

    fn figures(mut self) -> RunFigures {
        for engine in &self.engines {
            let (hits, computed) = engine.model.prefill_counts();
            self.counts.hit_tokens += hits;
            self.counts.prefill_tokens += computed;
        }
        let seconds = self.scenario.seconds;
        RunFigures::of_run(self.plan.name, self.site, seconds, &self.jobs, self.counts)
    }

    fn plan_roles(&mut self) {
        self.events.add(self.now + PLAN_PERIOD, SimEvent::Plan);
        let away = self.scenario.store_outage && self.scenario.in_flood(self.elapsed());
        if away || self.now > self.at(self.scenario.seconds) {
            return;
        }
        let sights: Vec<EngineSight> = self
            .engines
            .iter()
            .filter_map(|e| sight_of(e, self.now))
            .collect();
        let change = match self.plan.roles {
            RoleKind::AllMixed | RoleKind::Split => None,
            RoleKind::Planned => self.planner.plan(self.now, &sights),
            RoleKind::Follow => self.planner.follow(self.now, &sights),
        };
        let Some(change) = change else {
            return;
        };
        let found = self
            .engines
            .iter()
            .position(|e| e.instance == change.instance);
        if let Some(engine) = found {
            self.engines[engine].changing = Some(change.role);
            self.engines[engine].update_accepting(self.now);
            self.take_report(engine, self.now);
            self.events
                .add(self.now + FINISH_TIME, SimEvent::ChangeDue(engine));
            self.try_change(engine, false);
        }
    }

    /// Changes the role once the engine is empty, or when its streams have had their time.
    fn try_change(&mut self, engine: usize, due: bool) {
        let own = &mut self.engines[engine];
        let busy = own.side.as_ref().is_some_and(|side| side.jobs() > 0);
        if busy && !due {
            return;
        }
        let Some(role) = own.changing.take() else {
            return;
        };
        own.model.change_role(self.now, role);
        self.counts.role_changes += 1;
        self.empty(engine);
        self.start_step(engine);
    }

    fn elapsed(&self) -> f64 {
        self.now
            .saturating_duration_since(self.origin)
            .as_secs_f64()
    }
}

fn first_role(plan: &PolicyPlan, site: &SiteModel, index: usize) -> EngineRole {
    if plan.roles != RoleKind::Split {
        return EngineRole::Mixed;
    }
    // Every fourth engine: the middle of the mix.
    let prefill = (site.engines as f64 * 0.26).round() as usize;
    if index < prefill {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    }
}

fn sight_of(engine: &SimEngine, now: Instant) -> Option<EngineSight> {
    let report = engine.side.as_ref()?.report();
    let away = engine.model.away_until().is_some_and(|until| until > now);
    Some(EngineSight {
        instance: engine.instance.clone(),
        role: engine.model.role(),
        unavailable: away || engine.drained || engine.changing.is_some(),
        prefill_total: WorkAmount(report.prefill_total.0),
        decode_total: WorkAmount(report.decode_total.0),
        change_seconds: engine.model.profile().role_change_seconds,
    })
}
