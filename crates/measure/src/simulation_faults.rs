//! Crashes, drains, lost caches and role changes.

use std::time::Duration;

use policy::{
    CrashId,
    EngineObservation,
    SuspectVerdict, //
};
use rand::RngExt;
use tokio::time::Instant;
use units::{
    EngineSeconds,
    FingerprintId, //
};

use crate::event_queue::SimEvent;
use crate::policy_spec::RoleStrategy;
use crate::sim_engine::SimEngine;
use crate::sim_job::JobOutcome;
use crate::simulation::{
    DRAIN_TIME,
    FINISH_TIME,
    PLAN_PERIOD,
    RESTART_TIME,
    START_ATTEMPTS,
    Simulation, //
};

impl Simulation<'_> {
    /// A stream broke off; its entry resumes it elsewhere from what was handed out.
    pub(crate) fn interrupt(&mut self, job: usize, engine: usize) {
        self.leave_engine(job, engine);
        let instance = self.engines[engine].instance.clone();
        let sim_job = &mut self.jobs[job];
        sim_job.excluded = [instance].into();
        sim_job.imports_kv_cache = false;
        sim_job.recomputed_tokens += u64::from(sim_job.context_tokens().0);
        self.events.add(
            self.now + self.site.inter_centre_latency,
            SimEvent::Reroute(job),
        );
    }

    pub(crate) fn finish(&mut self, job: usize, outcome: JobOutcome) {
        if outcome == JobOutcome::Completed && self.jobs[job].exclusive {
            let fingerprint = self.fingerprint(job);
            self.suspects.clear(fingerprint);
        }
        self.jobs[job].outcome = outcome;
        self.jobs[job].ended_at = Some(self.now);
    }

    pub(crate) fn crash(&mut self, engine: usize) {
        let until = self.now + RESTART_TIME;
        self.engines[engine].model.crash(until);
        self.engines[engine].changing = None;
        self.suspect_all(engine);
        self.empty(engine);
        self.start_step(engine);
    }

    /// Ends all that an engine has, waiting jobs too.
    pub(crate) fn empty(&mut self, engine: usize) {
        self.engines[engine].generation += 1;
        self.engines[engine].coming.clear();
        self.engines[engine].update_accepting(self.now);
        for job in self.jobs_on(engine) {
            self.interrupt(job, engine);
        }
    }

    pub(crate) fn jobs_on(&self, engine: usize) -> Vec<usize> {
        let here = |job: &usize| {
            let job = &self.jobs[*job];
            job.engine == Some(engine) && job.outcome == JobOutcome::Running
        };
        (0..self.jobs.len()).filter(here).collect()
    }

    /// All that ran on a crashed engine is suspected of the crash.
    pub(crate) fn suspect_all(&mut self, engine: usize) {
        self.crashes += 1;
        let here = self.jobs_on(engine);
        let ran: Vec<FingerprintId> = here.iter().map(|job| self.fingerprint(*job)).collect();
        self.suspects
            .record_crash(self.now, CrashId(self.crashes), &ran);
    }

    pub(crate) fn fingerprint(&self, job: usize) -> FingerprintId {
        let arrival = &self.jobs[job].arrival;
        let own = if arrival.is_poison {
            arrival.prefix_hash
        } else {
            job as u64
        };
        FingerprintId(own)
    }

    /// Whether a job may run, beside others or alone.
    pub(crate) fn check_suspect(&mut self, job: usize) -> bool {
        if !self.policy.rank_scheduling {
            return self.jobs[job].attempts <= START_ATTEMPTS;
        }
        match self.suspects.verdict(self.now, self.fingerprint(job)) {
            SuspectVerdict::Unrestricted => true,
            SuspectVerdict::Isolated => {
                self.jobs[job].exclusive = true;
                true
            }
            SuspectVerdict::Quarantined(_) => false,
        }
    }

    pub(crate) fn set_drained(&mut self, engine: usize, drained: bool) {
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

    pub(crate) fn lose_caches(&mut self) {
        for engine in &mut self.engines {
            if self.rng.random::<f64>() < self.scenario.cache_loss_probability {
                engine.model.drop_prefixes();
            }
        }
        self.events
            .add(self.now + Duration::from_secs(1), SimEvent::LoseCaches);
    }

    pub(crate) fn plan_roles(&mut self) {
        self.events.add(self.now + PLAN_PERIOD, SimEvent::Plan);
        let away = self.scenario.store_outage && self.scenario.in_flood(self.elapsed());
        if away || self.now > self.at(self.scenario.traffic_seconds) {
            return;
        }
        let observations: Vec<EngineObservation> = self
            .engines
            .iter()
            .filter_map(|e| observation_of(e, self.now))
            .collect();
        let change = match self.policy.roles {
            RoleStrategy::AllMixed | RoleStrategy::Static => None,
            RoleStrategy::Planned => self.planner.plan(self.now, &observations),
            RoleStrategy::FollowDemand => {
                self.planner.plan_for_current_mix(self.now, &observations)
            }
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
    pub(crate) fn try_change(&mut self, engine: usize, due: bool) {
        let own = &mut self.engines[engine];
        let busy = own.side.as_ref().is_some_and(|side| side.job_count() > 0);
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
}

fn observation_of(engine: &SimEngine, now: Instant) -> Option<EngineObservation> {
    let report = engine.side.as_ref()?.report();
    let away = engine.model.away_until().is_some_and(|until| until > now);
    Some(EngineObservation {
        instance: engine.instance.clone(),
        role: engine.model.role(),
        unavailable: away || engine.drained || engine.changing.is_some(),
        requested_prefill: EngineSeconds(report.requested_prefill.0),
        requested_decode: EngineSeconds(report.requested_decode.0),
        role_change_seconds: engine.model.profile().role_change_seconds,
    })
}
