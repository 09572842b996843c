//! Arrivals of a run, the same for every policy.

use policy::{
    CostModel,
    ServiceRank, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use units::TokenCount;

use crate::{
    CapacityCurve,
    Scenario,
    SiteModel, //
};

/// Conversations whose prompts share a prefix, by rank.
const PREFIX_GROUPS: u64 = 400;
/// Share of a prompt that is its prefix.
const PREFIX_SHARE: f64 = 0.4;

/// One request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) rank: ServiceRank,
    pub(crate) prompt: TokenCount,
    pub(crate) output: TokenCount,
    pub(crate) prefix: u64,
    pub(crate) poison: bool,
    pub(crate) entry: usize,
}

impl Arrival {
    pub(crate) fn prefix_tokens(&self) -> TokenCount {
        TokenCount((f64::from(self.prompt.0) * PREFIX_SHARE) as u32)
    }

    pub(crate) fn work(&self, cost: &CostModel) -> f64 {
        cost.prefill_work(self.prompt).0 + cost.decode_work(self.output).0
    }
}

/// All requests of a run in the order of their arrival.
#[derive(Debug, Clone)]
pub struct Workload {
    pub(crate) arrivals: Vec<Arrival>,
}

impl Workload {
    /// Requests in all.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }
}

/// Draws the arrivals of a run at a share of the fleet's capacity.
pub fn generate_workload(
    site: &SiteModel,
    scenario: &Scenario,
    capacity: &CapacityCurve,
    load: f64,
    seed: u64,
) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cost = CostModel::from_profile(&site.profile);
    let mut arrivals = Vec::new();
    for class in &site.classes {
        let mut at = 0.0;
        loop {
            let share = scenario.prefill_share(at);
            let flood = scenario.flood[class.rank.index()];
            // In a flood, a class alone asks for a multiple of what the fleet can take.
            let flooding = flood > 1.0 && scenario.in_flood(at);
            let part = if flooding { flood } else { load * class.share };
            let rate = capacity.work_rate(share) * part / class.work;
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= scenario.seconds {
                break;
            }
            arrivals.push(draw_arrival(&mut rng, site, &cost, class.rank, at, share));
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    poison_some(&mut arrivals, scenario);
    Workload { arrivals }
}

fn draw_arrival(
    rng: &mut ChaCha8Rng,
    site: &SiteModel,
    cost: &CostModel,
    rank: ServiceRank,
    at: f64,
    share: f64,
) -> Arrival {
    let work = site.classes[rank.index()].work;
    let mut size = || (0.6 * (rng.random::<f64>() + rng.random::<f64>()) + 0.4) * work;
    let prompt = size() * share / cost.prefill_work(TokenCount(1)).0;
    let output = size() * (1.0 - share) / cost.decode_work(TokenCount(1)).0;
    Arrival {
        at,
        rank,
        prompt: TokenCount((prompt as u32).max(16)),
        output: TokenCount((output as u32).max(2)),
        prefix: rng.random_range(0..PREFIX_GROUPS) * 3 + rank.index() as u64,
        poison: false,
        entry: rng.random_range(0..site.entries),
    }
}

/// Makes some requests poisonous; each is sent again twice, soon after.
fn poison_some(arrivals: &mut Vec<Arrival>, scenario: &Scenario) {
    let count = arrivals.len();
    let chosen: Vec<usize> = (1..=scenario.poison)
        .map(|i| i * count / (scenario.poison + 1))
        .collect();
    let mut repeats = Vec::new();
    for index in chosen {
        arrivals[index].poison = true;
        arrivals[index].prefix = u64::MAX - index as u64;
        for again in 1..=2 {
            let mut repeat = arrivals[index];
            repeat.at += 5.0 * f64::from(again);
            repeat.entry = (repeat.entry + again as usize) % 3;
            repeats.push(repeat);
        }
    }
    arrivals.extend(repeats);
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
}
