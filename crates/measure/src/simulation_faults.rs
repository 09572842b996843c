//! Crashes, drains, cache losses and role changes.

use std::time::Duration;

use policy::{
    CrashId,
    EngineObservation,
    ServerCrash,
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
    DRAIN_DURATION,
    MAX_START_ATTEMPTS,
    PLAN_INTERVAL,
    RESTART_TIME,
    ROLE_CHANGE_GRACE,
    Simulation, //
};

impl Simulation<'_> {
    /// Returns a job whose stream was interrupted to its entry, which resumes the job on another
    /// engine after the tokens that the caller has received.
    pub(crate) fn interrupt_job(&mut self, job: usize, engine: usize) {
        self.remove_from_engine(job, engine);
        let instance = self.engines[engine].instance.clone();
        let sim_job = &mut self.jobs[job];
        sim_job.excluded = [instance].into();
        sim_job.imports_kv_cache = false;
        sim_job.recomputed_tokens += u64::from(sim_job.context_tokens().0);
        self.events.push(
            self.now + self.site.inter_centre_latency,
            SimEvent::Reroute(job),
        );
    }

    /// Ends a job. A suspect that was completed while it ran alone is cleared.
    pub(crate) fn finish_job(&mut self, job: usize, outcome: JobOutcome) {
        if outcome == JobOutcome::Completed && self.jobs[job].exclusive {
            let fingerprint = self.fingerprint(job);
            self.suspects.record_completed(self.now, fingerprint);
        }
        self.jobs[job].outcome = outcome;
        self.jobs[job].ended_at = Some(self.now);
    }

    /// Crashes an engine, which restarts after `RESTART_TIME`.
    pub(crate) fn crash_engine(&mut self, engine: usize) {
        let until = self.now + RESTART_TIME;
        self.engines[engine].model.crash(until);
        self.engines[engine].pending_role = None;
        self.record_crash_suspects(engine);
        self.interrupt_all_jobs(engine);
        self.start_step(engine);
    }

    /// Abandons the current step and interrupts all jobs of an engine, including those still
    /// waiting.
    pub(crate) fn interrupt_all_jobs(&mut self, engine: usize) {
        self.engines[engine].generation += 1;
        self.engines[engine].pending_events.clear();
        self.engines[engine].update_accepting(self.now);
        for job in self.jobs_on(engine) {
            self.interrupt_job(job, engine);
        }
    }

    /// Returns the jobs on an engine or on their way to it.
    pub(crate) fn jobs_on(&self, engine: usize) -> Vec<usize> {
        let on_engine = |job: &usize| {
            let job = &self.jobs[*job];
            job.engine == Some(engine) && job.outcome == JobOutcome::Running
        };
        (0..self.jobs.len()).filter(on_engine).collect()
    }

    /// Records the jobs of a crashed engine as suspects of the crash.
    pub(crate) fn record_crash_suspects(&mut self, engine: usize) {
        self.crash_count += 1;
        let on_engine = self.jobs_on(engine);
        let fingerprints: Vec<FingerprintId> =
            on_engine.iter().map(|job| self.fingerprint(*job)).collect();
        let server = self.engines[engine].instance.clone();
        let crash = ServerCrash::confirmed(CrashId(self.crash_count), server, self.now);
        self.suspects.record_crash(self.now, crash, &fingerprints);
    }

    /// Returns the fingerprint of a request, which a poison request shares with its retries.
    pub(crate) fn fingerprint(&self, job: usize) -> FingerprintId {
        let arrival = &self.jobs[job].arrival;
        let id = if arrival.is_poison {
            arrival.prefix_hash
        } else {
            job as u64
        };
        FingerprintId(id)
    }

    /// Returns whether a job may run, and marks it to run alone if it is a suspect.
    pub(crate) fn check_suspect(&mut self, job: usize) -> bool {
        if !self.policy.rank_scheduling {
            return self.jobs[job].attempts <= MAX_START_ATTEMPTS;
        }
        let fingerprint = self.fingerprint(job);
        match self.suspects.verdict(self.now, fingerprint, 0) {
            SuspectVerdict::Unrestricted => true,
            SuspectVerdict::Isolated => {
                self.jobs[job].exclusive = true;
                true
            }
            SuspectVerdict::Trial => {
                self.suspects.record_trial(self.now, fingerprint);
                self.jobs[job].exclusive = true;
                true
            }
            SuspectVerdict::Quarantined(_) => false,
        }
    }

    /// Starts or ends the drain of an engine.
    pub(crate) fn set_drained(&mut self, engine: usize, drained: bool) {
        self.engines[engine].drained = drained;
        self.engines[engine].update_accepting(self.now);
        // Side processes announce the start and end of a drain without delay.
        let instance = self.engines[engine].instance.clone();
        for router in &mut self.routers {
            router.set_draining(&instance, drained);
        }
        if drained {
            self.events
                .push(self.now + DRAIN_DURATION, SimEvent::Undrain(engine));
        }
    }

    /// Clears the prefix caches of some engines and schedules the next loss.
    pub(crate) fn drop_caches(&mut self) {
        for engine in &mut self.engines {
            if self.rng.random::<f64>() < self.scenario.cache_loss_probability {
                engine.model.clear_prefix_cache();
            }
        }
        self.events
            .push(self.now + Duration::from_secs(1), SimEvent::DropCaches);
    }

    /// Starts a role change if the policy plans one. None is planned while the store is unavailable
    /// or after the traffic.
    pub(crate) fn plan_roles(&mut self) {
        self.events
            .push(self.now + PLAN_INTERVAL, SimEvent::PlanRoles);
        let store_unavailable =
            self.scenario.store_outage && self.scenario.in_flood(self.elapsed_seconds());
        if store_unavailable || self.now > self.instant_at(self.scenario.traffic_seconds) {
            return;
        }
        let engines: Vec<EngineObservation> = self
            .engines
            .iter()
            .filter_map(|e| observe_engine(e, self.now))
            .collect();
        let change = match self.policy.roles {
            RoleStrategy::AllMixed | RoleStrategy::Static => None,
            RoleStrategy::Planned => self.planner.plan(self.now, &engines),
            RoleStrategy::FollowDemand => self.planner.plan_for_current_mix(self.now, &engines),
        };
        let Some(change) = change else {
            return;
        };
        let index = self
            .engines
            .iter()
            .position(|e| e.instance == change.instance);
        if let Some(engine) = index {
            self.engines[engine].pending_role = Some(change.role);
            self.engines[engine].update_accepting(self.now);
            self.deliver_report(engine, self.now);
            self.events.push(
                self.now + ROLE_CHANGE_GRACE,
                SimEvent::RoleChangeDeadline(engine),
            );
            self.try_role_change(engine, false);
        }
    }

    /// Starts a pending role change if the engine has no jobs or the deadline has passed.
    pub(crate) fn try_role_change(&mut self, engine: usize, deadline_passed: bool) {
        let sim_engine = &mut self.engines[engine];
        let busy = sim_engine
            .scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.job_count() > 0);
        if busy && !deadline_passed {
            return;
        }
        let Some(role) = sim_engine.pending_role.take() else {
            return;
        };
        sim_engine.model.change_role(self.now, role);
        self.counters.role_changes += 1;
        self.interrupt_all_jobs(engine);
        self.start_step(engine);
    }
}

/// Returns the state of an engine for the planner; `None` without a scheduler.
fn observe_engine(engine: &SimEngine, now: Instant) -> Option<EngineObservation> {
    let report = engine.scheduler.as_ref()?.report();
    let unavailable = engine
        .model
        .unavailable_until()
        .is_some_and(|until| until > now);
    Some(EngineObservation {
        instance: engine.instance.clone(),
        role: engine.model.role(),
        unavailable: unavailable || engine.drained || engine.pending_role.is_some(),
        requested_prefill: EngineSeconds(report.requested_prefill.0),
        requested_decode: EngineSeconds(report.requested_decode.0),
        role_change_seconds: engine.model.profile().role_change_seconds,
    })
}
