//! The two sites: their classes, engines and distances.

use std::time::Duration;

use policy::{
    EngineProfile,
    RankMap,
    ServiceRank, //
};
use units::WorthPoints;

use crate::MeasureError;

/// A class of work at a site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SiteClass {
    pub(crate) rank: ServiceRank,
    pub(crate) start: Duration,
    pub(crate) gap: Duration,
    pub(crate) worth: WorthPoints,
    /// Mean work of a request in engine seconds.
    pub(crate) work: f64,
    /// Share of the offered work.
    pub(crate) share: f64,
}

/// A site to measure at.
#[derive(Debug, Clone)]
pub struct SiteModel {
    pub(crate) classes: [SiteClass; 3],
    pub(crate) engines: usize,
    pub(crate) centres: usize,
    pub(crate) entries: usize,
    pub(crate) profile: EngineProfile,
    /// One way between data centres.
    pub(crate) between_centres: Duration,
    /// One way between callers and entries.
    pub(crate) to_callers: Duration,
}

impl SiteModel {
    /// Names of all sites.
    pub const NAMES: [&'static str; 2] = ["crustwell", "beauchemin"];

    /// The site with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let (worth, share) = match name {
            "crustwell" => ([20, 5, 10], [0.30, 0.30, 0.40]),
            "beauchemin" => ([40, 5, 6], [0.20, 0.30, 0.50]),
            _ => {
                let name = name.to_owned();
                return Err(MeasureError::UnknownName { kind: "site", name });
            }
        };
        let class = |rank: ServiceRank, start_ms, gap_ms, work| SiteClass {
            rank,
            start: Duration::from_millis(start_ms),
            gap: Duration::from_millis(gap_ms),
            worth: WorthPoints(worth[rank.index()]),
            work,
            share: share[rank.index()],
        };
        Ok(Self {
            classes: [
                class(ServiceRank::Urgent, 1_300, 60, 0.06),
                class(ServiceRank::Ordinary, 4_000, 100, 0.15),
                class(ServiceRank::Patient, 60_000, 250, 1.0),
            ],
            engines: 20,
            centres: 3,
            entries: 3,
            profile: EngineProfile::default(),
            between_centres: Duration::from_micros(1_500),
            to_callers: Duration::from_millis(3),
        })
    }

    /// Floor shares by worth, as the daemons compute them.
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
