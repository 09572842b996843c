//! Scheduler of one engine under random jobs: KV cache memory is never exceeded, no job is lost and
//! no job waits forever.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use policy::{
    EngineProfile,
    EngineRole,
    JobKey,
    JobSpec,
    RankMap,
    ServiceRank,
    SideAction,
    SideScheduler, //
};
use proptest::prelude::*;
use tokio::time::Instant;
use units::{
    PieceCount,
    TokenCount, //
};

const SCHEDULE_COUNT: u32 = 10_000;

#[derive(Debug, Clone)]
enum ScheduleStep {
    Submit {
        rank: usize,
        context: u32,
        output: u32,
        deadline_ms: u64,
        exclusive: bool,
    },
    Progress(usize),
    Finish(usize),
    Cancel(usize),
    Advance(u64),
    SetRole(usize),
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    prop_oneof![
        6 => (0_usize..3, 1_u32..6_000, 1_u32..2_000, 0_u64..60_000, prop::bool::weighted(0.05))
            .prop_map(|(rank, context, output, deadline_ms, exclusive)| ScheduleStep::Submit {
                rank, context, output, deadline_ms, exclusive,
            }),
        4 => any::<usize>().prop_map(ScheduleStep::Progress),
        4 => any::<usize>().prop_map(ScheduleStep::Finish),
        1 => any::<usize>().prop_map(ScheduleStep::Cancel),
        2 => (0_u64..3_000).prop_map(ScheduleStep::Advance),
        1 => (0_usize..3).prop_map(ScheduleStep::SetRole),
    ]
}

struct ScheduleModel {
    scheduler: SideScheduler,
    profile: EngineProfile,
    now: Instant,
    specs: BTreeMap<JobKey, JobSpec>,
    running: BTreeSet<JobKey>,
    queued: BTreeSet<JobKey>,
    last_key: u64,
}

fn nth_key(keys: &BTreeSet<JobKey>, index: usize) -> Option<JobKey> {
    keys.iter().nth(index % keys.len().max(1)).copied()
}

impl ScheduleModel {
    fn new() -> Self {
        let profile = EngineProfile {
            pieces: PieceCount(600),
            ..EngineProfile::default()
        };
        let minimum_shares = RankMap::from_fn(|rank| [0.2, 0.1, 0.1][rank.index()]);
        Self {
            scheduler: SideScheduler::new(profile, EngineRole::Mixed, minimum_shares),
            profile,
            now: Instant::now(),
            specs: BTreeMap::new(),
            running: BTreeSet::new(),
            queued: BTreeSet::new(),
            last_key: 0,
        }
    }

    fn apply_step(&mut self, step: &ScheduleStep) -> Result<(), TestCaseError> {
        match *step {
            ScheduleStep::Submit {
                rank,
                context,
                output,
                deadline_ms,
                exclusive,
            } => {
                self.last_key += 1;
                let spec = JobSpec {
                    key: JobKey(self.last_key),
                    rank: ServiceRank::from_index(rank),
                    context_tokens: TokenCount(context),
                    max_output_tokens: TokenCount(output),
                    first_token_deadline: self.now + Duration::from_millis(deadline_ms),
                    gap_target: Duration::from_millis(100),
                    resumed: false,
                    imports_kv_cache: false,
                    exclusive,
                };
                if self.scheduler.submit(self.now, spec).is_ok() {
                    self.specs.insert(spec.key, spec);
                    self.queued.insert(spec.key);
                }
            }
            ScheduleStep::Progress(index) => {
                if let Some(key) = nth_key(&self.running, index) {
                    self.scheduler.record_tokens(key, TokenCount(1));
                }
            }
            ScheduleStep::Finish(index) => {
                if let Some(key) = nth_key(&self.running, index) {
                    self.running.remove(&key);
                    self.scheduler.remove_job(key);
                }
            }
            ScheduleStep::Cancel(index) => {
                if let Some(key) = nth_key(&self.queued, index) {
                    self.queued.remove(&key);
                    self.scheduler.remove_job(key);
                }
            }
            ScheduleStep::Advance(millis) => self.now += Duration::from_millis(millis),
            ScheduleStep::SetRole(index) => {
                // An engine changes its role only when idle.
                if self.running.is_empty() && self.queued.is_empty() {
                    let role = EngineRole::ALL[index];
                    self.scheduler.update_engine(self.profile, role, Vec::new());
                }
            }
        }
        self.poll()
    }

    fn poll(&mut self) -> Result<(), TestCaseError> {
        for action in self.scheduler.poll(self.now) {
            match action {
                SideAction::Start(key) => {
                    prop_assert!(
                        self.queued.remove(&key),
                        "started a job that was not queued"
                    );
                    self.running.insert(key);
                }
                SideAction::Pause(key) => {
                    prop_assert!(
                        self.running.remove(&key),
                        "paused a job that was not running"
                    );
                    prop_assert!(!self.specs[&key].exclusive);
                    self.queued.insert(key);
                }
                SideAction::Refuse(key, _) => {
                    prop_assert!(
                        self.queued.remove(&key),
                        "refused a job that was not queued"
                    );
                }
            }
        }
        let report = self.scheduler.report();
        prop_assert!(
            report.used_pieces <= report.total_pieces,
            "running jobs exceed the KV cache memory"
        );
        prop_assert_eq!(
            self.scheduler.job_count(),
            self.running.len() + self.queued.len()
        );
        let exclusive = self.running.iter().any(|key| self.specs[key].exclusive);
        prop_assert!(
            !exclusive || self.running.len() == 1,
            "an exclusive job shares the engine"
        );
        // No job stays queued while the engine is idle.
        prop_assert!(!self.running.is_empty() || self.queued.is_empty());
        Ok(())
    }

    /// Finishes running jobs one by one until none is running or queued.
    fn finish_all_jobs(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..10_000 {
            let Some(key) = nth_key(&self.running, 0) else {
                break;
            };
            self.running.remove(&key);
            self.scheduler.remove_job(key);
            self.poll()?;
        }
        prop_assert!(self.running.is_empty() && self.queued.is_empty());
        prop_assert_eq!(self.scheduler.report().used_pieces, PieceCount(0));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULE_COUNT,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn poll_random_schedules(steps in proptest::collection::vec(schedule_step(), 1..80)) {
        let mut model = ScheduleModel::new();
        for step in &steps {
            model.apply_step(step)?;
        }
        model.finish_all_jobs()?;
    }
}
