//! Policies to compare.

use crate::MeasureError;

/// Strategy that selects an engine for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoutingStrategy {
    /// Round-robin over the engines.
    RoundRobin,
    /// Engine with the fewest in-flight jobs.
    LeastOutstanding,
    /// Engine that `EngineRouter` selects by load reports and expected wait.
    ExpectedWait,
}

/// Strategy that assigns roles to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoleStrategy {
    /// All engines prefill and decode.
    AllMixed,
    /// Prefill engines in proportion to the mean mix of work, and decode engines, without changes.
    Static,
    /// Role changes that `RolePlanner` expects to be worth their cost.
    Planned,
    /// Role changes that follow the current mix of work regardless of their cost.
    FollowDemand,
}

/// Policy to simulate.
#[derive(Debug, Clone)]
pub struct PolicySpec {
    /// Name on the command line and in the output.
    pub name: &'static str,
    /// Strategy that selects engines.
    pub(crate) routing: RoutingStrategy,
    /// Strategy that assigns roles.
    pub(crate) roles: RoleStrategy,
    /// Whether a side process on each engine schedules jobs by rank, pauses and refuses them.
    pub(crate) rank_scheduling: bool,
}

impl PolicySpec {
    /// Returns all policies except the oracle, `galenarail` last.
    pub fn all() -> Vec<Self> {
        let policy = |name, routing, roles, rank_scheduling| Self {
            name,
            routing,
            roles,
            rank_scheduling,
        };
        vec![
            policy(
                "round-robin",
                RoutingStrategy::RoundRobin,
                RoleStrategy::AllMixed,
                false,
            ),
            policy(
                "least-outstanding",
                RoutingStrategy::LeastOutstanding,
                RoleStrategy::AllMixed,
                false,
            ),
            policy(
                "static-roles",
                RoutingStrategy::LeastOutstanding,
                RoleStrategy::Static,
                false,
            ),
            policy(
                "follow-demand",
                RoutingStrategy::ExpectedWait,
                RoleStrategy::FollowDemand,
                true,
            ),
            policy(
                "mixed-only",
                RoutingStrategy::ExpectedWait,
                RoleStrategy::AllMixed,
                true,
            ),
            policy(
                "galenarail",
                RoutingStrategy::ExpectedWait,
                RoleStrategy::Planned,
                true,
            ),
        ]
    }

    /// Returns the policy with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let found = Self::all().into_iter().find(|policy| policy.name == name);
        let name = name.to_owned();
        found.ok_or(MeasureError::UnknownName {
            kind: "policy",
            name,
        })
    }

    /// Returns the policy under which capacity is measured: mixed engines without side processes,
    /// so that no scheduler limits the load.
    pub(crate) fn saturating() -> Self {
        Self {
            name: "saturating",
            routing: RoutingStrategy::LeastOutstanding,
            roles: RoleStrategy::AllMixed,
            rank_scheduling: false,
        }
    }
}
