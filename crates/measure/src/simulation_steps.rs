//! Steps of engines and the tokens that they generate.

use fakes::{
    StreamEnd,
    StreamEvent,
    StreamKey, //
};
use units::TokenCount;

use crate::event_queue::SimEvent;
use crate::sim_job::JobOutcome;
use crate::simulation::Simulation;

impl Simulation<'_> {
    /// Applies the decisions of the scheduler on an engine and starts a step if none is running.
    pub(crate) fn poll_scheduler(&mut self, engine: usize) {
        let (refused, paused) = self.engines[engine].poll_scheduler(self.now, &self.jobs);
        for job in paused {
            self.counters.pauses += 1;
            self.jobs[job].imports_kv_cache = true;
        }
        for job in refused {
            self.engines[engine].in_flight -= 1;
            self.jobs[job].engine = None;
            self.finish_job(job, JobOutcome::Refused);
        }
        if !self.engines[engine].step_running {
            self.start_step(engine);
        }
    }

    /// Starts a step, or leaves the engine idle if it has no work.
    pub(crate) fn start_step(&mut self, engine: usize) {
        let now = self.now;
        let sim_engine = &mut self.engines[engine];
        let Some((duration, pending_events)) = sim_engine.model.step(now) else {
            sim_engine.step_running = false;
            return;
        };
        sim_engine.step_running = true;
        sim_engine.generation += 1;
        sim_engine.pending_events = pending_events;
        let generation = sim_engine.generation;
        self.events
            .push(now + duration, SimEvent::StepEnd { engine, generation });
    }

    /// Applies the token events of a step and starts the next; ignores an abandoned step.
    pub(crate) fn end_step(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let pending_events = std::mem::take(&mut self.engines[engine].pending_events);
        for event in pending_events {
            self.apply_token_event(engine, event);
        }
        self.engines[engine].step_running = false;
        let was_unavailable = self.engines[engine].model.unavailable_until().is_some();
        if was_unavailable {
            self.engines[engine].update_accepting(self.now);
        }
        self.try_role_change(engine, false);
        self.poll_scheduler(engine);
    }

    /// Records a token of a job, and ends, hands off or interrupts the job as its stream did.
    pub(crate) fn apply_token_event(&mut self, engine: usize, event: StreamEvent) {
        let StreamKey(key) = event.key;
        let job = key as usize;
        if self.jobs[job].engine != Some(engine) || self.jobs[job].outcome != JobOutcome::Running {
            return;
        }
        if event.has_token {
            let sim_job = &mut self.jobs[job];
            sim_job.generated_tokens += 1;
            sim_job.first_token_at.get_or_insert(self.now);
            sim_job.last_token_at = Some(self.now);
            if let Some(scheduler) = &mut self.engines[engine].scheduler {
                scheduler.record_tokens(policy::JobKey(key), TokenCount(1));
            }
            if self.jobs[job].arrival.is_poison {
                self.counters.poison_crashes += 1;
                self.crash_engine(engine);
                return;
            }
        }
        match event.end {
            Some(StreamEnd::Finished) => {
                self.remove_from_engine(job, engine);
                self.finish_job(job, JobOutcome::Completed);
            }
            Some(StreamEnd::Handoff) => {
                self.remove_from_engine(job, engine);
                self.jobs[job].imports_kv_cache = true;
                self.jobs[job].excluded.clear();
                self.events.push(
                    self.now + self.site.inter_centre_latency,
                    SimEvent::Reroute(job),
                );
            }
            Some(StreamEnd::Interrupted) => self.interrupt_job(job, engine),
            None => {}
        }
    }

    /// Removes a job from its engine.
    pub(crate) fn remove_from_engine(&mut self, job: usize, engine: usize) {
        if let Some(scheduler) = &mut self.engines[engine].scheduler {
            scheduler.remove_job(policy::JobKey(job as u64));
        }
        self.engines[engine].in_flight -= 1;
        self.jobs[job].engine = None;
    }
}
