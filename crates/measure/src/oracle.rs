//! An upper bound: a fluid that knows all arrivals and changes roles for free.

use policy::{
    CostModel,
    RankMap, //
};
use units::{
    PieceCount,
    TokenCount, //
};

use crate::figures::RunFigures;
use crate::{
    Scenario,
    SiteModel,
    Workload, //
};

/// Prompt tokens in a step of an engine that prefills alone.
const PREFILL_CHUNK: f64 = 2_048.0;

/// Figures of the bound: the most worth for the engine time that there is.
///
/// Prefill costs what full prefill steps cost, decode what steps with a memory full of streams
/// cost, prefixes are always cached, nothing waits and nothing is lost.
pub fn oracle_figures(site: &SiteModel, scenario: &Scenario, workload: &Workload) -> RunFigures {
    let profile = &site.profile;
    let prefill = profile.prefill_seconds + profile.step_seconds / PREFILL_CHUNK;
    let mut wishes: Vec<(f64, f64, usize)> = Vec::with_capacity(workload.arrivals.len());
    for arrival in &workload.arrivals {
        let pieces = profile.pieces_for(TokenCount(arrival.prompt.0 + arrival.output.0));
        let decode =
            profile.decode_seconds + profile.step_seconds * share_of(pieces, profile.pieces);
        let computed = arrival.prompt.0 - arrival.prefix_tokens().0;
        let work = f64::from(computed) * prefill + f64::from(arrival.output.0) * decode;
        let worth = f64::from(site.classes[arrival.rank.index()].worth.0);
        wishes.push((worth / work, work, arrival.rank.index()));
    }
    wishes.sort_by(|a, b| b.0.total_cmp(&a.0));
    let longest = site
        .classes
        .iter()
        .map(|class| class.start.as_secs_f64())
        .fold(0.0, f64::max);
    let mut room = site.engines as f64 * (scenario.seconds + longest);
    let mut served = RankMap::from_fn(|_| 0.0_f64);
    for (_, work, rank) in wishes {
        let part = (room / work).clamp(0.0, 1.0);
        room -= part * work;
        served[policy::ServiceRank::from_index(rank)] += part;
    }
    RunFigures::of_bound(site, workload, &served)
}

fn share_of(pieces: PieceCount, all: PieceCount) -> f64 {
    f64::from(pieces.0) / f64::from(all.0)
}

/// Work of all arrivals by the cost model of the routers.
pub(crate) fn total_work(workload: &Workload, cost: &CostModel) -> f64 {
    workload
        .arrivals
        .iter()
        .map(|arrival| arrival.work(cost))
        .sum()
}
