//! State shared by the tasks of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    OnceLock, //
};
use std::time::Duration;

use conf::GatewaySettings;
use logs::LogSink;
use platform::KeyStore;
use policy::{
    AccountCounts,
    AnswerTimes,
    BackendFleet,
    DecodeSpeed,
    DrainWindow,
    EngineCapacity,
    OfferedRate,
    OrderLease,
    PeerLoads,
    PrefillSpeed,
    RetryBudget,
    RetryLimits,
    RouteTable,
    ServerFilter,
    StoreHealth,
    SuspectLimits,
    SuspectRegistry, //
};
use tokio::net::UdpSocket;
use tokio::sync::{
    Notify,
    watch, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName,
    StoreEra, //
};
use web::{
    BodyBudget,
    ConnectionLimits,
    ConnectionPool, //
};

use crate::accounts::config_sharing::ConfigSharing;
use crate::drain::start_window;
use crate::metrics::GatewayMetrics;
use crate::servers::sent_requests::SentRequests;
use crate::store::membership::HeldLeases;
use crate::store::planner_lease::{
    PLANNER_LEASE_TTL,
    PlannerKey, //
};
use crate::store::store_era::EraState;
use crate::store::unreadable_entries::UnreadableEntries;
use crate::suspects::answer_watch::AnsweringSegments;
use crate::suspects::suspect_news::SuspectNews;
use crate::tokens::token_state::TokenState;
use crate::usage::usage_state::UsageState;
use crate::versions::origin_state::OriginState;

/// Timeout of one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Limits on callers' connections until the configuration is known, equal to those of the platform's
/// example configuration.
const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// Request rates and engine speeds of one service, as observed by this gateway.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceSpeeds {
    /// Prefill speed of a prefill engine.
    pub(crate) prefill: PrefillSpeed,
    /// Rate of prompt tokens that need prefill.
    pub(crate) prompt_token_rate: OfferedRate,
    /// Rate of output tokens that callers' requests are expected to generate.
    pub(crate) output_token_rate: OfferedRate,
    /// Decode speed of a decode engine.
    pub(crate) decode: DecodeSpeed,
}

/// Mutable state of a gateway.
#[derive(Debug)]
pub(crate) struct GatewayState {
    /// Configuration in effect, or `None` until the first one is read.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// Backend servers of all services.
    pub(crate) fleet: BackendFleet,
    /// Requests under way at the processes of backend servers.
    pub(crate) sent_requests: SentRequests,
    /// Retry budget of each service that has received requests.
    pub(crate) retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    /// Rates and speeds of each service that has received generation requests.
    pub(crate) speeds: BTreeMap<ServiceName, ServiceSpeeds>,
    /// Addresses of all gateways for load reports, including this one. All gateways share the retry
    /// limits.
    pub(crate) members: BTreeMap<InstanceId, SocketAddr>,
    /// Gateway that holds the planner lease, according to the watch on the store.
    pub(crate) planner_holder: Option<InstanceId>,
    /// Key of the planner lease, according to the watch on the store.
    pub(crate) planner_key: PlannerKey,
    /// Leases that this gateway holds in the store.
    pub(crate) leases: HeldLeases,
    /// Latest load reports of the other gateways.
    pub(crate) peer_loads: PeerLoads,
    /// Requests that were running on backend servers that crashed.
    pub(crate) suspects: SuspectRegistry,
    /// Segments of prompts that backend servers are answering.
    pub(crate) answering_segments: AnsweringSegments,
    /// Evidence on suspects that has yet to reach the peers and the store.
    pub(crate) suspect_news: SuspectNews,
    /// Demand for tokens of limited backend servers.
    pub(crate) token_state: TokenState,
    /// Planner lease as known to this gateway, which allows orders while the gateway holds it.
    pub(crate) order_lease: OrderLease,
    /// Limits that the platform sets on retries.
    pub(crate) retry_limits: RetryLimits,
    /// Grace period between SIGTERM and SIGKILL.
    pub(crate) grace: Duration,
    /// Times of the latest answers.
    pub(crate) answer_times: AnswerTimes,
    /// Availability of the store.
    pub(crate) store_health: StoreHealth,
    /// Era of the store that this state belongs to.
    pub(crate) era: EraState,
    /// Keys in the store that cannot be read.
    pub(crate) unreadable_entries: UnreadableEntries,
    /// Position of the configuration in force, and what the peers have.
    pub(crate) config_sharing: ConfigSharing,
}

fn retry_limits(settings: &GatewaySettings) -> RetryLimits {
    RetryLimits {
        ratio: settings.retry_ratio,
        window: settings.retry_window(),
        allowance: settings.retry_allowance,
    }
}

/// Settings, clients and state shared by the tasks of a gateway.
pub(crate) struct GatewayShared {
    pub(crate) settings: GatewaySettings,
    /// Start of the process.
    started_at: Instant,
    pub(crate) log: LogSink,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) store: KeyStore,
    /// Whether the configuration and the backend servers have been read.
    pub(crate) loaded: watch::Sender<bool>,
    /// Limits on callers' connections from the configuration.
    pub(crate) connection_limits: watch::Sender<ConnectionLimits>,
    /// Wakes the task that reports to the peers when evidence on suspects or a limit is news to them.
    pub(crate) peer_news: Notify,
    /// Wakes the task that exchanges tokens when a limit or demand is new.
    pub(crate) token_demand: Notify,
    /// Wakes the requests that wait for a token.
    pub(crate) token_news: Notify,
    /// Wakes the requests that wait for the outcome of presumed crashes.
    pub(crate) crash_outcomes: Notify,
    /// Wakes the task that writes evidence on suspects to the store.
    pub(crate) suspect_writes: Notify,
    /// Whether peers may get the configuration, as soon as one has held accounts.
    pub(crate) shares_configs: watch::Sender<bool>,
    /// Wakes the task that asks peers for configurations when a peer has a later one.
    pub(crate) config_claims: Notify,
    /// Software versions that began streams.
    pub(crate) origins: OriginState,
    /// Socket for datagrams to the other gateways, once it is bound.
    pub(crate) exchange_socket: OnceLock<Arc<UdpSocket>>,
    /// Era of the store, sent when it rises.
    pub(crate) eras: watch::Sender<Option<StoreEra>>,
    /// Usage of accounts, where the settings call for reports of it.
    pub(crate) usage: Option<UsageState>,
    /// Memory for the bodies of requests and answers.
    pub(crate) bodies: BodyBudget,
    /// Window of the graceful shutdown, or `None` while the gateway is not draining.
    pub(crate) drain: watch::Sender<Option<DrainWindow>>,
    /// Whether the grace period is over, so that the answers under way are cut.
    is_cutting: AtomicBool,
    state: Mutex<GatewayState>,
    /// Requests by account.
    account_counts: Mutex<AccountCounts>,
    /// Idle connections to backend servers.
    pool: Mutex<ConnectionPool>,
}

impl GatewayShared {
    pub(crate) fn new(settings: GatewaySettings, log: LogSink) -> Self {
        let settle_time = settings.order_settle_time();
        let usage = UsageState::new(&settings, &log);
        Self {
            store: KeyStore::new(settings.store, STORE_TIMEOUT),
            started_at: Instant::now(),
            log,
            metrics: GatewayMetrics::new(),
            loaded: watch::Sender::new(false),
            connection_limits: watch::Sender::new(DEFAULT_CONNECTION_LIMITS),
            state: Mutex::new(GatewayState {
                table: None,
                fleet: BackendFleet::default(),
                sent_requests: SentRequests::default(),
                retry_budgets: BTreeMap::new(),
                speeds: BTreeMap::new(),
                members: BTreeMap::new(),
                planner_holder: None,
                planner_key: PlannerKey::Unknown,
                leases: HeldLeases::default(),
                peer_loads: PeerLoads::default(),
                suspects: SuspectRegistry::new(SuspectLimits::SHARING),
                answering_segments: AnsweringSegments::default(),
                suspect_news: SuspectNews::default(),
                token_state: TokenState::default(),
                retry_limits: retry_limits(&settings),
                grace: settings.grace_period(),
                answer_times: AnswerTimes::default(),
                order_lease: OrderLease::new(PLANNER_LEASE_TTL, settle_time),
                store_health: StoreHealth::default(),
                era: EraState::default(),
                unreadable_entries: UnreadableEntries::default(),
                config_sharing: ConfigSharing::default(),
            }),
            peer_news: Notify::new(),
            token_demand: Notify::new(),
            token_news: Notify::new(),
            crash_outcomes: Notify::new(),
            suspect_writes: Notify::new(),
            shares_configs: watch::Sender::new(false),
            config_claims: Notify::new(),
            origins: OriginState::default(),
            exchange_socket: OnceLock::new(),
            eras: watch::Sender::new(None),
            usage,
            bodies: BodyBudget::new(settings.body_bytes()),
            drain: watch::Sender::new(None),
            is_cutting: AtomicBool::new(false),
            account_counts: Mutex::default(),
            pool: Mutex::new(ConnectionPool::default()),
            settings,
        }
    }

    /// Locks the mutable state, even if a panic has poisoned the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the connections to backend servers, even if a panic has poisoned the lock.
    pub(crate) fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        self.pool.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the requests by account, even if a panic has poisoned the lock.
    pub(crate) fn account_counts(&self) -> MutexGuard<'_, AccountCounts> {
        self.account_counts
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Starts the graceful shutdown. Returns its grace period.
    pub(crate) fn start_drain(&self) -> Duration {
        let grace = self.lock().grace;
        let window = start_window(grace);
        self.drain.send_replace(Some(window));
        grace
    }

    /// Returns whether the graceful shutdown has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Records that the answers under way are cut from now on.
    pub(crate) fn start_cutting(&self) {
        self.is_cutting.store(true, Ordering::Relaxed);
    }

    /// Returns whether an answer that ends now is cut by this gateway rather than by its caller.
    pub(crate) fn is_cutting(&self) -> bool {
        self.is_cutting.load(Ordering::Relaxed)
    }

    /// Records a liveness signal of a backend server.
    pub(crate) fn record_liveness(&self, instance: &InstanceId) {
        if let Some(view) = self.lock().fleet.get_mut(instance) {
            view.record_liveness(Instant::now());
        }
    }

    /// Returns whether a backend server has in-flight requests and has exceeded its liveness timeout.
    pub(crate) fn is_unresponsive(&self, instance: &InstanceId) -> bool {
        let state = self.lock();
        let view = state.fleet.get(instance);
        view.is_some_and(|view| view.is_unresponsive(Instant::now()))
    }

    /// Returns whether a backend server has shown a liveness signal since a point in time.
    pub(crate) fn has_shown_liveness(&self, instance: &InstanceId, since: Instant) -> bool {
        let state = self.lock();
        let view = state.fleet.get(instance);
        let silent_time = view.and_then(|view| view.silent_time(Instant::now()));
        silent_time.is_some_and(|time| time <= since.elapsed())
    }

    /// Applies the settings that may change while the gateway runs.
    pub(crate) fn apply_settings(&self, settings: &GatewaySettings) {
        let mut state = self.lock();
        state.grace = settings.grace_period();
        state.retry_limits = retry_limits(settings);
        let retry_limits = state.retry_limits;
        let retry_budgets = state.retry_budgets.values_mut();
        retry_budgets.for_each(|budget| budget.set_limits(retry_limits));
    }

    /// Counts a request of a service, which earns the service a share of a retry.
    pub(crate) fn credit_retry_budget(&self, service: &ServiceName) {
        let now = Instant::now();
        let mut state = self.lock();
        let retry_limits = state.retry_limits;
        let create_budget = || RetryBudget::new(self.started_at, retry_limits);
        let budget = state
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(create_budget);
        budget.record_request(now);
    }

    /// Counts a retry and returns true, or returns false if the service's retry budget is exhausted.
    pub(crate) fn try_spend_retry(&self, service: &ServiceName) -> bool {
        self.spend_retry(service, RetryBudget::try_spend)
    }

    /// Counts a retry in the same way, but lets one more than the budget allows.
    pub(crate) fn try_overdraw_retry(&self, service: &ServiceName) -> bool {
        self.spend_retry(service, RetryBudget::try_overdraw)
    }

    fn spend_retry(
        &self,
        service: &ServiceName,
        spend: fn(&mut RetryBudget, Instant, usize) -> bool,
    ) -> bool {
        let mut state = self.lock();
        let gateways = state.members.len();
        let budget = state.retry_budgets.get_mut(service);
        let has_spent = budget.is_some_and(|budget| spend(budget, Instant::now(), gateways));
        if has_spent {
            self.metrics.retries.inc();
        }
        has_spent
    }
}

impl GatewayState {
    /// Returns the number of backend servers that fit and accept no request for lack of a token.
    pub(crate) fn count_without_token(&self, filter: ServerFilter<'_>) -> usize {
        if self.token_state.limited_count == 0 {
            return 0;
        }
        let without_token = self.fleet.without_token(Instant::now(), filter);
        without_token.count()
    }

    /// Returns the observed speeds of a service's engines and their configured KV cache memory.
    pub(crate) fn engine_capacity(&self, service: &ServiceName) -> EngineCapacity {
        let speeds = self.speeds.get(service).copied().unwrap_or_default();
        let table = self.table.as_ref();
        let spec = table.and_then(|table| table.services.get(service));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        EngineCapacity {
            prefill_tokens_per_ms: speeds.prefill.tokens_per_ms(),
            // Inline prefill cannot be measured apart from decode; the initial estimate stays.
            inline_tokens_per_ms: PrefillSpeed::default().tokens_per_ms(),
            kv_cache_tokens: engine.map_or(0, |engine| engine.kv_capacity_tokens),
        }
    }
}
