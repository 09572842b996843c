//! Simulated engine with the scheduler of its side process.

use fakes::{
    EngineSimulator,
    StreamEvent,
    StreamKey,
    StreamSpec, //
};
use policy::{
    EngineRole,
    JobKey,
    JobSpec,
    RefusalReason,
    SideAction,
    SideScheduler, //
};
use tokio::time::Instant;
use units::InstanceId;

use crate::sim_job::SimJob;
use crate::site::SiteModel;

/// Queue length of an engine without a scheduler; it refuses requests while it holds twice as many,
/// running ones included.
const UNSCHEDULED_QUEUE_LIMIT: usize = 64;

/// Engine of a simulation.
pub(crate) struct SimEngine {
    /// Instance of the engine.
    pub(crate) instance: InstanceId,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Model that runs the streams.
    pub(crate) model: EngineSimulator,
    /// Scheduler of the side process; absent under policies that send requests to engines directly.
    pub(crate) scheduler: Option<SideScheduler>,
    /// Whether a step is running.
    pub(crate) step_running: bool,
    /// Number of the current step, which also rises when the engine abandons a step.
    pub(crate) generation: u64,
    /// Token events to apply when the current step ends.
    pub(crate) pending_events: Vec<StreamEvent>,
    /// Number of jobs on the engine or on their way to it.
    pub(crate) in_flight: usize,
    /// Role to change to once the engine has no jobs or the grace time has passed.
    pub(crate) pending_role: Option<EngineRole>,
    /// Whether the engine is draining and accepts no jobs.
    pub(crate) drained: bool,
}

impl SimEngine {
    /// Accepts a job, or returns the reason of the refusal.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        key: usize,
        job: &SimJob,
        site: &SiteModel,
    ) -> Result<(), RefusalReason> {
        if let Some(scheduler) = &mut self.scheduler {
            return scheduler.submit(now, job_spec(key, job, site));
        }
        let unavailable = self
            .model
            .unavailable_until()
            .is_some_and(|until| until > now);
        if unavailable || self.drained {
            return Err(RefusalReason::EngineDown);
        }
        if self.model.stream_count() >= UNSCHEDULED_QUEUE_LIMIT * 2 {
            return Err(RefusalReason::QueueFull);
        }
        self.model.submit(stream_spec(key, job, 0));
        Ok(())
    }

    /// Applies the actions of the scheduler to the engine model; returns the refused and the paused
    /// jobs.
    pub(crate) fn poll_scheduler(
        &mut self,
        now: Instant,
        jobs: &[SimJob],
    ) -> (Vec<usize>, Vec<usize>) {
        let mut refused = Vec::new();
        let mut paused = Vec::new();
        let Some(scheduler) = &mut self.scheduler else {
            return (refused, paused);
        };
        for action in scheduler.poll(now) {
            match action {
                SideAction::Start(JobKey(key)) => {
                    let job = &jobs[key as usize];
                    let priority = job.arrival.rank.index() as u32;
                    self.model.submit(stream_spec(key as usize, job, priority));
                }
                SideAction::Pause(JobKey(key)) => {
                    self.model.cancel(StreamKey(key));
                    paused.push(key as usize);
                }
                SideAction::Refuse(JobKey(key), _) => refused.push(key as usize),
            }
        }
        (refused, paused)
    }

    /// Updates the scheduler with the engine's role and whether the engine accepts jobs.
    pub(crate) fn update_accepting(&mut self, now: Instant) {
        let unavailable = self
            .model
            .unavailable_until()
            .is_some_and(|until| until > now);
        let accepting = !unavailable && !self.drained && self.pending_role.is_none();
        let profile = *self.model.profile();
        let role = self.model.role();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.update_engine(profile, role, vec![model_name()]);
            scheduler.set_accepting(accepting);
        }
    }
}

/// Returns the name of the only model in a simulation.
pub(crate) fn model_name() -> units::ModelName {
    match "assistant".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("the name is valid"),
    }
}

fn job_spec(key: usize, job: &SimJob, site: &SiteModel) -> JobSpec {
    let class = &site.classes[job.arrival.rank.index()];
    JobSpec {
        key: JobKey(key as u64),
        rank: job.arrival.rank,
        context_tokens: job.context_tokens(),
        max_output_tokens: job.remaining_output(),
        first_token_deadline: job.arrived_at + class.first_token_target - site.caller_latency,
        gap_target: class.gap_target,
        resumed: job.generated_tokens > 0,
        imports_kv_cache: job.imports_kv_cache,
        exclusive: job.exclusive,
    }
}

fn stream_spec(key: usize, job: &SimJob, priority: u32) -> StreamSpec {
    StreamSpec {
        key: StreamKey(key as u64),
        priority,
        context_tokens: job.context_tokens(),
        max_output_tokens: job.remaining_output(),
        prefix_hash: job.arrival.prefix_hash,
        prefix_tokens: job.arrival.prefix_tokens(),
        imports_kv_cache: job.imports_kv_cache,
    }
}
