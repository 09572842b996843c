//! Random jobs beside a backend server: memory holds, nothing is lost, nobody starves.

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

const SCHEDULES: u32 = 10_000;

#[derive(Debug, Clone)]
enum Step {
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

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_usize..3, 1_u32..6_000, 1_u32..2_000, 0_u64..60_000, prop::bool::weighted(0.05))
            .prop_map(|(rank, context, output, deadline_ms, exclusive)| Step::Submit {
                rank, context, output, deadline_ms, exclusive,
            }),
        4 => any::<usize>().prop_map(Step::Progress),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (0_u64..3_000).prop_map(Step::Advance),
        1 => (0_usize..3).prop_map(Step::SetRole),
    ]
}

struct Model {
    scheduler: SideScheduler,
    profile: EngineProfile,
    now: Instant,
    specs: BTreeMap<JobKey, JobSpec>,
    running: BTreeSet<JobKey>,
    waiting: BTreeSet<JobKey>,
    last_key: u64,
}

fn nth_key(keys: &BTreeSet<JobKey>, number: usize) -> Option<JobKey> {
    keys.iter().nth(number % keys.len().max(1)).copied()
}

impl Model {
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
            waiting: BTreeSet::new(),
            last_key: 0,
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Submit {
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
                    self.waiting.insert(spec.key);
                }
            }
            Step::Progress(number) => {
                if let Some(key) = nth_key(&self.running, number) {
                    self.scheduler.record_tokens(key, TokenCount(1));
                }
            }
            Step::Finish(number) => {
                if let Some(key) = nth_key(&self.running, number) {
                    self.running.remove(&key);
                    self.scheduler.remove_job(key);
                }
            }
            Step::Cancel(number) => {
                if let Some(key) = nth_key(&self.waiting, number) {
                    self.waiting.remove(&key);
                    self.scheduler.remove_job(key);
                }
            }
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            Step::SetRole(number) => {
                // Roles change on an empty engine only.
                if self.running.is_empty() && self.waiting.is_empty() {
                    let role = EngineRole::ALL[number];
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
                    prop_assert!(self.waiting.remove(&key), "started a job that did not wait");
                    self.running.insert(key);
                }
                SideAction::Pause(key) => {
                    prop_assert!(self.running.remove(&key), "paused a job that did not run");
                    prop_assert!(!self.specs[&key].exclusive);
                    self.waiting.insert(key);
                }
                SideAction::Refuse(key, _) => {
                    prop_assert!(self.waiting.remove(&key), "refused a job that did not wait");
                }
            }
        }
        let report = self.scheduler.report();
        prop_assert!(
            report.used_pieces <= report.total_pieces,
            "memory is promised twice"
        );
        prop_assert_eq!(
            self.scheduler.job_count(),
            self.running.len() + self.waiting.len()
        );
        let exclusive = self.running.iter().any(|key| self.specs[key].exclusive);
        prop_assert!(
            !exclusive || self.running.len() == 1,
            "a suspect has company"
        );
        // An idle engine never leaves work waiting.
        prop_assert!(!self.running.is_empty() || self.waiting.is_empty());
        Ok(())
    }

    /// Lets everything that runs end until nothing is left.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..10_000 {
            let Some(key) = nth_key(&self.running, 0) else {
                break;
            };
            self.running.remove(&key);
            self.scheduler.remove_job(key);
            self.poll()?;
        }
        prop_assert!(self.running.is_empty() && self.waiting.is_empty());
        prop_assert_eq!(self.scheduler.report().used_pieces, PieceCount(0));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn poll_random_schedules(steps in proptest::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step)?;
        }
        model.drain()?;
    }
}
