//! Known backend servers with their load, health and liveness.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    InstanceId,
    SegmentId, //
};

use crate::cache_estimate::CacheEstimate;
use crate::health::BackendHealth;
use crate::{
    AttemptOutcome,
    BackendLoad,
    BackendRecord,
    EngineStage,
    OfferedRate,
    PromptLayout,
    RestState,
    ServerFilter,
    ServerLimit,
    ServerRest,
    Unavailability, //
};

/// Time for which a registry entry that vanished during a store disturbance is kept. The platform
/// restores the entries of live backend servers within about two seconds.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(1_800);
/// Weight of one response in the exponentially weighted mean response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// Time without a liveness signal after which a backend server with in-flight requests counts as
/// unresponsive.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(600);
/// Liveness timeout of a plain service as a multiple of its mean response time, if that is longer.
const LIVENESS_TIMEOUT_RESPONSES: f64 = 8.0;
/// Liveness timeout of prefill engines: the longest prefill of one prompt, during which the engine
/// sends nothing.
const PREFILL_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval after which a server that has rested may take another request.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Change of a backend server by a registry update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendChange {
    /// The backend server is new.
    Joined,
    /// The backend server started to drain.
    Draining,
    /// The backend server accepts requests again after draining.
    Returned,
    /// The backend server restarted under the same instance.
    Restarted,
    /// The engine runs another stage.
    StageChanged,
    /// The backend server was removed.
    Gone,
    /// The entry vanished during a store disturbance and may come back.
    EntryMissing,
}

impl BackendChange {
    /// Returns the change's name in logs.
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

/// State of one backend server as known to this gateway.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Entry in the platform's registry.
    pub record: BackendRecord,
    /// Load by requests of this gateway.
    pub own_load: BackendLoad,
    /// Load by requests of the other gateways, from their load reports.
    pub peer_load: BackendLoad,
    /// Failure rate and pause state, as observed by this gateway.
    pub health: BackendHealth,
    /// Limit that the server names, with the tokens for it.
    pub limit: ServerLimit,
    /// Rest that the server has asked this gateway for.
    pub rest: ServerRest,
    pub(crate) cache: CacheEstimate,
    is_leaving: bool,
    mean_response_seconds: Option<f64>,
    /// Rate at which this gateway sends requests.
    pub(crate) sent_rate: OfferedRate,
    missing_since: Option<Instant>,
    /// Time of the last data, or of the first request sent to an idle backend server.
    last_liveness: Option<Instant>,
    last_data: Option<Instant>,
}

impl BackendView {
    fn new(record: BackendRecord) -> Self {
        Self {
            record,
            own_load: BackendLoad::default(),
            peer_load: BackendLoad::default(),
            health: BackendHealth::default(),
            limit: ServerLimit::default(),
            rest: ServerRest::default(),
            cache: CacheEstimate::default(),
            is_leaving: false,
            mean_response_seconds: None,
            sent_rate: OfferedRate::default(),
            missing_since: None,
            last_liveness: None,
            last_data: None,
        }
    }

    /// Adds the load of a request sent to the backend server. The liveness timeout starts anew if
    /// the backend server was idle.
    pub fn record_send(&mut self, now: Instant, load: BackendLoad) {
        if self.own_load.requests == 0 {
            self.last_liveness = Some(now);
        }
        self.sent_rate.add(now, 1.0);
        self.own_load.add(load);
    }

    /// Records a liveness signal.
    pub fn record_liveness(&mut self, now: Instant) {
        self.last_liveness = Some(now);
        self.last_data = Some(now);
    }

    /// Returns the time since the last data from the backend server, or `None` if there was none.
    pub fn silent_time(&self, now: Instant) -> Option<Duration> {
        let last_data = self.last_data?;
        Some(now.saturating_duration_since(last_data))
    }

    /// Returns whether the backend server has in-flight requests and has exceeded its liveness
    /// timeout.
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

    /// Returns the mean response time, or `None` before the first response.
    pub fn mean_response_time(&self) -> Option<Duration> {
        self.mean_response_seconds.map(Duration::from_secs_f64)
    }

    /// Returns the load by requests of all gateways.
    pub fn total_load(&self) -> BackendLoad {
        let mut total = self.own_load;
        total.add(self.peer_load);
        total
    }

    /// Records that the engine prefills a prompt and caches its shared segments. `capacity_tokens`
    /// is the engine's KV cache memory.
    pub fn record_prefill(&mut self, layout: &PromptLayout, capacity_tokens: u64) {
        self.cache.record_prefill(layout, capacity_tokens);
    }

    /// Returns the number of times that segments were expected to be cached, by which a list that the
    /// engine is asked for now can be told from later uses.
    pub fn cache_uses(&self) -> u64 {
        self.cache.use_count()
    }

    /// Replaces what is expected in the engine's cache by the segments that it lists. `asked_at_use` is the
    /// number of uses when it was asked, and `capacity_tokens` its KV cache memory.
    pub fn record_cached(
        &mut self,
        listed: &[(SegmentId, u32)],
        asked_at_use: u64,
        capacity_tokens: u64,
    ) {
        self.cache.replace(listed, asked_at_use, capacity_tokens);
    }

    /// Returns whether the process has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the process has announced that it leaves, by its entry or in its answers.
    pub fn has_announced_end(&self) -> bool {
        self.record.draining || self.is_leaving
    }

    /// Records that the process has said that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }
}

/// All backend servers known to a gateway.
#[derive(Debug, Clone, Default)]
pub struct BackendFleet {
    views: BTreeMap<InstanceId, BackendView>,
}

impl BackendFleet {
    /// Adds or updates a backend server and returns what changed.
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
            || before.service != view.record.service
            || before.version != view.record.version;
        if restarted {
            view.cache.clear();
            view.health = BackendHealth::default();
            view.limit = ServerLimit::default();
            view.rest = ServerRest::default();
            view.is_leaving = false;
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

    /// Removes a backend server. With `may_return`, as after a store disturbance, a backend server
    /// that is not draining is kept until [`Self::expire`] removes it.
    pub fn remove(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        may_return: bool,
    ) -> Option<BackendChange> {
        let view = self.views.get_mut(instance)?;
        if may_return && !view.record.draining && !view.is_leaving {
            let is_first = view.missing_since.is_none();
            view.missing_since.get_or_insert(now);
            return is_first.then_some(BackendChange::EntryMissing);
        }
        self.views.remove(instance);
        Some(BackendChange::Gone)
    }

    /// Replaces all entries; backend servers that are not in `records` are removed.
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

    /// Removes backend servers whose entries did not come back in time, or at all if the store has
    /// restored those that will, and returns their instances.
    pub fn expire(&mut self, now: Instant, all_restored: bool) -> Vec<InstanceId> {
        let is_expired = |view: &BackendView| {
            let since = view.missing_since;
            since.is_some_and(|since| all_restored || now >= since + MISSING_ENTRY_GRACE)
        };
        let expired = self.views.iter().filter(|(_, view)| is_expired(view));
        let expired_instances: Vec<InstanceId> =
            expired.map(|(instance, _)| instance.clone()).collect();
        for instance in &expired_instances {
            self.views.remove(instance);
        }
        expired_instances
    }

    /// Returns a backend server.
    pub fn get(&self, instance: &InstanceId) -> Option<&BackendView> {
        self.views.get(instance)
    }

    /// Returns a mutable reference to a backend server.
    pub fn get_mut(&mut self, instance: &InstanceId) -> Option<&mut BackendView> {
        self.views.get_mut(instance)
    }

    /// Returns a mutable reference to a backend server if its entry is that of the process with a start
    /// time, in milliseconds since the Unix epoch.
    pub fn process_mut(
        &mut self,
        instance: &InstanceId,
        started_unix_ms: Option<u64>,
    ) -> Option<&mut BackendView> {
        let view = self.views.get_mut(instance);
        view.filter(|view| view.record.started_unix_ms == started_unix_ms)
    }

    /// Returns an iterator over all backend servers.
    pub fn views(&self) -> impl Iterator<Item = &BackendView> {
        self.views.values()
    }

    /// Returns a mutable iterator over all backend servers.
    pub fn views_mut(&mut self) -> impl Iterator<Item = &mut BackendView> {
        self.views.values_mut()
    }

    /// Returns the backend servers that fit and accept new requests now. Those without a token for their
    /// limit do not. Paused and unresponsive ones are included only if there are no others.
    pub fn usable<'a>(&'a self, now: Instant, filter: ServerFilter<'_>) -> Vec<&'a BackendView> {
        let fits =
            |view: &&BackendView| filter.admits(&view.record) && view.unavailability(now).is_none();
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

    /// Returns the backend servers that fit and accept new requests but for their limit.
    pub fn without_token<'a>(
        &'a self,
        now: Instant,
        filter: ServerFilter<'a>,
    ) -> impl Iterator<Item = &'a BackendView> {
        let views = self.views.values();
        views.filter(move |view| {
            filter.admits(&view.record)
                && view.unavailability(now) == Some(Unavailability::WithoutToken)
        })
    }

    /// Returns when the first of the backend servers that fit takes requests again, if rests are all that
    /// keeps them from it.
    pub fn next_rest_end(&self, now: Instant, filter: ServerFilter<'_>) -> Option<Instant> {
        let fitting = self
            .views
            .values()
            .filter(|view| filter.admits(&view.record));
        let ends = fitting.filter_map(|view| match view.unavailability(now)? {
            Unavailability::Resting(until) => Some(until),
            Unavailability::Starting => Some(now + START_INTERVAL),
            Unavailability::Draining | Unavailability::Leaving | Unavailability::WithoutToken => {
                None
            }
        });
        ends.min()
    }

    /// Returns the backend servers whose rests have ended since the last call.
    pub fn take_ended_rests(&mut self, now: Instant) -> Vec<InstanceId> {
        let views = self.views.values_mut();
        let ended = views.filter_map(|view| {
            let has_ended = view.rest.take_end(now);
            has_ended.then(|| view.record.instance.clone())
        });
        ended.collect()
    }

    /// Returns whether a backend server wants nothing from this gateway now.
    pub fn is_resting(&self, now: Instant, instance: &InstanceId) -> bool {
        let view = self.views.get(instance);
        view.is_some_and(|view| {
            let state = view.rest.state(now, view.own_load.requests);
            matches!(state, RestState::Resting(_))
        })
    }

    /// Records the outcome of an attempt. Returns true if the outcome pauses the backend server.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        outcome: AttemptOutcome,
    ) -> bool {
        let view = self.views.get_mut(instance);
        view.is_some_and(|view| view.health.record_outcome(now, outcome))
    }

    /// Records the response time of a completed request.
    pub fn record_response_time(&mut self, instance: &InstanceId, elapsed: Duration) {
        let Some(view) = self.views.get_mut(instance) else {
            return;
        };
        let elapsed = elapsed.as_secs_f64();
        let mean = view.mean_response_seconds.get_or_insert(elapsed);
        *mean += RESPONSE_TIME_WEIGHT * (elapsed - *mean);
    }
}
