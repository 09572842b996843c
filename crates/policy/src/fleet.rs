//! The backend servers that an entry knows, what it has sent them and how they answered.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName, //
};

use crate::cache_estimate::CacheEstimate;
use crate::health::BackendHealth;
use crate::{
    AttemptOutcome, //
    BackendRecord,
    EngineStage,
    PrefillBacklog,
    PromptLayout,
};

/// Time for which an entry that vanished while the store was disturbed may come back. The platform
/// restores entries of living backend servers within about two seconds.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_800);
/// Weight of one answer in the mean time of answers.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// Time without any sign of life after which a backend server with work counts as silent.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(600);
/// Mean answer times without a sign of life that are nothing unusual.
const LIVENESS_TIMEOUT_RESPONSES: f64 = 8.0;
/// Longest time of reading one prompt, during which a prefill engine says nothing.
const PREFILL_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Work that this entry has given to a backend server and that has not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens still to be read.
    pub prefill_backlog: PrefillBacklog,
    /// Tokens held in the KV memory by running streams.
    pub kv_cache_tokens: u64,
}

impl BackendLoad {
    /// No work.
    pub const NONE: Self = Self {
        requests: 0,
        prefill_backlog: PrefillBacklog::NONE,
        kv_cache_tokens: 0,
    };

    /// Counts more work.
    pub fn add(&mut self, load: Self) {
        self.requests += load.requests;
        self.prefill_backlog.add(load.prefill_backlog);
        self.kv_cache_tokens += load.kv_cache_tokens;
    }

    /// Counts work as ended.
    pub fn subtract(&mut self, load: Self) {
        self.requests = self.requests.saturating_sub(load.requests);
        self.prefill_backlog.subtract(load.prefill_backlog);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_sub(load.kv_cache_tokens);
    }
}

/// How a list update changed what is known of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendChange {
    /// It was not known before.
    Joined,
    /// It has announced that it leaves.
    Draining,
    /// It takes work again.
    Returned,
    /// It runs anew under the same instance.
    Restarted,
    /// It runs another stage.
    StageChanged,
    /// It is gone.
    Gone,
    /// Its entry vanished while the store was disturbed; it may come back.
    EntryMissing,
}

impl BackendChange {
    /// The change's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Draining => "leaving",
            Self::Returned => "returned",
            Self::Restarted => "restarted",
            Self::StageChanged => "stage_changed",
            Self::Gone => "gone",
            Self::EntryMissing => "entry_missing",
        }
    }
}

/// What is known of one backend server.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Its entry in the platform's list.
    pub record: BackendRecord,
    /// Work that it runs for this entry.
    pub own_load: BackendLoad,
    /// Work that it runs for the other entries, as they last said.
    pub peer_load: BackendLoad,
    /// Own sight of its answers.
    pub health: BackendHealth,
    pub(crate) cache: CacheEstimate,
    mean_response_seconds: Option<f64>,
    missing_since: Option<Instant>,
    last_liveness: Option<Instant>,
}

impl BackendView {
    fn new(record: BackendRecord) -> Self {
        Self {
            record,
            own_load: BackendLoad::default(),
            peer_load: BackendLoad::default(),
            health: BackendHealth::default(),
            cache: CacheEstimate::default(),
            mean_response_seconds: None,
            missing_since: None,
            last_liveness: None,
        }
    }

    /// Counts work that is given to it.
    pub fn record_send(&mut self, now: Instant, load: BackendLoad) {
        if self.own_load.requests == 0 {
            self.last_liveness = Some(now);
        }
        self.own_load.add(load);
    }

    /// Notes a sign of life.
    pub fn record_liveness(&mut self, now: Instant) {
        self.last_liveness = Some(now);
    }

    /// Whether it has work and has shown no sign of life for longer than usual.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(last_liveness) = self.last_liveness.filter(|_| self.own_load.requests > 0) else {
            return false;
        };
        let timeout = match self.record.stage {
            Some(EngineStage::Prefill) => PREFILL_LIVENESS_TIMEOUT,
            Some(EngineStage::Decode) => LIVENESS_TIMEOUT,
            None => {
                let response_time = self.mean_response_time().unwrap_or_default();
                LIVENESS_TIMEOUT.max(response_time.mul_f64(LIVENESS_TIMEOUT_RESPONSES))
            }
        };
        now.saturating_duration_since(last_liveness) > timeout
    }

    /// Mean time of its answers, once there were any.
    pub fn mean_response_time(&self) -> Option<Duration> {
        self.mean_response_seconds.map(Duration::from_secs_f64)
    }

    /// Work of all entries together.
    pub fn total_load(&self) -> BackendLoad {
        let mut total = self.own_load;
        total.add(self.peer_load);
        total
    }

    /// Notes that the engine reads a prompt, whose shared parts it then keeps.
    pub fn record_prefill(&mut self, layout: &PromptLayout, capacity_tokens: u64) {
        self.cache.record_prefill(layout, capacity_tokens);
    }

    fn accepts_work(&self) -> bool {
        !self.record.draining
    }
}

/// All backend servers known to an entry.
#[derive(Debug, Clone, Default)]
pub struct BackendFleet {
    views: BTreeMap<InstanceId, BackendView>,
}

impl BackendFleet {
    /// Takes an entry of the list.
    pub fn upsert(&mut self, record: BackendRecord) -> Option<BackendChange> {
        let instance = record.instance.clone();
        let Some(view) = self.views.get_mut(&instance) else {
            self.views.insert(instance, BackendView::new(record));
            return Some(BackendChange::Joined);
        };
        let before = std::mem::replace(&mut view.record, record);
        view.missing_since = None;
        let restarted = before.started_unix_ms != view.record.started_unix_ms
            || before.address != view.record.address
            || before.service != view.record.service;
        if restarted {
            view.cache.clear();
            view.health = BackendHealth::default();
            return Some(BackendChange::Restarted);
        }
        if before.draining != view.record.draining {
            let is_draining = view.record.draining;
            return Some(if is_draining {
                BackendChange::Draining
            } else {
                BackendChange::Returned
            });
        }
        (before.stage != view.record.stage).then_some(BackendChange::StageChanged)
    }

    /// Takes the removal of an entry; in doubt it gets some time to come back.
    pub fn remove(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        may_return: bool,
    ) -> Option<BackendChange> {
        let view = self.views.get_mut(instance)?;
        if may_return && view.accepts_work() {
            let is_first = view.missing_since.is_none();
            view.missing_since.get_or_insert(now);
            return is_first.then_some(BackendChange::EntryMissing);
        }
        self.views.remove(instance);
        Some(BackendChange::Gone)
    }

    /// Takes the whole list; what it lacks counts as removed.
    pub fn replace(
        &mut self,
        now: Instant,
        records: Vec<BackendRecord>,
        may_return: bool,
    ) -> Vec<(InstanceId, BackendChange)> {
        let mut changes = Vec::new();
        let listed: std::collections::BTreeSet<InstanceId> =
            records.iter().map(|r| r.instance.clone()).collect();
        for record in records {
            let instance = record.instance.clone();
            changes.extend(self.upsert(record).map(|change| (instance, change)));
        }
        let absent: Vec<InstanceId> = self.views.keys().cloned().collect();
        for instance in absent.into_iter().filter(|i| !listed.contains(i)) {
            let change = self.remove(now, &instance, may_return);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Drops backend servers whose entries did not come back in time.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_expired = |view: &BackendView| {
            let since = view.missing_since;
            since.is_some_and(|since| now >= since + MISSING_ENTRY_GRACE)
        };
        let expired = self.views.iter().filter(|(_, view)| is_expired(view));
        let expired_instances: Vec<InstanceId> =
            expired.map(|(instance, _)| instance.clone()).collect();
        for instance in &expired_instances {
            self.views.remove(instance);
        }
        expired_instances
    }

    /// What is known of a backend server.
    pub fn get(&self, instance: &InstanceId) -> Option<&BackendView> {
        self.views.get(instance)
    }

    /// What is known of a backend server, to change it.
    pub fn get_mut(&mut self, instance: &InstanceId) -> Option<&mut BackendView> {
        self.views.get_mut(instance)
    }

    /// All backend servers.
    pub fn views(&self) -> impl Iterator<Item = &BackendView> {
        self.views.values()
    }

    /// All backend servers, to change them.
    pub fn views_mut(&mut self) -> impl Iterator<Item = &mut BackendView> {
        self.views.values_mut()
    }

    /// Backend servers of a service that take new work; paused and silent ones only when all are.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
        stage: Option<EngineStage>,
    ) -> Vec<&'a BackendView> {
        let fits = |view: &&BackendView| {
            view.record.service == *service && view.record.stage == stage && view.accepts_work()
        };
        let accepting: Vec<&BackendView> = self.views.values().filter(fits).collect();
        let is_responsive =
            |view: &&&BackendView| !view.health.is_paused(now) && !view.is_unresponsive(now);
        let responsive = accepting.iter().filter(is_responsive);
        let responsive: Vec<&BackendView> = responsive.copied().collect();
        if responsive.is_empty() {
            accepting
        } else {
            responsive
        }
    }

    /// Notes the outcome of a send; true when the backend server is paused by it.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        outcome: AttemptOutcome,
    ) -> bool {
        let view = self.views.get_mut(instance);
        view.is_some_and(|view| view.health.record_outcome(now, outcome))
    }

    /// Notes how long an answer took.
    pub fn record_response_time(&mut self, instance: &InstanceId, taken: Duration) {
        let Some(view) = self.views.get_mut(instance) else {
            return;
        };
        let taken = taken.as_secs_f64();
        let mean = view.mean_response_seconds.get_or_insert(taken);
        *mean += RESPONSE_TIME_WEIGHT * (taken - *mean);
    }
}
