//! Requests of a simulation, the same for every policy.

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

/// Number of distinct prompt prefixes per rank.
const PREFIXES_PER_RANK: u64 = 400;
/// Share of the tokens of a prompt that belong to its prefix.
const PREFIX_TOKEN_SHARE: f64 = 0.4;

/// Request as its caller sends it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestArrival {
    /// Time of arrival, in seconds since the start.
    pub(crate) at_seconds: f64,
    /// Rank of the request's class.
    pub(crate) rank: ServiceRank,
    /// Length of the prompt.
    pub(crate) prompt_tokens: TokenCount,
    /// Length of the answer.
    pub(crate) output_tokens: TokenCount,
    /// Hash of the prompt prefix.
    pub(crate) prefix_hash: u64,
    /// Whether the first token crashes the engine.
    pub(crate) is_poison: bool,
    /// Index of the entry that receives the request.
    pub(crate) entry: usize,
}

impl RequestArrival {
    /// Returns the length of the prompt prefix.
    pub(crate) fn prefix_tokens(&self) -> TokenCount {
        TokenCount((f64::from(self.prompt_tokens.0) * PREFIX_TOKEN_SHARE) as u32)
    }

    /// Returns the work of the request in engine seconds, if nothing is cached.
    pub(crate) fn work(&self, cost_model: &CostModel) -> f64 {
        cost_model.prefill_work(self.prompt_tokens).0 + cost_model.decode_work(self.output_tokens).0
    }
}

/// All requests of a simulation, in the order of arrival.
#[derive(Debug, Clone)]
pub struct Workload {
    pub(crate) arrivals: Vec<RequestArrival>,
}

impl Workload {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }
}

/// Generates requests with Poisson arrivals, at a load given as a share of the capacity of all
/// engines.
pub fn generate_workload(
    site: &SiteModel,
    scenario: &Scenario,
    capacity: &CapacityCurve,
    load: f64,
    seed: u64,
) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cost_model = CostModel::from_profile(&site.profile);
    let mut arrivals = Vec::new();
    for class in &site.classes {
        let mut at_seconds = 0.0;
        loop {
            let prefill_share = scenario.prefill_share(at_seconds);
            let flood_load = scenario.flood_load[class.rank.index()];
            // In a flood, each flooding class alone offers a multiple of the capacity.
            let flooding = flood_load > 1.0 && scenario.in_flood(at_seconds);
            let offered_load = if flooding {
                flood_load
            } else {
                load * class.load_share
            };
            let rate = capacity.work_rate(prefill_share) * offered_load / class.mean_work;
            at_seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at_seconds >= scenario.traffic_seconds {
                break;
            }
            arrivals.push(sample_arrival(
                &mut rng,
                site,
                &cost_model,
                class.rank,
                at_seconds,
                prefill_share,
            ));
        }
    }
    arrivals.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    add_poison_requests(&mut arrivals, scenario);
    Workload { arrivals }
}

/// Draws the size, prefix and entry of a request.
fn sample_arrival(
    rng: &mut ChaCha8Rng,
    site: &SiteModel,
    cost_model: &CostModel,
    rank: ServiceRank,
    at_seconds: f64,
    prefill_share: f64,
) -> RequestArrival {
    let mean_work = site.classes[rank.index()].mean_work;
    let mut sample_work = || (0.6 * (rng.random::<f64>() + rng.random::<f64>()) + 0.4) * mean_work;
    let prompt_tokens = sample_work() * prefill_share / cost_model.prefill_work(TokenCount(1)).0;
    let output_tokens =
        sample_work() * (1.0 - prefill_share) / cost_model.decode_work(TokenCount(1)).0;
    RequestArrival {
        at_seconds,
        rank,
        prompt_tokens: TokenCount((prompt_tokens as u32).max(16)),
        output_tokens: TokenCount((output_tokens as u32).max(2)),
        prefix_hash: rng.random_range(0..PREFIXES_PER_RANK) * 3 + rank.index() as u64,
        is_poison: false,
        entry: rng.random_range(0..site.entry_count),
    }
}

/// Makes some requests crash their engines; the caller of each sends it twice more, 5 and 10
/// seconds later, to other entries.
fn add_poison_requests(arrivals: &mut Vec<RequestArrival>, scenario: &Scenario) {
    let count = arrivals.len();
    let chosen: Vec<usize> = (1..=scenario.poison_count)
        .map(|i| i * count / (scenario.poison_count + 1))
        .collect();
    let mut retries = Vec::new();
    for index in chosen {
        arrivals[index].is_poison = true;
        arrivals[index].prefix_hash = u64::MAX - index as u64;
        for retry_number in 1..=2 {
            let mut retry = arrivals[index];
            retry.at_seconds += 5.0 * f64::from(retry_number);
            retry.entry = (retry.entry + retry_number as usize) % 3;
            retries.push(retry);
        }
    }
    arrivals.extend(retries);
    arrivals.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
}
