//! What the tasks of a side process share.

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

/// Taken off the lease for clocks that run at unequal rates.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

pub(crate) struct SideShared {
    pub(crate) settings: SideSettings,
    pub(crate) identity: PeerIdentity,
    pub(crate) secret: SharedSecret,
    pub(crate) clock: SideClock,
    pub(crate) engine: EngineClient,
    pub(crate) log: LogSink,
    pub(crate) metrics: SideMetrics,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) work_changed: Notify,
    state: Mutex<SideState>,
}

pub(crate) struct SideState {
    pub(crate) scheduler: SideScheduler,
    pub(crate) jobs: BTreeMap<JobKey, SideJob>,
    pub(crate) next_job: u64,
    pub(crate) links: BTreeMap<u64, EntryLink>,
    pub(crate) next_link: u64,
    pub(crate) drain_gate: DrainGate,
    /// Whether the operators' configuration drains this instance.
    pub(crate) drained_by_config: bool,
    pub(crate) validator: OrderValidator,
    pub(crate) ticket_registry: TicketRegistry,
    pub(crate) call_waiters: BTreeMap<u64, Vec<CallWaiter>>,
    pub(crate) latest_config: LatestConfig,
    pub(crate) suspects: SuspectRegistry,
    pub(crate) crash_count: u64,
    pub(crate) last_crash: Option<Instant>,
    pub(crate) engine_up: bool,
    pub(crate) profile: EngineProfile,
}

/// A link to an entry.
pub(crate) struct EntryLink {
    pub(crate) sender: LinkSender,
    /// Description that was sent last.
    pub(crate) sent_description: Option<BackendDescription>,
}

/// Somebody who waits for the outcome of a running call.
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
            suspects: SuspectRegistry::default(),
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

    /// Sends a frame to every entry.
    pub(crate) fn broadcast(&self, kind: &FrameKind) {
        let senders: Vec<LinkSender> = self
            .lock()
            .links
            .values()
            .map(|link| link.sender.clone())
            .collect();
        for sender in senders {
            // A link that is gone is removed by its own task.
            let _ = sender.send(kind.clone());
        }
    }
}

impl SideState {
    /// Whether new work is refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_gate.is_closed() || self.drained_by_config
    }

    /// Whether nothing runs, so that the process may stop.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.drain_gate.in_flight() == 0
    }

    /// Recomputes whether the scheduler takes jobs.
    pub(crate) fn update_accepting(&mut self) {
        let accepting = !self.is_draining() && !self.validator.is_busy() && self.engine_up;
        self.scheduler.set_accepting(accepting);
    }
}
