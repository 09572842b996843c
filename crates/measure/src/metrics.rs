//! Metrics of a simulation.

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

/// Longest time that histograms record.
const HISTOGRAM_MAX_MICROS: u64 = 3_600_000_000;

/// Longest time until a refusal that counts as immediate.
const IMMEDIATE_REFUSAL_MS: f64 = 50.0;

/// Metrics of one rank.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct RankMetrics {
    /// Number of requests.
    pub offered: usize,
    /// Number of answers that met all targets.
    pub good: f64,
    /// Share of the requests whose answers met all targets.
    pub in_target: f64,
    /// Share of the requests that missed the target for the first token.
    pub late: f64,
    /// Share of the requests that missed the target for the time between tokens.
    pub slow: f64,
    /// Share of the requests that were refused.
    pub refused: f64,
    /// Time to the first token in milliseconds: median, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// Mean time between the tokens of an answer in milliseconds: median, 95th and 99th percentile.
    pub gap_ms: [f64; 3],
    /// Share of the completed work of all ranks.
    pub work_share: f64,
    /// Completed work in engine seconds, by the cost model.
    pub work: f64,
}

/// Metrics of one policy, of one simulation or as means over several.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct RunMetrics {
    /// Name of the policy.
    pub policy: &'static str,
    /// Worth of the answers that met all targets, as a share of the offered worth.
    pub goodput: f64,
    /// Minimum and maximum goodput over the seeds.
    pub goodput_spread: [f64; 2],
    /// Answers that met all targets, as a share of the requests.
    pub goodput_unweighed: f64,
    /// Number of role changes.
    pub role_changes: u64,
    /// Number of times that a scheduler paused a stream.
    pub pauses: u64,
    /// Number of engine crashes caused by requests of the scenario `poison`.
    pub poison_crashes: u64,
    /// Share of the work spent on answers that missed a target, or spent again on the same tokens.
    pub wasted: f64,
    /// Share of cached tokens in the prompt tokens.
    pub cache_hits: f64,
    /// Share of the refusals within 50 ms.
    pub refusals_at_once: f64,
    /// Longest time until a refusal, in milliseconds.
    pub refusal_ms: f64,
    /// Metrics by rank.
    pub ranks: RankMap<RankMetrics>,
    /// Worth of the answers that met all targets and offered worth, by the second of arrival.
    #[serde(skip)]
    pub timeline: Vec<(f64, f64)>,
}

/// Counters of a simulation that cannot be derived from its jobs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunCounters {
    /// Number of role changes.
    pub(crate) role_changes: u64,
    /// Number of times that a scheduler paused a stream.
    pub(crate) pauses: u64,
    /// Number of engine crashes caused by poison requests.
    pub(crate) poison_crashes: u64,
    /// Number of prompt tokens found in prefix caches.
    pub(crate) cached_tokens: u64,
    /// Number of prompt tokens computed.
    pub(crate) computed_tokens: u64,
}

/// Returns the median, 95th and 99th percentile in milliseconds.
fn percentiles(values: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| values.value_at_quantile(quantile) as f64 / 1_000.0)
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_max(HISTOGRAM_MAX_MICROS, 3) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("three digits are allowed"),
    }
}

/// Result of comparing an answer with the targets of its class.
#[derive(Debug, Clone, Copy, Default)]
struct TargetResult {
    good: bool,
    late: bool,
    slow: bool,
    first_token_micros: Option<u64>,
    mean_gap_micros: Option<u64>,
}

fn check_targets(job: &SimJob, site: &SiteModel) -> TargetResult {
    let class = &site.classes[job.arrival.rank.index()];
    let Some(first_token_at) = job.first_token_at else {
        return TargetResult::default();
    };
    let first_token_time =
        first_token_at.saturating_duration_since(job.arrived_at) + site.caller_latency;
    let last_token_at = job.last_token_at.unwrap_or(first_token_at);
    let gap_count = job.generated_tokens.saturating_sub(1).max(1);
    let mean_gap = last_token_at.saturating_duration_since(first_token_at) / gap_count;
    let late = first_token_time > class.first_token_target;
    let slow = mean_gap > class.gap_target;
    TargetResult {
        good: job.outcome == JobOutcome::Completed && !late && !slow,
        late,
        slow,
        first_token_micros: Some(first_token_time.as_micros() as u64),
        mean_gap_micros: Some(mean_gap.as_micros() as u64),
    }
}

impl RunMetrics {
    /// Computes the metrics of a simulation from its jobs and counters.
    pub(crate) fn from_jobs(
        policy: &'static str,
        site: &SiteModel,
        seconds: f64,
        jobs: &[SimJob],
        counters: RunCounters,
    ) -> Self {
        let cost_model = CostModel::from_profile(&site.profile);
        let mut metrics = Self {
            policy,
            ..Self::default()
        };
        metrics.timeline = vec![(0.0, 0.0); seconds as usize + 1];
        let mut spent_work = 0.0;
        let mut wasted_work = 0.0;
        let mut good_worth = 0.0;
        let mut offered_worth = 0.0;
        let mut good_answers = 0.0;
        let mut refusal_count = 0.0;
        let mut immediate_count = 0.0;
        for rank in ServiceRank::ALL {
            let mut first_token_times = new_histogram();
            let mut mean_gaps = new_histogram();
            let worth = f64::from(site.classes[rank.index()].worth.0);
            let mut rank_metrics = RankMetrics::default();
            let mut refused = 0_u32;
            for job in jobs.iter().filter(|job| job.arrival.rank == rank) {
                let result = check_targets(job, site);
                let good = result.good;
                rank_metrics.late += f64::from(u8::from(result.late));
                rank_metrics.slow += f64::from(u8::from(result.slow));
                rank_metrics.offered += 1;
                refused += u32::from(job.outcome == JobOutcome::Refused);
                result
                    .first_token_micros
                    .inspect(|micros| first_token_times.saturating_record(*micros));
                result
                    .mean_gap_micros
                    .inspect(|micros| mean_gaps.saturating_record(*micros));
                let job_work = completed_job_work(job, &cost_model);
                rank_metrics.work += job_work;
                let recomputed_work = cost_model
                    .prefill_work(units::TokenCount(job.recomputed_tokens as u32))
                    .0;
                spent_work += job_work + recomputed_work;
                wasted_work += recomputed_work + if good { 0.0 } else { job_work };
                rank_metrics.good += f64::from(u8::from(good));
                let bucket = &mut metrics.timeline[job.arrival.at_seconds as usize];
                bucket.1 += worth;
                bucket.0 += if good { worth } else { 0.0 };
                if job.outcome == JobOutcome::Refused
                    && let Some(ended_at) = job.ended_at
                {
                    let refusal_ms = ended_at
                        .saturating_duration_since(job.arrived_at)
                        .as_secs_f64()
                        * 1_000.0;
                    metrics.refusal_ms = metrics.refusal_ms.max(refusal_ms);
                    refusal_count += 1.0;
                    immediate_count += if refusal_ms <= IMMEDIATE_REFUSAL_MS {
                        1.0
                    } else {
                        0.0
                    };
                }
            }
            let offered = rank_metrics.offered.max(1) as f64;
            rank_metrics.in_target = rank_metrics.good / offered;
            rank_metrics.late /= offered;
            rank_metrics.slow /= offered;
            rank_metrics.refused = f64::from(refused) / offered;
            rank_metrics.first_token_ms = percentiles(&first_token_times);
            rank_metrics.gap_ms = percentiles(&mean_gaps);
            good_worth += rank_metrics.good * worth;
            offered_worth += rank_metrics.offered as f64 * worth;
            good_answers += rank_metrics.good;
            metrics.ranks[rank] = rank_metrics;
        }
        let completed_work: f64 = metrics.ranks.iter().map(|(_, rank)| rank.work).sum();
        for rank in ServiceRank::ALL {
            let rank_metrics = &mut metrics.ranks[rank];
            rank_metrics.work_share = rank_metrics.work / completed_work.max(f64::MIN_POSITIVE);
        }
        metrics.goodput = good_worth / offered_worth.max(f64::MIN_POSITIVE);
        metrics.goodput_unweighed = good_answers / jobs.len().max(1) as f64;
        metrics.wasted = wasted_work / spent_work.max(f64::MIN_POSITIVE);
        metrics.refusals_at_once = if refusal_count > 0.0 {
            immediate_count / refusal_count
        } else {
            1.0
        };
        metrics.role_changes = counters.role_changes;
        metrics.pauses = counters.pauses;
        metrics.poison_crashes = counters.poison_crashes;
        let prompt_tokens = counters.cached_tokens + counters.computed_tokens;
        metrics.cache_hits = counters.cached_tokens as f64 / prompt_tokens.max(1) as f64;
        metrics
    }

    /// Computes the metrics of the upper bound from the number of requests served by rank.
    pub(crate) fn from_bound(site: &SiteModel, workload: &Workload, served: &RankMap<f64>) -> Self {
        let mut metrics = Self {
            policy: "oracle",
            ..Self::default()
        };
        let mut good_worth = 0.0;
        let mut offered_worth = 0.0;
        let mut good_answers = 0.0;
        for rank in ServiceRank::ALL {
            let worth = f64::from(site.classes[rank.index()].worth.0);
            let rank_metrics = &mut metrics.ranks[rank];
            rank_metrics.offered = workload.arrivals.iter().filter(|a| a.rank == rank).count();
            rank_metrics.good = served[rank];
            rank_metrics.in_target = rank_metrics.good / rank_metrics.offered.max(1) as f64;
            rank_metrics.refused = 1.0 - rank_metrics.in_target;
            good_worth += rank_metrics.good * worth;
            offered_worth += rank_metrics.offered as f64 * worth;
            good_answers += rank_metrics.good;
        }
        metrics.goodput = good_worth / offered_worth.max(f64::MIN_POSITIVE);
        metrics.goodput_unweighed = good_answers / workload.arrivals.len().max(1) as f64;
        metrics
    }

    /// Returns the completed work by the cost model of the routers, at most the work of all
    /// arrivals.
    pub(crate) fn completed_work(&self, workload: &Workload, cost_model: &CostModel) -> f64 {
        let completed_work: f64 = self.ranks.iter().map(|(_, rank)| rank.work).sum();
        completed_work.min(total_work(workload, cost_model))
    }
}

/// Returns the work of the tokens that a job received, by the cost model; 0 before the first token.
fn completed_job_work(job: &SimJob, cost_model: &CostModel) -> f64 {
    if job.first_token_at.is_none() {
        return 0.0;
    }
    let generated_tokens = units::TokenCount(job.generated_tokens);
    cost_model.prefill_work(job.arrival.prompt_tokens).0
        + cost_model.decode_work(generated_tokens).0
}

impl RunMetrics {
    /// Returns the means over several runs, with the minimum and maximum goodput and the longest
    /// time until a refusal. The timeline is that of the first run.
    pub fn mean(runs: &[RunMetrics]) -> RunMetrics {
        let Some(first_run) = runs.first() else {
            return RunMetrics::default();
        };
        let count = runs.len() as f64;
        let mean = |get: &dyn Fn(&RunMetrics) -> f64| runs.iter().map(get).sum::<f64>() / count;
        let spread = |get: &dyn Fn(&RunMetrics) -> f64| {
            let minimum = runs.iter().map(get).fold(f64::INFINITY, f64::min);
            let maximum = runs.iter().map(get).fold(f64::NEG_INFINITY, f64::max);
            [minimum, maximum]
        };
        let rounded_mean = |get: &dyn Fn(&RunMetrics) -> f64| mean(get).round() as u64;
        let rank = |rank: ServiceRank| {
            let rank_mean = |get: &dyn Fn(&RankMetrics) -> f64| mean(&|run| get(&run.ranks[rank]));
            let percentile_means = |get: &dyn Fn(&RankMetrics) -> [f64; 3]| {
                [0, 1, 2].map(|index| rank_mean(&|metrics| get(metrics)[index]))
            };
            RankMetrics {
                offered: rank_mean(&|metrics| metrics.offered as f64) as usize,
                good: rank_mean(&|metrics| metrics.good),
                in_target: rank_mean(&|metrics| metrics.in_target),
                late: rank_mean(&|metrics| metrics.late),
                slow: rank_mean(&|metrics| metrics.slow),
                refused: rank_mean(&|metrics| metrics.refused),
                first_token_ms: percentile_means(&|metrics| metrics.first_token_ms),
                gap_ms: percentile_means(&|metrics| metrics.gap_ms),
                work_share: rank_mean(&|metrics| metrics.work_share),
                work: rank_mean(&|metrics| metrics.work),
            }
        };
        RunMetrics {
            policy: first_run.policy,
            goodput: mean(&|run| run.goodput),
            goodput_spread: spread(&|run| run.goodput),
            goodput_unweighed: mean(&|run| run.goodput_unweighed),
            role_changes: rounded_mean(&|run| run.role_changes as f64),
            pauses: rounded_mean(&|run| run.pauses as f64),
            poison_crashes: rounded_mean(&|run| run.poison_crashes as f64),
            wasted: mean(&|run| run.wasted),
            cache_hits: mean(&|run| run.cache_hits),
            refusals_at_once: mean(&|run| run.refusals_at_once),
            refusal_ms: spread(&|run| run.refusal_ms)[1],
            ranks: RankMap::from_fn(rank),
            timeline: first_run.timeline.clone(),
        }
    }
}
