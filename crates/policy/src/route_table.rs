//! Routes that the operators keep in the configuration, matched by host and longest prefix.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash3_64;
use units::{
    ConfigVersion,
    RouteName,
    ServiceName, //
};

/// What may be done with a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Runs once at most, and answers with a series of events.
    Stream,
    /// As a stream, and another run may go on after the last event that arrived.
    ResumableStream,
}

impl CallKind {
    /// Whether a request whose outcome is unknown may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// The kind's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One service of a route and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight beside the route's other services.
    pub weight: u32,
}

/// How requests under one host and prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name for operators.
    pub name: RouteName,
    /// Start of the paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting for the end of an answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, earns its full worth.
    pub target: Duration,
    /// Longest pause between events for which a stream is still on time.
    pub gap_target: Option<Duration>,
    /// Rank of the requests, 0 being the most urgent.
    pub rank: u8,
    /// Backend servers on which one request may run at most.
    pub max_attempts: u32,
    /// Services that serve the route, never empty.
    pub shares: Vec<ServiceShare>,
}

impl RouteRule {
    /// The service for a request, spread over the shares by a hash of the request's id.
    pub fn choose_service(&self, request: &[u8]) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut position = XxHash3_64::oneshot(request) % total.max(1);
        for share in &self.shares {
            if position < u64::from(share.weight) {
                return &share.service;
            }
            position -= u64::from(share.weight);
        }
        &self.shares[0].service
    }
}

/// What a configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Path that answers whether a backend server is healthy.
    pub health_path: String,
    /// Connections that one backend server takes from all processes together.
    pub max_connections: u32,
    /// Engine figures, for services that run models.
    pub engine: Option<EngineSpec>,
}

/// Figures of the engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run in one batch.
    pub slots: u32,
    /// Tokens that the KV memory holds.
    pub kv_capacity_tokens: u64,
    /// Time that a change of stage takes an engine away.
    pub stage_change_time: Duration,
}

/// Bounds on what callers may send and for how long they may be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// All routes and services of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    rules_by_host: BTreeMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// A table of rules, each with its host.
    pub fn new(
        version: ConfigVersion,
        limits: CallerLimits,
        services: BTreeMap<ServiceName, ServiceSpec>,
        rules: impl IntoIterator<Item = (String, RouteRule)>,
    ) -> Self {
        let mut rules_by_host: BTreeMap<String, Vec<Arc<RouteRule>>> = BTreeMap::new();
        for (host, rule) in rules {
            let host = host.to_ascii_lowercase();
            rules_by_host.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in rules_by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            rules_by_host,
        }
    }

    /// The rule of the longest prefix that begins the path, for a `Host` header with or without
    /// its port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split(':').next().unwrap_or(host);
        let rules = match self.rules_by_host.get(name) {
            Some(rules) => rules,
            None => self.rules_by_host.get(&name.to_ascii_lowercase())?,
        };
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.rules_by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.rules_by_host.is_empty()
    }
}
