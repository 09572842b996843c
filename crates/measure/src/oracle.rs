//! An upper bound: a fluid that knows all arrivals and changes roles for free.

use std::collections::BTreeMap;

use policy::{
    CostModel,
    RankMap,
    ServiceRank, //
};
use units::{
    PieceCount,
    TokenCount, //
};

use crate::metrics::RunMetrics;
use crate::workload::RequestArrival;
use crate::{
    Scenario,
    SiteModel,
    Workload, //
};

/// Prompt tokens in a step of an engine that prefills alone.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;

/// Length of the fluid's time steps in seconds.
const STEP_SECONDS: f64 = 0.25;

/// A request as the fluid sees it.
#[derive(Debug, Clone, Copy)]
struct FluidRequest {
    at_seconds: f64,
    /// When the last of its work must be done.
    deadline_seconds: f64,
    remaining_work: f64,
    rank: ServiceRank,
}

/// Figures of the bound: the most worth for the engine time that there is.
///
/// Prefill costs what full prefill steps cost, decode what steps with a memory full of streams
/// cost, prefixes are always cached, nothing waits for a role or is lost. A rank's work is what
/// the fluid can do of it and the ranks above within their windows, earliest due first; of a rank
/// the smallest requests are counted first.
pub fn oracle_metrics(site: &SiteModel, scenario: &Scenario, workload: &Workload) -> RunMetrics {
    let requests: Vec<FluidRequest> = workload
        .arrivals
        .iter()
        .map(|a| fluid_request(site, a))
        .collect();
    let mut served = RankMap::from_fn(|_| 0.0_f64);
    let mut higher_rank_work = 0.0;
    // Worth for work falls with rank at both sites, so serving ranks in order is the best order.
    for rank in ServiceRank::ALL {
        let candidates: Vec<FluidRequest> = requests
            .iter()
            .filter(|request| request.rank <= rank)
            .copied()
            .collect();
        let completed_work = fluid_work(site, scenario, candidates);
        served[rank] = count_served(&requests, rank, completed_work - higher_rank_work);
        higher_rank_work = completed_work;
    }
    RunMetrics::from_bound(site, workload, &served)
}

fn fluid_request(site: &SiteModel, arrival: &RequestArrival) -> FluidRequest {
    let profile = &site.profile;
    let class = &site.classes[arrival.rank.index()];
    let prefill = profile.prefill_seconds + profile.step_seconds / PREFILL_CHUNK_TOKENS;
    let pieces = profile.pieces_for(TokenCount(
        arrival.prompt_tokens.0 + arrival.output_tokens.0,
    ));
    let decode =
        profile.decode_seconds + profile.step_seconds * piece_share(pieces, profile.pieces);
    let uncached_tokens = arrival.prompt_tokens.0 - arrival.prefix_tokens().0;
    let time_limit = class.first_token_target.as_secs_f64()
        + class.gap_target.as_secs_f64() * f64::from(arrival.output_tokens.0);
    FluidRequest {
        at_seconds: arrival.at_seconds,
        deadline_seconds: arrival.at_seconds + time_limit,
        remaining_work: f64::from(uncached_tokens) * prefill
            + f64::from(arrival.output_tokens.0) * decode,
        rank: arrival.rank,
    }
}

/// Engine seconds that the fluid can spend on requests within their windows.
fn fluid_work(site: &SiteModel, scenario: &Scenario, mut requests: Vec<FluidRequest>) -> f64 {
    requests.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    let mut arriving = requests.into_iter().peekable();
    let mut pending: BTreeMap<(u64, usize), FluidRequest> = BTreeMap::new();
    let mut sequence = 0;
    let mut completed_work = 0.0;
    let mut now = 0.0;
    let end = scenario.traffic_seconds + scenario.tail_seconds;
    while now < end {
        let step_end = now + STEP_SECONDS;
        // What arrives within a step may use all of it, which favours the bound.
        while let Some(request) = arriving.next_if(|request| request.at_seconds < step_end) {
            sequence += 1;
            pending.insert(
                ((request.deadline_seconds * 1_000.0) as u64, sequence),
                request,
            );
        }
        let mut budget = site.engine_count as f64 * STEP_SECONDS;
        while budget > 0.0 {
            let Some(mut earliest) = pending.first_entry() else {
                break;
            };
            if earliest.get().deadline_seconds < now {
                earliest.remove();
                continue;
            }
            let spent = earliest.get().remaining_work.min(budget);
            budget -= spent;
            completed_work += spent;
            earliest.get_mut().remaining_work -= spent;
            if earliest.get().remaining_work <= 0.0 {
                earliest.remove();
            }
        }
        now = step_end;
    }
    completed_work
}

/// Requests of a rank that an amount of work serves, the smallest first.
fn count_served(requests: &[FluidRequest], rank: ServiceRank, mut budget: f64) -> f64 {
    let own_rank = requests.iter().filter(|request| request.rank == rank);
    let mut works: Vec<f64> = own_rank.map(|request| request.remaining_work).collect();
    works.sort_by(f64::total_cmp);
    let mut count = 0.0;
    for work in works {
        let spent = (budget / work).clamp(0.0, 1.0);
        budget -= spent * work;
        count += spent;
    }
    count
}

fn piece_share(pieces: PieceCount, total: PieceCount) -> f64 {
    f64::from(pieces.0) / f64::from(total.0)
}

/// Work of all arrivals by the cost model of the routers.
pub(crate) fn total_work(workload: &Workload, cost_model: &CostModel) -> f64 {
    workload
        .arrivals
        .iter()
        .map(|arrival| arrival.work(cost_model))
        .sum()
}
