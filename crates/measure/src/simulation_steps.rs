//! Steps engines and passes on what their steps bring.

use fakes::{
    StreamEnd,
    StreamKey,
    TokenEvent, //
};
use units::TokenCount;

use crate::event_queue::SimEvent;
use crate::sim_job::JobOutcome;
use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(crate) fn pump(&mut self, engine: usize) {
        let (refused, paused) = self.engines[engine].pump(self.now, &self.jobs);
        for job in paused {
            self.counts.pauses += 1;
            self.jobs[job].imports_kv_cache = true;
        }
        for job in refused {
            self.engines[engine].outstanding -= 1;
            self.jobs[job].engine = None;
            self.finish(job, JobOutcome::Refused);
        }
        if !self.engines[engine].stepping {
            self.start_step(engine);
        }
    }

    pub(crate) fn start_step(&mut self, engine: usize) {
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

    pub(crate) fn end_step(&mut self, engine: usize, generation: u64) {
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

    pub(crate) fn take_token(&mut self, engine: usize, event: TokenEvent) {
        let StreamKey(key) = event.key;
        let job = key as usize;
        if self.jobs[job].engine != Some(engine) || self.jobs[job].outcome != JobOutcome::Running {
            return;
        }
        if event.token {
            let sim_job = &mut self.jobs[job];
            sim_job.generated_tokens += 1;
            sim_job.first_token_at.get_or_insert(self.now);
            sim_job.last_token_at = Some(self.now);
            if let Some(side) = &mut self.engines[engine].side {
                side.record_tokens(policy::JobKey(key), TokenCount(1));
            }
            if self.jobs[job].arrival.is_poison {
                self.counts.poison_crashes += 1;
                self.crash(engine);
                return;
            }
        }
        match event.end {
            Some(StreamEnd::Finished) => {
                self.leave_engine(job, engine);
                self.finish(job, JobOutcome::Completed);
            }
            Some(StreamEnd::Handoff) => {
                self.leave_engine(job, engine);
                self.jobs[job].imports_kv_cache = true;
                self.jobs[job].excluded.clear();
                self.events.add(
                    self.now + self.site.inter_centre_latency,
                    SimEvent::Reroute(job),
                );
            }
            Some(StreamEnd::Interrupted) => self.interrupt(job, engine),
            None => {}
        }
    }

    pub(crate) fn leave_engine(&mut self, job: usize, engine: usize) {
        if let Some(side) = &mut self.engines[engine].side {
            side.remove_job(policy::JobKey(job as u64));
        }
        self.engines[engine].outstanding -= 1;
        self.jobs[job].engine = None;
    }
}
