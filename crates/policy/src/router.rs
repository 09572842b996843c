//! Chooses the backend server for a request from lagging reports and own sends.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};
use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{DataCentre, FingerprintId, InstanceId, ModelName, PieceCount};

use crate::prefix::PrefixMemory;
use crate::route_need::{
    RouteChoice,
    RouteNeed,
    RouteRefusal, //
};
use crate::{
    LoadReport,
    ServiceRank, //
};

/// Backend servers looked at for one decision, whatever the size of the fleet.
const SAMPLE_SIZE: usize = 4;
/// Time lost by a hop to another data centre and back.
const REMOTE_PENALTY: Duration = Duration::from_millis(3);
/// Age from which a report says nothing.
const REPORT_LIMIT: Duration = Duration::from_secs(8);

/// Time after which something sent is surely contained in a report.
const SEND_DELAY: Duration = Duration::from_millis(5);
/// Share of the prefill that is left when the prefix is cached.
const CACHED_SHARE: f64 = 0.5;
/// Part of the prefill time that an import of the KV cache takes.
const IMPORT_SHARE: f64 = 0.04;
/// Seconds of score for each second of decode work left.
const DECODE_WEIGHT: f64 = 0.1;
/// Seconds of score for a memory in full use.
const MEMORY_WEIGHT: f64 = 0.05;
/// Share of the memory from which it counts as full.
const FULL_MEMORY: f64 = 0.9;
/// Seconds of score for the whole memory asked for beyond that share.
const FULL_WEIGHT: f64 = 2.0;

#[derive(Debug, Clone)]
struct EngineView {
    centre: DataCentre,
    report: LoadReport,
    reported_at: Instant,
    leaving: bool,
    sent: VecDeque<SentWork>,
    slot: usize,
}

/// Work sent that the last report does not contain.
#[derive(Debug, Clone, Copy)]
struct SentWork {
    at: Instant,
    rank: ServiceRank,
    start: f64,
    decode: f64,
    pieces: u32,
}

/// Knows the backend servers of one entry and predicts their start times.
#[derive(Debug)]
pub struct EngineRouter {
    home: DataCentre,
    views: BTreeMap<InstanceId, EngineView>,
    slots: Vec<InstanceId>,
    prefixes: PrefixMemory,
}

impl EngineRouter {
    /// A router for an entry in a data centre, without backend servers.
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            views: BTreeMap::new(),
            slots: Vec::new(),
            prefixes: PrefixMemory::default(),
        }
    }

    /// Takes a new report; what arrived there before it was measured is contained in it.
    pub fn report(
        &mut self,
        measured_at: Instant,
        instance: &InstanceId,
        centre: &DataCentre,
        report: LoadReport,
    ) {
        if let Some(view) = self.views.get_mut(instance) {
            view.report = report;
            view.reported_at = measured_at;
            view.sent.retain(|sent| sent.at + SEND_DELAY > measured_at);
            return;
        }
        let slot = self.slots.len();
        self.slots.push(instance.clone());
        let view = EngineView {
            centre: centre.clone(),
            report,
            reported_at: measured_at,
            leaving: false,
            sent: VecDeque::new(),
            slot,
        };
        self.views.insert(instance.clone(), view);
    }

    /// Marks a backend server as leaving, or as back.
    pub fn set_leaving(&mut self, instance: &InstanceId, leaving: bool) {
        if let Some(view) = self.views.get_mut(instance) {
            view.leaving = leaving;
        }
    }

    /// Forgets a backend server whose connection was lost.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(view) = self.views.remove(instance) else {
            return;
        };
        self.slots.swap_remove(view.slot);
        if let Some(moved) = self.slots.get(view.slot)
            && let Some(moved_view) = self.views.get_mut(moved)
        {
            moved_view.slot = view.slot;
        }
    }

    /// Backend servers known.
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Models that at least one known backend server has loaded.
    pub fn models(&self) -> BTreeSet<ModelName> {
        let views = self.views.values();
        views
            .flat_map(|view| view.report.models.iter().cloned())
            .collect()
    }

    /// Largest KV memory among known backend servers that have a model.
    pub fn largest_memory(&self, model: &ModelName) -> Option<PieceCount> {
        let having = self
            .views
            .values()
            .filter(|v| v.report.models.contains(model));
        having.map(|view| view.report.pieces).max()
    }

    /// Chooses a backend server and counts the work as sent to it.
    pub fn route(
        &mut self,
        now: Instant,
        need: &RouteNeed,
        rng: &mut impl Rng,
    ) -> Result<RouteChoice, RouteRefusal> {
        let candidates = self.candidates(now, need, rng);
        let handoff = self.handoff_wait(now, need, rng);
        let mut considered = Vec::with_capacity(candidates.len());
        let mut best: Option<(f64, Duration, bool, InstanceId)> = None;
        for instance in candidates {
            let cached = self.prefixes.place(need.prefix) == Some(&instance);
            let (mut score, mut predicted) = self.predict(&instance, need, cached);
            if !self.views[&instance].report.role.generates() {
                score += handoff.as_secs_f64();
                predicted += handoff;
            }
            considered.push((instance.clone(), predicted));
            if best.as_ref().is_none_or(|(least, ..)| score < *least) {
                best = Some((score, predicted, cached, instance));
            }
        }
        let Some((_, predicted, cached, instance)) = best else {
            return Err(RouteRefusal::NoneAvailable);
        };
        if predicted > need.budget {
            return Err(RouteRefusal::WouldMiss(predicted));
        }
        self.count_sent(now, &instance, need);
        self.prefixes.remember(need.prefix, &instance);
        Ok(RouteChoice {
            instance,
            predicted,
            cached,
            considered,
        })
    }

    /// Least wait among some engines that could take over from one that prefills only.
    fn handoff_wait(&self, now: Instant, need: &RouteNeed, rng: &mut impl Rng) -> Duration {
        let count = self.slots.len();
        if need.imports || count == 0 {
            return Duration::ZERO;
        }
        let start = rng.random_range(0..count);
        let order = (0..count).map(|step| &self.slots[(start + step * stride(count)) % count]);
        let takes_over = RouteNeed {
            imports: true,
            ..need.clone()
        };
        let usable = order.filter(|instance| self.is_usable(now, instance, &takes_over));
        let waits = usable
            .take(SAMPLE_SIZE)
            .map(|instance| self.predict(instance, need, true).1);
        waits.min().unwrap_or(Duration::MAX / 4)
    }

    fn candidates(&self, now: Instant, need: &RouteNeed, rng: &mut impl Rng) -> Vec<InstanceId> {
        if let Some(fingerprint) = need.trial {
            return self
                .trial_place(now, need, fingerprint)
                .into_iter()
                .collect();
        }
        let mut found = Vec::with_capacity(SAMPLE_SIZE + 1);
        if let Some(pinned) = &need.pin
            && self.is_usable(now, pinned, need)
        {
            return vec![pinned.clone()];
        }
        if let Some(instance) = self.prefixes.place(need.prefix)
            && self.is_usable(now, instance, need)
        {
            found.push(instance.clone());
        }
        let count = self.slots.len();
        if count == 0 {
            return found;
        }
        // A random start and a stride keep the sample even; the walk ends early once it is full.
        let start = rng.random_range(0..count);
        let mut wanted = found.len() + SAMPLE_SIZE;
        if count <= SAMPLE_SIZE * 6 {
            wanted = count;
        }
        for step in 0..count {
            let instance = &self.slots[(start + step * stride(count)) % count];
            if !found.contains(instance) && self.is_usable(now, instance, need) {
                found.push(instance.clone());
            }
            if found.len() >= wanted {
                break;
            }
        }
        found
    }

    /// The usable backend server of highest weight for a suspect, by rendezvous hashing.
    fn trial_place(
        &self,
        now: Instant,
        need: &RouteNeed,
        fingerprint: FingerprintId,
    ) -> Option<InstanceId> {
        let weight = |instance: &&InstanceId| {
            XxHash3_64::oneshot_with_seed(fingerprint.0, instance.as_str().as_bytes())
        };
        let usable = self.views.keys().filter(|i| self.is_usable(now, i, need));
        usable.max_by_key(weight).cloned()
    }

    fn is_usable(&self, now: Instant, instance: &InstanceId, need: &RouteNeed) -> bool {
        let Some(view) = self.views.get(instance) else {
            return false;
        };
        let role_fits = if need.imports {
            view.report.role.generates()
        } else {
            view.report.role.takes_prompts()
        };
        let fresh = now.saturating_duration_since(view.reported_at) < REPORT_LIMIT;
        role_fits
            && fresh
            && !view.leaving
            && view.report.accepting
            && need.pieces <= view.report.pieces
            && view.report.models.contains(&need.model)
            && !need.avoid.contains(instance)
    }

    /// Predicts the start and a score that also counts the load left behind.
    fn predict(&self, instance: &InstanceId, need: &RouteNeed, cached: bool) -> (f64, Duration) {
        let view = &self.views[instance];
        let before = view.sent.iter().filter(|sent| sent.rank <= need.rank);
        let ahead = view.report.wait[need.rank].0 + before.map(|sent| sent.start).sum::<f64>();
        let own = need.start_work.0
            * match (need.imports, cached) {
                (true, _) => IMPORT_SHARE,
                (false, true) => CACHED_SHARE,
                (false, false) => 1.0,
            };
        let mut start = ahead + own;
        if view.centre != self.home {
            start += REMOTE_PENALTY.as_secs_f64();
        }
        let sent_pieces: u32 = view.sent.iter().map(|sent| sent.pieces).sum();
        let sent_decode: f64 = view.sent.iter().map(|sent| sent.decode).sum();
        let used = view.report.used.0 + sent_pieces + need.pieces.0;
        let memory = f64::from(used) / f64::from(view.report.pieces.0.max(1));
        let over = (memory - FULL_MEMORY).max(0.0);
        let load = (view.report.running.0 + sent_decode) * DECODE_WEIGHT;
        let score = start + load + memory * MEMORY_WEIGHT + over * FULL_WEIGHT;
        let predicted = Duration::try_from_secs_f64(start).unwrap_or(Duration::MAX);
        (score, predicted)
    }

    fn count_sent(&mut self, now: Instant, instance: &InstanceId, need: &RouteNeed) {
        if let Some(view) = self.views.get_mut(instance) {
            view.sent.push_back(SentWork {
                at: now,
                rank: need.rank,
                start: need.start_work.0,
                decode: need.decode_work.0,
                pieces: need.pieces.0,
            });
        }
    }
}

/// A stride without a common factor with the count, near its golden section.
fn stride(count: usize) -> usize {
    let start = (count as f64 * 0.618) as usize;
    let coprime = |step: &usize| greatest_common_divisor(*step, count) == 1;
    (start.max(1)..count).find(coprime).unwrap_or(1)
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}
