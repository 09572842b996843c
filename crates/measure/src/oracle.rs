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
use crate::workload::Arrival;
use crate::{
    Scenario,
    SiteModel,
    Workload, //
};

/// Prompt tokens in a step of an engine that prefills alone.
const PREFILL_CHUNK: f64 = 2_048.0;

/// Length of the fluid's time steps in seconds.
const STEP_SECONDS: f64 = 0.25;

/// A request as the fluid sees it.
#[derive(Debug, Clone, Copy)]
struct FluidWish {
    at: f64,
    /// When the last of its work must be done.
    due: f64,
    work: f64,
    rank: ServiceRank,
}

/// Figures of the bound: the most worth for the engine time that there is.
///
/// Prefill costs what full prefill steps cost, decode what steps with a memory full of streams
/// cost, prefixes are always cached, nothing waits for a role or is lost. A rank's work is what
/// the fluid can do of it and the ranks above within their windows, earliest due first; of a rank
/// the smallest requests are counted first.
pub fn oracle_metrics(site: &SiteModel, scenario: &Scenario, workload: &Workload) -> RunMetrics {
    let wishes: Vec<FluidWish> = workload
        .arrivals
        .iter()
        .map(|a| fluid_wish(site, a))
        .collect();
    let mut served = RankMap::from_fn(|_| 0.0_f64);
    let mut above = 0.0;
    // Worth for work falls with rank at both sites, so serving ranks in order is the best order.
    for rank in ServiceRank::ALL {
        let chosen: Vec<FluidWish> = wishes.iter().filter(|w| w.rank <= rank).copied().collect();
        let done = fluid_work(site, scenario, chosen);
        served[rank] = count_smallest(&wishes, rank, done - above);
        above = done;
    }
    RunMetrics::from_bound(site, workload, &served)
}

fn fluid_wish(site: &SiteModel, arrival: &Arrival) -> FluidWish {
    let profile = &site.profile;
    let class = &site.classes[arrival.rank.index()];
    let prefill = profile.prefill_seconds + profile.step_seconds / PREFILL_CHUNK;
    let pieces = profile.pieces_for(TokenCount(arrival.prompt.0 + arrival.output.0));
    let decode = profile.decode_seconds + profile.step_seconds * share_of(pieces, profile.pieces);
    let computed = arrival.prompt.0 - arrival.prefix_tokens().0;
    let longest = class.start.as_secs_f64() + class.gap.as_secs_f64() * f64::from(arrival.output.0);
    FluidWish {
        at: arrival.at,
        due: arrival.at + longest,
        work: f64::from(computed) * prefill + f64::from(arrival.output.0) * decode,
        rank: arrival.rank,
    }
}

/// Engine seconds that the fluid can spend on requests within their windows.
fn fluid_work(site: &SiteModel, scenario: &Scenario, mut wishes: Vec<FluidWish>) -> f64 {
    wishes.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut next = wishes.into_iter().peekable();
    let mut open: BTreeMap<(u64, usize), FluidWish> = BTreeMap::new();
    let mut number = 0;
    let mut done = 0.0;
    let mut now = 0.0;
    let end = scenario.seconds + scenario.tail_seconds;
    while now < end {
        let until = now + STEP_SECONDS;
        // What arrives within a step may use all of it, which favours the bound.
        while let Some(wish) = next.next_if(|wish| wish.at < until) {
            number += 1;
            open.insert(((wish.due * 1_000.0) as u64, number), wish);
        }
        let mut room = site.engines as f64 * STEP_SECONDS;
        while room > 0.0 {
            let Some(mut first) = open.first_entry() else {
                break;
            };
            if first.get().due < now {
                first.remove();
                continue;
            }
            let part = first.get().work.min(room);
            room -= part;
            done += part;
            first.get_mut().work -= part;
            if first.get().work <= 0.0 {
                first.remove();
            }
        }
        now = until;
    }
    done
}

/// Requests of a rank that an amount of work serves, the smallest first.
fn count_smallest(wishes: &[FluidWish], rank: ServiceRank, mut room: f64) -> f64 {
    let own = wishes.iter().filter(|wish| wish.rank == rank);
    let mut works: Vec<f64> = own.map(|wish| wish.work).collect();
    works.sort_by(f64::total_cmp);
    let mut count = 0.0;
    for work in works {
        let part = (room / work).clamp(0.0, 1.0);
        room -= part * work;
        count += part;
    }
    count
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
