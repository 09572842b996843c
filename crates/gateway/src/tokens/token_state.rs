//! Tokens for limited backend servers: demand, waiting requests and received messages.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use policy::{
    BackendRecord,
    EngineStage,
    OfferedRate,
    ServerFilter,
    TokenQueue,
    VersionRule,
    WaitingRanks,
    add_waiting, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName, //
};

/// Backend servers that may serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerGroup {
    pub(crate) service: ServiceName,
    pub(crate) stage: Option<EngineStage>,
    pub(crate) version: VersionRule,
}

impl ServerGroup {
    /// Returns the filter for the group's backend servers other than those that are excluded.
    pub(crate) fn filter<'a>(&'a self, excluded: &'a BTreeSet<InstanceId>) -> ServerFilter<'a> {
        ServerFilter {
            service: &self.service,
            stage: self.stage,
            version: &self.version,
            excluded,
        }
    }

    /// Returns whether a backend server belongs to the group.
    pub(crate) fn contains(&self, record: &BackendRecord) -> bool {
        self.filter(&BTreeSet::new()).admits(record)
    }

    /// Returns the group of those that share a backend server's service, stage and version.
    pub(crate) fn of_server(record: &BackendRecord) -> Self {
        Self {
            service: record.service.clone(),
            stage: record.stage,
            version: VersionRule::begun_by(record.version.as_ref()),
        }
    }
}

/// Requests that might be sent to a group of backend servers.
#[derive(Debug, Default)]
pub(crate) struct GroupDemand {
    /// Requests for which a server was selected.
    pub(crate) wanted: OfferedRate,
    /// Tokens that requests took.
    pub(crate) taken: OfferedRate,
    /// Requests that wait, since no server of the group has a token.
    pub(crate) queue: TokenQueue,
    /// Until when a request wants to know how many others wait.
    pub(crate) asks_until: Option<Instant>,
}

/// Requests of this gateway that might use a token of one backend server.
#[derive(Debug, Default)]
pub(crate) struct ServerDemand {
    /// Requests per second, those that wait included.
    pub(crate) weight: f64,
    /// Requests that wait, by rank.
    pub(crate) waiting: WaitingRanks,
    /// Whether a request wants to know how many others wait.
    pub(crate) asks: bool,
}

impl GroupDemand {
    /// Returns the requests per second that might use a token, those that wait included.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        self.wanted.per_ms(now) * 1_000.0 + self.queue.len() as f64
    }
}

/// What this gateway knows about tokens, other than those that it has.
#[derive(Debug, Default)]
pub(crate) struct TokenState {
    /// Number of backend servers with a limit.
    pub(crate) limited_count: usize,
    pub(crate) groups: BTreeMap<ServerGroup, GroupDemand>,
    /// Incarnation and number of the latest message of each gateway.
    pub(crate) received: BTreeMap<InstanceId, (u64, u64)>,
    /// Backend servers that have named a malformed limit.
    pub(crate) malformed_limits: BTreeSet<InstanceId>,
}

impl TokenState {
    /// Returns the requests that might use a token of a backend server.
    pub(crate) fn demand_on(&self, now: Instant, record: &BackendRecord) -> ServerDemand {
        let groups = self.groups.iter();
        let mut total = ServerDemand::default();
        for (_, demand) in groups.filter(|(group, _)| group.contains(record)) {
            total.weight += demand.weight(now);
            total.asks |= demand.asks_until.is_some_and(|until| now < until);
            for (rank, waiting) in demand.queue.ranks() {
                add_waiting(&mut total.waiting, rank, waiting);
            }
        }
        total
    }

    /// Returns the requests of a group that wait.
    pub(crate) fn queue_mut(&mut self, group: &ServerGroup) -> &mut TokenQueue {
        &mut self.groups.entry(group.clone()).or_default().queue
    }

    /// Returns the tokens per second that requests took of a group's servers.
    pub(crate) fn taken_rate(&self, now: Instant, group: &ServerGroup) -> f64 {
        let groups = self.groups.iter();
        let within = groups.filter(|(other, _)| {
            let is_within = group.version == VersionRule::Any || other.version == group.version;
            other.service == group.service && other.stage == group.stage && is_within
        });
        within
            .map(|(_, demand)| demand.taken.per_ms(now) * 1_000.0)
            .sum()
    }

    /// Counts a request for which a server of a group is selected, while any server has a limit.
    pub(crate) fn record_wanted(&mut self, now: Instant, group: ServerGroup) {
        if self.limited_count > 0 {
            self.groups.entry(group).or_default().wanted.add(now, 1.0);
        }
    }
}
