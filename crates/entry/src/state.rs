//! What the tasks of an entry share.

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

/// Lease of a planner; sides refuse orders whose stamps are older.
pub(crate) const PLANNER_LEASE_DURATION: Duration = Duration::from_secs(6);

/// Time after a failure during which the store counts as down.
const STORE_BACKOFF: Duration = Duration::from_secs(8);

pub(crate) struct EntryShared {
    pub(crate) settings: EntrySettings,
    pub(crate) identity: PeerIdentity,
    pub(crate) secret: SharedSecret,
    pub(crate) store: StoreClient,
    pub(crate) log: LogSink,
    pub(crate) metrics: EntryMetrics,
    pub(crate) claim_sender: ClaimSender,
    pub(crate) stopping: watch::Sender<bool>,
    /// Told when a link comes up or the configuration changes.
    pub(crate) changed: Notify,
    state: Mutex<EntryState>,
}

/// The task that keeps the link to an address.
pub(crate) struct LinkTask {
    pub(crate) address: SocketAddr,
    pub(crate) task: AbortHandle,
}

/// A link that is up.
pub(crate) struct SideLink {
    pub(crate) sender: LinkSender,
    pub(crate) incarnation: IncarnationId,
    pub(crate) service: Option<ServiceName>,
    pub(crate) load: LoadStatus,
    pub(crate) backend: BackendDescription,
    pub(crate) draining: bool,
}

pub(crate) struct EntryState {
    pub(crate) router: EngineRouter,
    pub(crate) links: BTreeMap<InstanceId, SideLink>,
    pub(crate) link_tasks: BTreeMap<InstanceId, LinkTask>,
    pub(crate) instances: BTreeMap<InstanceId, InstanceRecord>,
    pub(crate) attempts: AttemptTable,
    pub(crate) latest_config: LatestConfig,
    pub(crate) book: Arc<SystemConfig>,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) request_pins: RequestPins,
    pub(crate) retry_bucket: RetryBucket,
    pub(crate) account_limiter: AccountLimiter,
    pub(crate) planner_lease: PlannerLease,
    pub(crate) drain_gate: DrainGate,
    /// When a call of the store failed, unless one has succeeded since.
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
            suspects: SuspectRegistry::default(),
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

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Notes whether a call of the store gave an answer.
    pub(crate) fn record_store_result(&self, answered: bool) {
        if !answered {
            self.metrics.store_errors.inc();
        }
        self.lock().store_failed_at = (!answered).then(Instant::now);
    }

    /// Whether the store failed so lately that a caller need not wait to hear it again.
    pub(crate) fn is_store_down(&self) -> bool {
        let failed_at = self.lock().store_failed_at;
        failed_at.is_some_and(|at| at.elapsed() < STORE_BACKOFF)
    }

    /// Takes a configuration if it is a later one, and lets every side know.
    pub(crate) fn apply_config(&self, version: ConfigVersion, document: bytes::Bytes) {
        let Ok(book) = SystemConfig::from_json(&document) else {
            let reason = "a configuration that cannot be read was not taken over";
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
        let record = DecisionRecord::new(DecisionKind::Config, "a higher version is in force");
        self.log.write(record.chosen(version));
        let heartbeat = self.heartbeat();
        for sender in senders {
            // A link that is gone is removed by its own task.
            let _ = sender.send(heartbeat.clone());
        }
        self.changed.notify_waiters();
    }

    /// The heartbeat to send now.
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
    /// Instances in the platform's list that are about to go.
    pub(crate) fn draining_instances(&self) -> BTreeSet<InstanceId> {
        let draining = |record: &&InstanceRecord| record.state == store::InstanceState::Leaving;
        let instances = self.instances.values().filter(draining);
        instances.map(|record| record.instance.clone()).collect()
    }
}
