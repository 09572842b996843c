//! Selection of engines for jobs, and refusals.

use std::time::Duration;

use policy::RouteRequirements;
use units::TokenCount;

use crate::event_queue::SimEvent;
use crate::policy_spec::RoutingStrategy;
use crate::sim_engine::model_name;
use crate::sim_job::JobOutcome;
use crate::simulation::{
    MAX_START_ATTEMPTS,
    RETRY_DELAY,
    Simulation, //
};

impl Simulation<'_> {
    /// Selects an engine and sends the job there, schedules another attempt, or ends the job.
    pub(crate) fn route_job(&mut self, job: usize) {
        if self.jobs[job].outcome != JobOutcome::Running {
            return;
        }
        self.jobs[job].attempts += 1;
        if !self.check_suspect(job) {
            self.finish_job(job, JobOutcome::Failed);
            return;
        }
        let selection = match self.policy.routing {
            RoutingStrategy::ExpectedWait => self.select_by_expected_wait(job),
            RoutingStrategy::RoundRobin => Ok(self.select_round_robin(job)),
            RoutingStrategy::LeastOutstanding => Ok(self.select_least_outstanding(job)),
        };
        match selection {
            Ok(Some(engine)) => {
                let entry_centre = self.jobs[job].arrival.entry % self.site.centre_count;
                let same_centre = entry_centre == self.engines[engine].data_centre;
                // One-way latency within a data centre or between two.
                let delay = if same_centre {
                    Duration::from_micros(200)
                } else {
                    self.site.inter_centre_latency
                };
                self.engines[engine].in_flight += 1;
                self.jobs[job].engine = Some(engine);
                self.events
                    .push(self.now + delay, SimEvent::ReachEngine { job, engine });
            }
            Ok(None) if self.jobs[job].generated_tokens > 0 || !self.policy.rank_scheduling => {
                self.jobs[job].excluded.clear();
                // Attempts end halfway through the time after the last arrival.
                let past_retry_limit = self.now
                    > self.instant_at(
                        self.scenario.traffic_seconds + self.scenario.tail_seconds / 2.0,
                    );
                if past_retry_limit {
                    self.finish_job(job, JobOutcome::Failed);
                    return;
                }
                self.events
                    .push(self.now + RETRY_DELAY, SimEvent::Reroute(job));
            }
            _ => self.finish_job(job, JobOutcome::Refused),
        }
    }

    /// Selects an engine with the router of the entry. Returns `None` if a job that has received
    /// tokens must wait, and an error if the router refuses a new job.
    pub(crate) fn select_by_expected_wait(&mut self, job: usize) -> Result<Option<usize>, ()> {
        let site = self.site;
        let sim_job = &self.jobs[job];
        let arrival = &sim_job.arrival;
        let class = &site.classes[arrival.rank.index()];
        let context_tokens = sim_job.context_tokens();
        let remaining_output = sim_job.remaining_output();
        let first_token_deadline =
            sim_job.arrived_at + class.first_token_target - site.caller_latency;
        let resumes = sim_job.generated_tokens > 0;
        let requirements = RouteRequirements {
            model: model_name(),
            rank: arrival.rank,
            prefill_work: self.cost_model.prefill_work(context_tokens),
            decode_work: self.cost_model.decode_work(remaining_output),
            required_pieces: site
                .profile
                .pieces_for(TokenCount(context_tokens.0 + remaining_output.0)),
            prefix_hash: arrival.prefix_hash,
            time_budget: if resumes {
                Duration::MAX
            } else {
                first_token_deadline.saturating_duration_since(self.now)
            },
            imports_kv_cache: sim_job.imports_kv_cache,
            pinned: None,
            trial_fingerprint: sim_job.exclusive.then_some(self.fingerprint(job)),
            excluded: sim_job.excluded.clone(),
        };
        let router = &mut self.routers[arrival.entry];
        match router.route(self.now, &requirements, &mut self.rng) {
            Ok(choice) => {
                let engine = self
                    .engines
                    .iter()
                    .position(|e| e.instance == choice.instance);
                Ok(engine)
            }
            Err(_) if resumes => Ok(None),
            Err(_) => Err(()),
        }
    }

    /// Returns whether an engine is available and has a role that fits the job.
    pub(crate) fn can_serve(&self, job: usize, engine: usize) -> bool {
        let role = self.engines[engine].model.role();
        let role_matches = match self.jobs[job].imports_kv_cache {
            true => role.decodes(),
            false => role.accepts_prompts(),
        };
        let unavailable = self.engines[engine]
            .model
            .unavailable_until()
            .is_some_and(|until| until > self.now);
        role_matches && !unavailable && !self.engines[engine].drained
    }

    /// Selects the next engine, round-robin, that can serve the job.
    pub(crate) fn select_round_robin(&mut self, job: usize) -> Option<usize> {
        for _ in 0..self.engines.len() {
            self.last_engine = (self.last_engine + 1) % self.engines.len();
            if self.can_serve(job, self.last_engine) {
                return Some(self.last_engine);
            }
        }
        None
    }

    /// Selects the engine with the fewest in-flight jobs among those that can serve the job.
    pub(crate) fn select_least_outstanding(&self, job: usize) -> Option<usize> {
        let candidates = (0..self.engines.len()).filter(|engine| self.can_serve(job, *engine));
        candidates.min_by_key(|engine| self.engines[*engine].in_flight)
    }

    /// Submits a job that has reached its engine.
    pub(crate) fn submit_job(&mut self, job: usize, engine: usize) {
        let submitted = self.engines[engine].submit(self.now, job, &self.jobs[job], self.site);
        if submitted.is_err() {
            self.engines[engine].in_flight -= 1;
            self.handle_refusal(job, engine);
            return;
        }
        self.poll_scheduler(engine);
    }

    /// Returns a refused job to its entry for another attempt. A job without tokens ends after
    /// `MAX_START_ATTEMPTS` attempts.
    pub(crate) fn handle_refusal(&mut self, job: usize, engine: usize) {
        let instance = self.engines[engine].instance.clone();
        let sim_job = &mut self.jobs[job];
        sim_job.excluded.insert(instance);
        sim_job.imports_kv_cache = false;
        sim_job.engine = None;
        let may_retry = sim_job.generated_tokens > 0 || sim_job.attempts < MAX_START_ATTEMPTS;
        if may_retry {
            self.events.push(
                self.now + self.site.inter_centre_latency,
                SimEvent::Reroute(job),
            );
        } else {
            self.finish_job(job, JobOutcome::Refused);
        }
    }
}
