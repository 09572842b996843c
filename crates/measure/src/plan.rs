//! The policies that are compared.

use crate::MeasureError;

/// How requests are given to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouteKind {
    RoundRobin,
    LeastOutstanding,
    Predicted,
}

/// How engines get their roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoleKind {
    AllMixed,
    /// Prefill engines for the middle of the mix, the rest for decode.
    Split,
    Planned,
    /// Follows the mix at once.
    Follow,
}

/// One policy.
#[derive(Debug, Clone)]
pub struct PolicyPlan {
    /// Name.
    pub name: &'static str,
    pub(crate) route: RouteKind,
    pub(crate) roles: RoleKind,
    /// Whether side processes queue by rank and refuse.
    pub(crate) ranks: bool,
}

impl PolicyPlan {
    /// All policies but the oracle, ours last.
    pub fn all() -> Vec<Self> {
        let plan = |name, route, roles, ranks| Self {
            name,
            route,
            roles,
            ranks,
        };
        vec![
            plan(
                "round-robin",
                RouteKind::RoundRobin,
                RoleKind::AllMixed,
                false,
            ),
            plan(
                "least-outstanding",
                RouteKind::LeastOutstanding,
                RoleKind::AllMixed,
                false,
            ),
            plan(
                "static-roles",
                RouteKind::LeastOutstanding,
                RoleKind::Split,
                false,
            ),
            plan(
                "follow-demand",
                RouteKind::Predicted,
                RoleKind::Follow,
                true,
            ),
            plan("mixed-only", RouteKind::Predicted, RoleKind::AllMixed, true),
            plan("galenarail", RouteKind::Predicted, RoleKind::Planned, true),
        ]
    }

    /// The policy with a name.
    pub fn by_name(name: &str) -> Result<Self, MeasureError> {
        let found = Self::all().into_iter().find(|plan| plan.name == name);
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
            route: RouteKind::LeastOutstanding,
            roles: RoleKind::AllMixed,
            ranks: false,
        }
    }
}
