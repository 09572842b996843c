//! Upper bound of goodput: a fluid model that knows all arrivals and changes roles at no cost.

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

/// Prompt tokens in a step of a prefill engine.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;

/// Length of a time step of the fluid model.
const STEP_SECONDS: f64 = 0.25;

/// Request in the fluid model, which can spread its work over any engine at any time.
#[derive(Debug, Clone, Copy)]
struct FluidRequest {
    /// Time of arrival.
    at_seconds: f64,
    /// Latest time at which all work of the request must be completed.
    deadline_seconds: f64,
    /// Engine seconds still to spend.
    remaining_work: f64,
    rank: ServiceRank,
}

/// Returns the metrics of the upper bound: the greatest worth for the available engine time.
///
/// Prefill has the cost of full prefill steps, and decode that of steps in which streams fill the
/// KV cache memory. Prefixes are always cached, no request waits for a role change, and no work is
/// lost. The work of a rank is the work that the fluid model completes of this and the higher ranks
/// before their deadlines, earliest deadline first, less the work of the higher ranks. Within a
/// rank, the smallest requests are counted first.
pub fn oracle_metrics(site: &SiteModel, scenario: &Scenario, workload: &Workload) -> RunMetrics {
    let requests: Vec<FluidRequest> = workload
        .arrivals
        .iter()
        .map(|a| fluid_request(site, a))
        .collect();
    let mut served = RankMap::from_fn(|_| 0.0_f64);
    let mut higher_rank_work = 0.0;
    // At both sites the worth per work falls with rank, so the order of ranks gives the greatest
    // worth.
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

/// Converts a request. Its deadline is the first-token target plus one gap target per output token.
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

/// Returns the engine seconds that can be spent on requests before their deadlines.
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
        // A request that arrives within a step can use the whole step, which only raises the bound.
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

/// Returns the number of requests of a rank that an amount of work serves, smallest first.
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

/// Returns the share of the KV cache memory that a number of pieces occupies.
fn piece_share(pieces: PieceCount, total: PieceCount) -> f64 {
    f64::from(pieces.0) / f64::from(total.0)
}

/// Returns the work of all arrivals by the cost model of the routers.
pub(crate) fn total_work(workload: &Workload, cost_model: &CostModel) -> f64 {
    workload
        .arrivals
        .iter()
        .map(|arrival| arrival.work(cost_model))
        .sum()
}
