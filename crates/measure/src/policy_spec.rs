//! The policies that are compared.

use crate::MeasureError;

/// How requests are given to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoutingStrategy {
    RoundRobin,
    LeastOutstanding,
    ExpectedWait,
}

/// How engines get their roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoleStrategy {
    AllMixed,
    /// Prefill engines for the middle of the mix, the rest for decode.
    Static,
    Planned,
    /// Follows the mix at once.
    FollowDemand,
}

/// One policy.
#[derive(Debug, Clone)]
pub struct PolicySpec {
    /// Name.
    pub name: &'static str,
    pub(crate) routing: RoutingStrategy,
    pub(crate) roles: RoleStrategy,
    /// Whether side processes queue by rank and refuse.
    pub(crate) rank_scheduling: bool,
}

impl PolicySpec {
    /// All policies but the oracle, ours last.
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

    /// The policy with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let found = Self::all().into_iter().find(|policy| policy.name == name);
        let name = name.to_owned();
        found.ok_or(MeasureError::UnknownName {
            kind: "policy",
            name,
        })
    }

    /// The policy under which capacity is measured: engines alone, without any limit of ours.
    pub(crate) fn saturating() -> Self {
        Self {
            name: "saturating",
            routing: RoutingStrategy::LeastOutstanding,
            roles: RoleStrategy::AllMixed,
            rank_scheduling: false,
        }
    }
}
