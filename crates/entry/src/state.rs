//! State shared by the tasks of an entry.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use conf::{
    EntrySettings,
    SystemConfig, //
};
use logs::{
    DecisionKind,
    DecisionRecord,
    LogSink, //
};
use policy::{
    AccountLimiter,
    CostModel,
    DrainGate,
    EngineProfile,
    EngineRouter,
    LatestConfig,
    PlannerLease,
    RetryBucket,
    SharedSecret,
    SuspectLimits,
    SuspectRegistry, //
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::{
    InstanceRecord,
    StoreClient, //
};
use tokio::sync::{
    Notify,
    watch, //
};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use units::{
    ConfigVersion,
    IncarnationId,
    InstanceId,
    ServiceName, //
};
use wire::{
    BackendDescription,
    FrameKind,
    LinkSender,
    LoadStatus,
    PeerIdentity, //
};

use crate::attempt_table::AttemptTable;
use crate::claims::ClaimSender;
use crate::metrics::EntryMetrics;
use crate::request_pins::RequestPins;

/// Duration of the planner lease. Side processes refuse orders with an older timestamp.
pub(crate) const PLANNER_LEASE_DURATION: Duration = Duration::from_secs(6);

/// Time after a failed store request for which claims fail without a store request.
const STORE_BACKOFF: Duration = Duration::from_secs(8);

/// Shared context of the tasks of an entry.
pub(crate) struct EntryShared {
    pub(crate) settings: EntrySettings,
    pub(crate) identity: PeerIdentity,
    pub(crate) secret: SharedSecret,
    pub(crate) store: StoreClient,
    pub(crate) log: LogSink,
    pub(crate) metrics: EntryMetrics,
    pub(crate) claim_sender: ClaimSender,
    pub(crate) stopping: watch::Sender<bool>,
    /// Notified when a newer configuration is applied.
    pub(crate) changed: Notify,
    state: Mutex<EntryState>,
}

/// Task that maintains the link to one side process.
pub(crate) struct LinkTask {
    pub(crate) address: SocketAddr,
    pub(crate) task: AbortHandle,
}

/// Established link to a side process, with the last reports received over it.
pub(crate) struct SideLink {
    pub(crate) sender: LinkSender,
    pub(crate) incarnation: IncarnationId,
    pub(crate) service: Option<ServiceName>,
    pub(crate) load: LoadStatus,
    pub(crate) backend: BackendDescription,
    pub(crate) draining: bool,
}

/// Mutable state of an entry, behind one lock.
pub(crate) struct EntryState {
    pub(crate) router: EngineRouter,
    pub(crate) links: BTreeMap<InstanceId, SideLink>,
    pub(crate) link_tasks: BTreeMap<InstanceId, LinkTask>,
    /// Last list of instances received from the platform.
    pub(crate) instances: BTreeMap<InstanceId, InstanceRecord>,
    pub(crate) attempts: AttemptTable,
    pub(crate) latest_config: LatestConfig,
    /// Parsed document of `latest_config`.
    pub(crate) book: Arc<SystemConfig>,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) request_pins: RequestPins,
    pub(crate) retry_bucket: RetryBucket,
    pub(crate) account_limiter: AccountLimiter,
    pub(crate) planner_lease: PlannerLease,
    pub(crate) drain_gate: DrainGate,
    /// Time of the last failed store request, unless a later one succeeded.
    pub(crate) store_failed_at: Option<Instant>,
    pub(crate) cost_model: CostModel,
    pub(crate) piece_tokens: u32,
    pub(crate) rng: StdRng,
}

impl EntryShared {
    pub(crate) fn new(
        settings: EntrySettings,
        identity: PeerIdentity,
        log: LogSink,
        claim_sender: ClaimSender,
    ) -> Self {
        let profile = EngineProfile::default();
        let state = EntryState {
            router: EngineRouter::new(settings.data_centre.clone()),
            links: BTreeMap::new(),
            link_tasks: BTreeMap::new(),
            instances: BTreeMap::new(),
            attempts: AttemptTable::default(),
            latest_config: LatestConfig::default(),
            book: Arc::default(),
            suspects: SuspectRegistry::new(SuspectLimits::ISOLATING),
            request_pins: RequestPins::default(),
            retry_bucket: RetryBucket::new(),
            account_limiter: AccountLimiter::default(),
            planner_lease: PlannerLease::new(PLANNER_LEASE_DURATION),
            drain_gate: DrainGate::default(),
            store_failed_at: None,
            cost_model: CostModel::from_profile(&profile),
            piece_tokens: profile.piece_tokens,
            rng: StdRng::seed_from_u64(identity.incarnation.0),
        };
        let (stopping, _) = watch::channel(false);
        Self {
            secret: SharedSecret::new(settings.secret.as_bytes()),
            store: StoreClient::new(settings.store),
            settings,
            identity,
            log,
            metrics: EntryMetrics::new(),
            claim_sender,
            stopping,
            changed: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Locks the mutable state. The lock must not be held across an await point.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records whether a store request succeeded.
    pub(crate) fn record_store_result(&self, answered: bool) {
        if !answered {
            self.metrics.store_errors.inc();
        }
        self.lock().store_failed_at = (!answered).then(Instant::now);
    }

    /// Returns whether the store failed so recently that callers get an error without another
    /// request to the store.
    pub(crate) fn is_store_down(&self) -> bool {
        let failed_at = self.lock().store_failed_at;
        failed_at.is_some_and(|at| at.elapsed() < STORE_BACKOFF)
    }

    /// Applies a configuration if it is newer, and announces its version to all side processes.
    pub(crate) fn apply_config(&self, version: ConfigVersion, document: bytes::Bytes) {
        let Ok(book) = SystemConfig::from_json(&document) else {
            let reason = "rejected a configuration that cannot be parsed";
            self.log
                .write(DecisionRecord::new(DecisionKind::Config, reason));
            return;
        };
        if book.version != version {
            return;
        }
        let mut state = self.lock();
        if !state.latest_config.update(version, document) {
            return;
        }
        state.book = Arc::new(book);
        let senders: Vec<LinkSender> = state
            .links
            .values()
            .map(|link| link.sender.clone())
            .collect();
        drop(state);
        self.metrics.config_version.set(version.0 as i64);
        let record = DecisionRecord::new(
            DecisionKind::Config,
            "applied a newer configuration version",
        );
        self.log.write(record.chosen(version));
        let heartbeat = self.heartbeat();
        for sender in senders {
            // The link's own task removes a closed link.
            let _ = sender.send(heartbeat.clone());
        }
        self.changed.notify_waiters();
    }

    /// Returns a heartbeat with the current configuration version.
    pub(crate) fn heartbeat(&self) -> FrameKind {
        let config_version = self.lock().latest_config.version().0;
        FrameKind::Heartbeat(wire::Heartbeat {
            config_version,
            load: None,
            backend: None,
        })
    }
}

impl EntryState {
    /// Returns the instances that the platform lists as leaving.
    pub(crate) fn draining_instances(&self) -> BTreeSet<InstanceId> {
        let draining = |record: &&InstanceRecord| record.state == store::InstanceState::Leaving;
        let instances = self.instances.values().filter(draining);
        instances.map(|record| record.instance.clone()).collect()
    }
}
