//! Figures of a run.

use hdrhistogram::Histogram;
use policy::{
    CostModel,
    RankMap,
    ServiceRank, //
};
use serde::Serialize;

use crate::oracle::total_work;
use crate::sim_job::{
    JobOutcome,
    SimJob, //
};
use crate::site::SiteModel;
use crate::workload::Workload;

/// Longest time that histograms tell apart, in microseconds.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// Time within which a refusal counts as given at once.
const REFUSAL_LIMIT_MS: f64 = 50.0;

/// Figures of one rank.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct RankMetrics {
    /// Requests.
    pub offered: usize,
    /// Answers that met all targets.
    pub good: f64,
    /// Share of the requests in target.
    pub in_target: f64,
    /// Share of the requests whose first token came too late.
    pub late: f64,
    /// Share of the requests whose tokens came too slowly.
    pub slow: f64,
    /// Share of the requests refused.
    pub refused: f64,
    /// Time to the first token in ms: median, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// Mean time between an answer's tokens in ms: median, 95th and 99th percentile.
    pub gap_ms: [f64; 3],
    /// Share of the fleet's completed work.
    pub work_share: f64,
    /// Engine seconds of work completed, by the cost model.
    pub work: f64,
}

/// Figures of one policy in one run.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct RunMetrics {
    /// Policy.
    pub policy: &'static str,
    /// Worth of good answers as a share of what was offered.
    pub goodput: f64,
    /// Least and greatest goodput over the seeds.
    pub goodput_spread: [f64; 2],
    /// Good answers as a share of the requests.
    pub goodput_unweighed: f64,
    /// Role changes.
    pub role_changes: u64,
    /// Streams paused.
    pub pauses: u64,
    /// Engine crashes caused by poison.
    pub poison_crashes: u64,
    /// Share of the work spent on answers that missed, or spent twice.
    pub wasted: f64,
    /// Share of the prompt tokens found in prefix caches.
    pub cache_hits: f64,
    /// Share of the refusals that came within 50 ms.
    pub refusals_at_once: f64,
    /// Longest time until a refusal, in ms.
    pub refusal_ms: f64,
    /// By rank.
    pub ranks: RankMap<RankMetrics>,
    /// Worth of good answers by the second of their arrival, and worth offered.
    #[serde(skip)]
    pub timeline: Vec<(f64, f64)>,
}

/// Counts of a run beside its jobs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunCounters {
    pub(crate) role_changes: u64,
    pub(crate) pauses: u64,
    pub(crate) poison_crashes: u64,
    pub(crate) hit_tokens: u64,
    pub(crate) prefill_tokens: u64,
}

fn percentiles(values: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| values.value_at_quantile(q) as f64 / 1_000.0)
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_max(LONGEST_MICROS, 3) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("three digits are allowed"),
    }
}

/// How an answer met the targets of its class.
#[derive(Debug, Clone, Copy, Default)]
struct JobJudgement {
    good: bool,
    late: bool,
    slow: bool,
    first_micros: Option<u64>,
    gap_micros: Option<u64>,
}

fn judge(job: &SimJob, site: &SiteModel) -> JobJudgement {
    let class = &site.classes[job.arrival.rank.index()];
    let Some(first) = job.first_token_at else {
        return JobJudgement::default();
    };
    let start = first.saturating_duration_since(job.arrived_at) + site.caller_latency;
    let last = job.last_token_at.unwrap_or(first);
    let tokens = job.generated_tokens.saturating_sub(1).max(1);
    let gap = last.saturating_duration_since(first) / tokens;
    let late = start > class.first_token_target;
    let slow = gap > class.gap_target;
    JobJudgement {
        good: job.outcome == JobOutcome::Completed && !late && !slow,
        late,
        slow,
        first_micros: Some(start.as_micros() as u64),
        gap_micros: Some(gap.as_micros() as u64),
    }
}

impl RunMetrics {
    pub(crate) fn from_jobs(
        policy: &'static str,
        site: &SiteModel,
        seconds: f64,
        jobs: &[SimJob],
        counts: RunCounters,
    ) -> Self {
        let cost_model = CostModel::from_profile(&site.profile);
        let mut metrics = Self {
            policy,
            ..Self::default()
        };
        metrics.timeline = vec![(0.0, 0.0); seconds as usize + 1];
        let mut spent = 0.0;
        let mut lost = 0.0;
        let mut worth_good = 0.0;
        let mut worth_all = 0.0;
        let mut answers = 0.0;
        let mut refusals = 0.0;
        let mut at_once = 0.0;
        for rank in ServiceRank::ALL {
            let mut firsts = new_histogram();
            let mut gaps = new_histogram();
            let worth = f64::from(site.classes[rank.index()].worth.0);
            let mut own = RankMetrics::default();
            let mut refused = 0_u32;
            for job in jobs.iter().filter(|job| job.arrival.rank == rank) {
                let judged = judge(job, site);
                let good = judged.good;
                own.late += f64::from(u8::from(judged.late));
                own.slow += f64::from(u8::from(judged.slow));
                own.offered += 1;
                refused += u32::from(job.outcome == JobOutcome::Refused);
                judged
                    .first_micros
                    .inspect(|time| firsts.saturating_record(*time));
                judged
                    .gap_micros
                    .inspect(|time| gaps.saturating_record(*time));
                let done = work_done(job, &cost_model);
                own.work += done;
                let again = cost_model
                    .prefill_work(units::TokenCount(job.recomputed_tokens as u32))
                    .0;
                spent += done + again;
                lost += again + if good { 0.0 } else { done };
                own.good += f64::from(u8::from(good));
                let second = &mut metrics.timeline[job.arrival.at_seconds as usize];
                second.1 += worth;
                second.0 += if good { worth } else { 0.0 };
                if job.outcome == JobOutcome::Refused
                    && let Some(ended_at) = job.ended_at
                {
                    let time = ended_at
                        .saturating_duration_since(job.arrived_at)
                        .as_secs_f64()
                        * 1_000.0;
                    metrics.refusal_ms = metrics.refusal_ms.max(time);
                    refusals += 1.0;
                    at_once += if time <= REFUSAL_LIMIT_MS { 1.0 } else { 0.0 };
                }
            }
            let offered = own.offered.max(1) as f64;
            own.in_target = own.good / offered;
            own.late /= offered;
            own.slow /= offered;
            own.refused = f64::from(refused) / offered;
            own.first_token_ms = percentiles(&firsts);
            own.gap_ms = percentiles(&gaps);
            worth_good += own.good * worth;
            worth_all += own.offered as f64 * worth;
            answers += own.good;
            metrics.ranks[rank] = own;
        }
        let done: f64 = metrics.ranks.iter().map(|(_, rank)| rank.work).sum();
        for rank in ServiceRank::ALL {
            let own = &mut metrics.ranks[rank];
            own.work_share = own.work / done.max(f64::MIN_POSITIVE);
        }
        metrics.goodput = worth_good / worth_all.max(f64::MIN_POSITIVE);
        metrics.goodput_unweighed = answers / jobs.len().max(1) as f64;
        metrics.wasted = lost / spent.max(f64::MIN_POSITIVE);
        metrics.refusals_at_once = if refusals > 0.0 {
            at_once / refusals
        } else {
            1.0
        };
        metrics.role_changes = counts.role_changes;
        metrics.pauses = counts.pauses;
        metrics.poison_crashes = counts.poison_crashes;
        let all = counts.hit_tokens + counts.prefill_tokens;
        metrics.cache_hits = counts.hit_tokens as f64 / all.max(1) as f64;
        metrics
    }

    pub(crate) fn from_bound(site: &SiteModel, workload: &Workload, served: &RankMap<f64>) -> Self {
        let mut metrics = Self {
            policy: "oracle",
            ..Self::default()
        };
        let mut good = 0.0;
        let mut all = 0.0;
        let mut answers = 0.0;
        for rank in ServiceRank::ALL {
            let worth = f64::from(site.classes[rank.index()].worth.0);
            let own = &mut metrics.ranks[rank];
            own.offered = workload.arrivals.iter().filter(|a| a.rank == rank).count();
            own.good = served[rank];
            own.in_target = own.good / own.offered.max(1) as f64;
            own.refused = 1.0 - own.in_target;
            good += own.good * worth;
            all += own.offered as f64 * worth;
            answers += own.good;
        }
        metrics.goodput = good / all.max(f64::MIN_POSITIVE);
        metrics.goodput_unweighed = answers / workload.arrivals.len().max(1) as f64;
        metrics
    }

    /// Work completed until the end of the arrivals, by the routers' cost model.
    pub(crate) fn completed_work(&self, workload: &Workload, cost_model: &CostModel) -> f64 {
        let done: f64 = self.ranks.iter().map(|(_, rank)| rank.work).sum();
        done.min(total_work(workload, cost_model))
    }
}

/// Work that a job's tokens stand for, by the cost model.
fn work_done(job: &SimJob, cost_model: &CostModel) -> f64 {
    if job.first_token_at.is_none() {
        return 0.0;
    }
    let generated_tokens = units::TokenCount(job.generated_tokens);
    cost_model.prefill_work(job.arrival.prompt_tokens).0
        + cost_model.decode_work(generated_tokens).0
}

impl RunMetrics {
    /// Means over several seeds, with the spread of the goodput.
    pub fn mean(runs: &[RunMetrics]) -> RunMetrics {
        let Some(first) = runs.first() else {
            return RunMetrics::default();
        };
        let count = runs.len() as f64;
        let mean = |get: &dyn Fn(&RunMetrics) -> f64| runs.iter().map(get).sum::<f64>() / count;
        let spread = |get: &dyn Fn(&RunMetrics) -> f64| {
            let least = runs.iter().map(get).fold(f64::INFINITY, f64::min);
            let most = runs.iter().map(get).fold(f64::NEG_INFINITY, f64::max);
            [least, most]
        };
        let whole = |get: &dyn Fn(&RunMetrics) -> f64| mean(get).round() as u64;
        let rank = |rank: ServiceRank| {
            let of = |get: &dyn Fn(&RankMetrics) -> f64| mean(&|run| get(&run.ranks[rank]));
            let three = |get: &dyn Fn(&RankMetrics) -> [f64; 3]| {
                [0, 1, 2].map(|index| of(&|metrics| get(metrics)[index]))
            };
            RankMetrics {
                offered: of(&|f| f.offered as f64) as usize,
                good: of(&|f| f.good),
                in_target: of(&|f| f.in_target),
                late: of(&|f| f.late),
                slow: of(&|f| f.slow),
                refused: of(&|f| f.refused),
                first_token_ms: three(&|f| f.first_token_ms),
                gap_ms: three(&|f| f.gap_ms),
                work_share: of(&|f| f.work_share),
                work: of(&|f| f.work),
            }
        };
        RunMetrics {
            policy: first.policy,
            goodput: mean(&|run| run.goodput),
            goodput_spread: spread(&|run| run.goodput),
            goodput_unweighed: mean(&|run| run.goodput_unweighed),
            role_changes: whole(&|run| run.role_changes as f64),
            pauses: whole(&|run| run.pauses as f64),
            poison_crashes: whole(&|run| run.poison_crashes as f64),
            wasted: mean(&|run| run.wasted),
            cache_hits: mean(&|run| run.cache_hits),
            refusals_at_once: mean(&|run| run.refusals_at_once),
            refusal_ms: spread(&|run| run.refusal_ms)[1],
            ranks: RankMap::from_fn(rank),
            timeline: first.timeline.clone(),
        }
    }
}
