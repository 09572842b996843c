//! Routes of the configuration, matched by host and longest path prefix.

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

use crate::{
    AccountTable,
    CallerAccount,
    CallerKey, //
};

/// How a route answers, and whether its requests may be retried after an unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// May run more than once, so a retry is safe.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once and answers with an event stream.
    Stream,
    /// Answers with an event stream that a retry resumes after the last event received.
    ResumableStream,
}

impl CallKind {
    /// Returns whether a request whose outcome is unknown may be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the name used in logs and metrics.
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

/// A service of a route and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Handling of the requests under one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: RouteName,
    /// Prefix of the paths that match; begins and ends with a slash.
    pub path_prefix: String,
    /// Form of the answer and rule for retries.
    pub kind: CallKind,
    /// Maximum time until the end of the answer.
    pub timeout: Duration,
    /// Target for the time until the answer or, for a stream, its first event. Answers within the
    /// target count with their full worth.
    pub target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub gap_target: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need no key of an account.
    pub is_public: bool,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Services that serve the route; never empty.
    pub shares: Vec<ServiceShare>,
}

impl RouteRule {
    /// Selects the service for a request by a hash of the request id, in proportion to the weights.
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

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Path of the health check on each backend server.
    pub health_path: String,
    /// Maximum number of connections to one backend server from all processes together.
    pub max_connections: u32,
    /// Engine capacity, for services whose backend servers are engines.
    pub engine: Option<EngineSpec>,
}

/// Capacity of each engine of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that the KV cache memory holds.
    pub kv_capacity_tokens: u64,
    /// Time for which an engine is unavailable when its stage changes.
    pub stage_change_time: Duration,
}

/// Limits on the size of requests and on the time that callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until the request line and headers have arrived.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// All routes and services of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Accounts of callers, or `None` if callers need no key.
    pub accounts: Option<AccountTable>,
    rules_by_host: BTreeMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// Creates a table from rules, each with its host.
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
            accounts: None,
            rules_by_host,
        }
    }

    /// Adds the accounts of callers.
    pub fn with_accounts(self, accounts: Option<AccountTable>) -> Self {
        Self { accounts, ..self }
    }

    /// Returns the caller who presents a key to a route. Returns `None` if the request is to be
    /// rejected.
    pub fn identify_caller(&self, rule: &RouteRule, key: &CallerKey) -> Option<CallerAccount> {
        match &self.accounts {
            Some(accounts) => accounts.identify(key, rule.is_public),
            None => Some(CallerAccount::Unmanaged),
        }
    }

    /// Returns the rule with the longest prefix of a path, for a `Host` header with or without a
    /// port.
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

    /// Returns the longest timeout of any route.
    pub fn longest_timeout(&self) -> Duration {
        let rules = self.rules_by_host.values().flatten();
        rules.map(|rule| rule.timeout).max().unwrap_or_default()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.rules_by_host.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.rules_by_host.is_empty()
    }
}
