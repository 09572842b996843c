//! State that the tasks of a side process share.

use std::collections::BTreeMap;
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use conf::{
    BackendKind,
    SideSettings, //
};
use logs::LogSink;
use policy::{
    DrainGate,
    EngineProfile,
    EngineRole,
    JobKey,
    LatestConfig,
    OrderValidator,
    RankMap,
    SharedSecret,
    SideScheduler,
    SuspectLimits,
    SuspectRegistry,
    TicketRegistry, //
};
use tokio::sync::{
    Notify,
    watch, //
};
use tokio::time::Instant;
use wire::{
    BackendDescription,
    FrameKind,
    LinkSender,
    PeerIdentity, //
};

use crate::clock::SideClock;
use crate::engine_client::EngineClient;
use crate::job::SideJob;
use crate::metrics::SideMetrics;

/// Divisor of the planner's lease that gives the margin by which orders expire early, because the
/// clocks of planner and side process may run at different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Resources of the side process, with its mutable state behind a mutex.
pub(crate) struct SideShared {
    pub(crate) settings: SideSettings,
    pub(crate) identity: PeerIdentity,
    pub(crate) secret: SharedSecret,
    pub(crate) clock: SideClock,
    pub(crate) engine: EngineClient,
    pub(crate) log: LogSink,
    pub(crate) metrics: SideMetrics,
    /// Set to true when all links must close.
    pub(crate) stop: watch::Sender<bool>,
    /// Notified when a job or call may have ended.
    pub(crate) work_changed: Notify,
    state: Mutex<SideState>,
}

/// Mutable state of the side process.
pub(crate) struct SideState {
    pub(crate) scheduler: SideScheduler,
    pub(crate) jobs: BTreeMap<JobKey, SideJob>,
    pub(crate) next_job: u64,
    /// Links to entries, by link id.
    pub(crate) links: BTreeMap<u64, EntryLink>,
    pub(crate) next_link: u64,
    /// Gate that closes at shutdown and counts the running calls of the plain service.
    pub(crate) drain_gate: DrainGate,
    /// Whether the configuration drains this instance.
    pub(crate) drained_by_config: bool,
    pub(crate) validator: OrderValidator,
    pub(crate) ticket_registry: TicketRegistry,
    /// Further requests that wait for the outcome of a running call, by the nonce of its ticket.
    pub(crate) call_waiters: BTreeMap<u64, Vec<CallWaiter>>,
    pub(crate) latest_config: LatestConfig,
    pub(crate) suspects: SuspectRegistry,
    /// Number of engine crashes since the start, which makes crash ids distinct.
    pub(crate) crash_count: u64,
    pub(crate) last_crash: Option<Instant>,
    /// Whether the engine responds and has no role change in progress.
    pub(crate) engine_up: bool,
    pub(crate) profile: EngineProfile,
}

/// Link to an entry.
pub(crate) struct EntryLink {
    pub(crate) sender: LinkSender,
    /// Backend description that was last sent on the link.
    pub(crate) sent_description: Option<BackendDescription>,
}

/// Request that waits for the outcome of a call which another request started.
pub(crate) struct CallWaiter {
    pub(crate) sender: LinkSender,
    pub(crate) attempt: u64,
}

impl SideShared {
    pub(crate) fn new(settings: SideSettings, identity: PeerIdentity, log: LogSink) -> Self {
        let secret = SharedSecret::new(settings.secret.as_bytes());
        let lease = Duration::from_millis(settings.lease_ms.into());
        let validator =
            OrderValidator::new(identity.incarnation, lease, lease / CLOCK_DRIFT_DIVISOR);
        let ticket_secret = secret.clone();
        let ticket_registry = TicketRegistry::new(
            identity.instance.clone(),
            identity.incarnation,
            ticket_secret,
        );
        let profile = EngineProfile::default();
        let role = EngineRole::Mixed;
        let state = SideState {
            scheduler: SideScheduler::new(profile, role, RankMap::default()),
            jobs: BTreeMap::new(),
            next_job: 0,
            links: BTreeMap::new(),
            next_link: 0,
            drain_gate: DrainGate::default(),
            drained_by_config: false,
            validator,
            ticket_registry,
            call_waiters: BTreeMap::new(),
            latest_config: LatestConfig::default(),
            suspects: SuspectRegistry::new(SuspectLimits::ISOLATING),
            crash_count: 0,
            last_crash: None,
            engine_up: false,
            profile,
        };
        let (stop, _) = watch::channel(false);
        Self {
            engine: EngineClient::new(settings.backend),
            settings,
            identity,
            secret,
            clock: SideClock::new(),
            log,
            metrics: SideMetrics::new(),
            stop,
            work_changed: Notify::new(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SideState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(crate) fn is_engine(&self) -> bool {
        matches!(self.settings.kind, BackendKind::Engine { .. })
    }

    /// Queues a frame to every connected entry.
    pub(crate) fn broadcast(&self, kind: &FrameKind) {
        let senders: Vec<LinkSender> = self
            .lock()
            .links
            .values()
            .map(|link| link.sender.clone())
            .collect();
        for sender in senders {
            // A closed link is removed by its own task.
            let _ = sender.send(kind.clone());
        }
    }
}

impl SideState {
    /// Returns whether new requests are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_gate.is_closed() || self.drained_by_config
    }

    /// Returns whether no job and no call is in flight, so that the process can stop.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.drain_gate.in_flight() == 0
    }

    /// Updates whether the scheduler accepts jobs.
    pub(crate) fn update_accepting(&mut self) {
        let accepting = !self.is_draining() && !self.validator.is_busy() && self.engine_up;
        self.scheduler.set_accepting(accepting);
    }
}
