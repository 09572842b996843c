//! What the tasks of one gateway share.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use conf::GatewaySettings;
use logs::LogSink;
use platform::KeyStore;
use policy::{
    BackendFleet,
    CallKind,
    CrashId,
    DecodeSpeed,
    EngineCapacity,
    OfferedRate,
    OrderLease,
    PeerLoads,
    PrefillSpeed,
    RetryBudget,
    RetryLimits,
    RouteTable,
    SuspectRegistry,
    accepts_while_draining, //
};
use tokio::sync::watch;
use tokio::time::Instant;
use units::{
    FingerprintId,
    InstanceId,
    ServiceName, //
};
use web::{
    ConnectionLimits, //
    ConnectionPool,
};

use crate::members::PLANNER_LIFETIME;
use crate::metrics::GatewayMetrics;

/// Time for one call of the store.
const STORE_CALL_TIME: Duration = Duration::from_millis(1_200);

/// Crashes after which a request is kept out. Others that wait at the same engine break with it, so
/// that one or two say little.
const CRASH_LIMIT: usize = 3;

/// Bounds on callers' connections before a configuration names them: those of the platform's
/// example.
const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// What a gateway knows of the engines of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedSight {
    pub(crate) prefill: PrefillSpeed,
    /// Prompt tokens that callers ask to have read.
    pub(crate) offered: OfferedRate,
    /// Tokens that callers expect to be generated.
    pub(crate) expected: OfferedRate,
    /// Speed of generation.
    pub(crate) steps: DecodeSpeed,
}

/// State that changes.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) fleet: BackendFleet,
    pub(crate) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) speeds: BTreeMap<ServiceName, SpeedSight>,
    /// Gateways with their addresses for messages, this one included; they share the budgets of
    /// further sends.
    pub(crate) members: BTreeMap<InstanceId, SocketAddr>,
    /// Whether no gateway holds the planner's lease, as far as the watch has shown.
    pub(crate) planner_is_free: bool,
    /// Load of the other gateways.
    pub(crate) peers: PeerLoads,
    /// Requests that ran where backend servers crashed.
    pub(crate) suspects: SuspectRegistry,
    /// Latest crashes that this gateway has seen itself.
    pub(crate) own_crashes: VecDeque<(FingerprintId, CrashId)>,
    /// This gateway's turn to give orders.
    pub(crate) order_lease: OrderLease,
    /// What the platform allows in further sends.
    pub(crate) retry_limits: RetryLimits,
    /// Time between SIGTERM and SIGKILL.
    pub(crate) grace: Duration,
    /// When the gateway began to leave.
    pub(crate) left_at: Option<Instant>,
    /// Whether the last call of the store failed.
    pub(crate) store_is_lost: bool,
    /// End of the latest disturbance of the store that this gateway has seen.
    pub(crate) store_disturbed: Option<Instant>,
}

fn retry_limits(settings: &GatewaySettings) -> RetryLimits {
    RetryLimits {
        ratio: settings.retry_ratio,
        window: settings.retry_window(),
        allowance: settings.retry_allowance,
    }
}

/// What the tasks of one gateway share.
pub(crate) struct GatewayShared {
    pub(crate) settings: GatewaySettings,
    pub(crate) log: LogSink,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) store: KeyStore,
    /// Bounds on callers' connections, from the configuration.
    pub(crate) connection_limits: watch::Sender<ConnectionLimits>,
    state: Mutex<GatewayState>,
    pool: Mutex<ConnectionPool>,
}

impl GatewayShared {
    pub(crate) fn new(settings: GatewaySettings, log: LogSink) -> Self {
        let settle_time = settings.order_settle_time();
        Self {
            store: KeyStore::new(settings.store, STORE_CALL_TIME),
            log,
            metrics: GatewayMetrics::new(),
            connection_limits: watch::Sender::new(DEFAULT_CONNECTION_LIMITS),
            state: Mutex::new(GatewayState {
                table: None,
                fleet: BackendFleet::default(),
                budgets: BTreeMap::new(),
                speeds: BTreeMap::new(),
                members: BTreeMap::new(),
                planner_is_free: false,
                peers: PeerLoads::default(),
                suspects: SuspectRegistry::with_crash_limit(CRASH_LIMIT),
                own_crashes: VecDeque::new(),
                retry_limits: retry_limits(&settings),
                grace: settings.grace_period(),
                left_at: None,
                order_lease: OrderLease::new(PLANNER_LIFETIME, settle_time),
                store_is_lost: false,
                store_disturbed: None,
            }),
            pool: Mutex::new(ConnectionPool::default()),
            settings,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(crate) fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        self.pool.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether a request that arrives now can be answered before the gateway ends.
    pub(crate) fn takes(&self, kind: CallKind, timeout: Duration) -> bool {
        let state = self.lock();
        let (left_at, grace) = (state.left_at, state.grace);
        let Some(left_at) = left_at else { return true };
        accepts_while_draining(left_at.elapsed(), grace, kind, timeout)
    }

    /// Whether the gateway is on its way out.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().left_at.is_some()
    }

    /// Notes a sign of life of a backend server.
    pub(crate) fn note_heard(&self, instance: &InstanceId) {
        if let Some(view) = self.lock().fleet.get_mut(instance) {
            view.record_liveness(Instant::now());
        }
    }

    /// Whether a backend server that has work shows no sign of life.
    pub(crate) fn is_silent(&self, instance: &InstanceId) -> bool {
        let state = self.lock();
        let view = state.fleet.get(instance);
        view.is_some_and(|view| view.is_unresponsive(Instant::now()))
    }

    /// Takes the settings that may change while the gateway runs.
    pub(crate) fn tune(&self, settings: &GatewaySettings) {
        let mut state = self.lock();
        state.grace = settings.grace_period();
        state.retry_limits = retry_limits(settings);
        let limits = state.retry_limits;
        let budgets = state.budgets.values_mut();
        budgets.for_each(|budget| budget.set_limits(limits));
    }

    /// Counts a request for a service.
    pub(crate) fn earn_repeat(&self, service: &ServiceName) {
        let now = Instant::now();
        let mut state = self.lock();
        let limits = state.retry_limits;
        let fresh = || RetryBudget::new(now, limits);
        let budget = state.budgets.entry(service.clone()).or_insert_with(fresh);
        budget.record_request(now);
    }

    /// Takes a further send to a service from the budget.
    pub(crate) fn spend_repeat(&self, service: &ServiceName) -> bool {
        let mut state = self.lock();
        let gateways = state.members.len();
        let budget = state.budgets.get_mut(service);
        let spent = budget.is_some_and(|budget| budget.try_spend(Instant::now(), gateways));
        if spent {
            self.metrics.repeats.inc();
        }
        spent
    }
}

impl GatewayState {
    /// Speeds of a service's engines, with their memory from the configuration.
    pub(crate) fn engine_capacity(&self, service: &ServiceName) -> EngineCapacity {
        let sight = self.speeds.get(service).copied().unwrap_or_default();
        let table = self.table.as_ref();
        let spec = table.and_then(|table| table.services.get(service));
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        EngineCapacity {
            prefill_tokens_per_ms: sight.prefill.tokens_per_ms(),
            // Mixed with generation, it is not measured.
            inline_tokens_per_ms: PrefillSpeed::default().tokens_per_ms(),
            kv_cache_tokens: engine.map_or(0, |engine| engine.kv_capacity_tokens),
        }
    }
}
