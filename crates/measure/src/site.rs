//! Models of two sites: request classes, engines and network latencies.

use std::time::Duration;

use policy::{
    EngineProfile,
    RankMap,
    ServiceRank, //
};
use units::WorthPoints;

use crate::MeasureError;

/// Class of requests with the same latency targets and worth.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClass {
    pub(crate) rank: ServiceRank,
    /// Target for the time to the first token.
    pub(crate) first_token_target: Duration,
    /// Target for the mean time between tokens.
    pub(crate) gap_target: Duration,
    /// Worth of an answer within both targets.
    pub(crate) worth: WorthPoints,
    /// Mean work of a request, in engine seconds.
    pub(crate) mean_work: f64,
    /// Share of the work offered at the site.
    pub(crate) load_share: f64,
}

/// Site to simulate.
#[derive(Debug, Clone)]
pub struct SiteModel {
    /// Request classes, by rank.
    pub(crate) classes: [RequestClass; 3],
    /// Number of engines.
    pub(crate) engine_count: usize,
    /// Number of data centres.
    pub(crate) centre_count: usize,
    /// Number of entries.
    pub(crate) entry_count: usize,
    /// Capacity and speed of each engine.
    pub(crate) profile: EngineProfile,
    /// One-way latency between data centres.
    pub(crate) inter_centre_latency: Duration,
    /// One-way latency between callers and entries.
    pub(crate) caller_latency: Duration,
}

impl SiteModel {
    /// Names of all sites.
    pub const NAMES: [&'static str; 2] = ["crustwell", "beauchemin"];

    /// Returns the site with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let (worth, load_share) = match name {
            "crustwell" => ([20, 5, 10], [0.30, 0.30, 0.40]),
            "beauchemin" => ([40, 5, 6], [0.20, 0.30, 0.50]),
            _ => {
                let name = name.to_owned();
                return Err(MeasureError::UnknownName { kind: "site", name });
            }
        };
        let class = |rank: ServiceRank, first_token_ms, gap_ms, mean_work| RequestClass {
            rank,
            first_token_target: Duration::from_millis(first_token_ms),
            gap_target: Duration::from_millis(gap_ms),
            worth: WorthPoints(worth[rank.index()]),
            mean_work,
            load_share: load_share[rank.index()],
        };
        Ok(Self {
            classes: [
                class(ServiceRank::Urgent, 1_300, 60, 0.06),
                class(ServiceRank::Ordinary, 4_000, 100, 0.15),
                class(ServiceRank::Patient, 60_000, 250, 1.0),
            ],
            engine_count: 20,
            centre_count: 3,
            entry_count: 3,
            profile: EngineProfile::default(),
            inter_centre_latency: Duration::from_micros(1_500),
            caller_latency: Duration::from_millis(3),
        })
    }

    /// Returns the minimum share of each rank: `MINIMUM_SHARE_TOTAL` divided in proportion to
    /// worth, as the daemons do.
    pub(crate) fn minimum_shares(&self) -> RankMap<f64> {
        let total: f64 = self
            .classes
            .iter()
            .map(|class| f64::from(class.worth.0))
            .sum();
        RankMap::from_fn(|rank| {
            let worth = f64::from(self.classes[rank.index()].worth.0);
            policy::MINIMUM_SHARE_TOTAL * worth / total
        })
    }
}
