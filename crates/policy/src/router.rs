//! Selects an engine for a request from delayed load reports and the requests sent since.

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

use crate::prefix_locations::PrefixLocations;
use crate::route_requirements::{
    RouteChoice,
    RouteRefusal,
    RouteRequirements, //
};
use crate::{
    LoadReport,
    ServiceRank, //
};

/// Number of engines sampled for one decision, so that its cost does not grow with a large fleet.
const CANDIDATE_SAMPLE_SIZE: usize = 4;
/// Time that a request to another data centre and its answer spend between the data centres.
const CROSS_DATA_CENTRE_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Age at which a load report is stale and its engine is no longer selected.
const REPORT_EXPIRY: Duration = Duration::from_secs(8);

/// Time between a send and the first load report that is certain to include the request.
const REPORT_INCLUSION_DELAY: Duration = Duration::from_millis(5);
/// Fraction of the prefill work that remains when the prompt prefix is cached.
const CACHE_HIT_PREFILL_FRACTION: f64 = 0.5;
/// Time to import the KV cache of a prompt, as a fraction of its prefill time.
const KV_IMPORT_PREFILL_FRACTION: f64 = 0.04;
/// Score for each second of remaining decode work, in seconds.
const DECODE_LOAD_WEIGHT: f64 = 0.1;
/// Score for KV cache memory in full use, in seconds; in proportion for less.
const KV_MEMORY_WEIGHT: f64 = 0.05;
/// Share of used KV cache memory above which [`HIGH_KV_MEMORY_WEIGHT`] applies as well.
const HIGH_KV_MEMORY_USE: f64 = 0.9;
/// Score for using one whole capacity more than [`HIGH_KV_MEMORY_USE`], in seconds; in proportion
/// for less.
const HIGH_KV_MEMORY_WEIGHT: f64 = 2.0;

/// Last load report of an engine and the requests sent to it since.
#[derive(Debug, Clone)]
struct EngineState {
    data_centre: DataCentre,
    report: LoadReport,
    reported_at: Instant,
    draining: bool,
    unreported: VecDeque<UnreportedSend>,
    sampling_index: usize,
}

/// A request sent to an engine whose last load report does not include it.
#[derive(Debug, Clone, Copy)]
struct UnreportedSend {
    sent_at: Instant,
    rank: ServiceRank,
    prefill_seconds: f64,
    decode_seconds: f64,
    pieces: u32,
}

/// Tracks the engines known to one entry and estimates when each would produce a first token.
#[derive(Debug)]
pub struct EngineRouter {
    local_data_centre: DataCentre,
    engines: BTreeMap<InstanceId, EngineState>,
    sampling_order: Vec<InstanceId>,
    prefix_locations: PrefixLocations,
}

impl EngineRouter {
    /// Creates a router without engines for an entry in a data centre.
    pub fn new(local_data_centre: DataCentre) -> Self {
        Self {
            local_data_centre,
            engines: BTreeMap::new(),
            sampling_order: Vec::new(),
            prefix_locations: PrefixLocations::default(),
        }
    }

    /// Records a load report and drops the sent requests that the report already includes.
    pub fn record_report(
        &mut self,
        measured_at: Instant,
        instance: &InstanceId,
        data_centre: &DataCentre,
        report: LoadReport,
    ) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.report = report;
            engine.reported_at = measured_at;
            engine
                .unreported
                .retain(|sent| sent.sent_at + REPORT_INCLUSION_DELAY > measured_at);
            return;
        }
        let sampling_index = self.sampling_order.len();
        self.sampling_order.push(instance.clone());
        let engine = EngineState {
            data_centre: data_centre.clone(),
            report,
            reported_at: measured_at,
            draining: false,
            unreported: VecDeque::new(),
            sampling_index,
        };
        self.engines.insert(instance.clone(), engine);
    }

    /// Sets whether an engine is draining and receives no new requests.
    pub fn set_draining(&mut self, instance: &InstanceId, draining: bool) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.draining = draining;
        }
    }

    /// Removes an engine whose connection was lost.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(engine) = self.engines.remove(instance) else {
            return;
        };
        self.sampling_order.swap_remove(engine.sampling_index);
        if let Some(moved) = self.sampling_order.get(engine.sampling_index)
            && let Some(moved_engine) = self.engines.get_mut(moved)
        {
            moved_engine.sampling_index = engine.sampling_index;
        }
    }

    /// Returns the number of known engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the models that at least one known engine has loaded.
    pub fn models(&self) -> BTreeSet<ModelName> {
        let engines = self.engines.values();
        engines
            .flat_map(|engine| engine.report.models.iter().cloned())
            .collect()
    }

    /// Returns the largest KV cache memory among the known engines that have a model loaded.
    pub fn largest_kv_capacity(&self, model: &ModelName) -> Option<PieceCount> {
        let with_model = self
            .engines
            .values()
            .filter(|engine| engine.report.models.contains(model));
        with_model.map(|engine| engine.report.total_pieces).max()
    }

    /// Selects the engine with the lowest score and records the request as sent to it.
    pub fn route(
        &mut self,
        now: Instant,
        requirements: &RouteRequirements,
        rng: &mut impl Rng,
    ) -> Result<RouteChoice, RouteRefusal> {
        let candidates = self.candidates(now, requirements, rng);
        let handoff_wait = self.decode_handoff_wait(now, requirements, rng);
        let mut considered = Vec::with_capacity(candidates.len());
        let mut best: Option<(f64, Duration, bool, InstanceId)> = None;
        for instance in candidates {
            let expects_cache_hit =
                self.prefix_locations.get(requirements.prefix_hash) == Some(&instance);
            let (mut score, mut expected_wait) =
                self.estimate(&instance, requirements, expects_cache_hit);
            if !self.engines[&instance].report.role.decodes() {
                score += handoff_wait.as_secs_f64();
                expected_wait += handoff_wait;
            }
            considered.push((instance.clone(), expected_wait));
            if best
                .as_ref()
                .is_none_or(|(lowest_score, ..)| score < *lowest_score)
            {
                best = Some((score, expected_wait, expects_cache_hit, instance));
            }
        }
        let Some((_, expected_wait, expects_cache_hit, instance)) = best else {
            return Err(RouteRefusal::NoneAvailable);
        };
        if expected_wait > requirements.time_budget {
            return Err(RouteRefusal::WouldMissTarget(expected_wait));
        }
        self.record_send(now, &instance, requirements);
        self.prefix_locations
            .record(requirements.prefix_hash, &instance);
        Ok(RouteChoice {
            instance,
            expected_wait,
            expects_cache_hit,
            considered,
        })
    }

    /// Returns the shortest expected wait among sampled engines that can decode after a
    /// prefill-only engine has produced the first token.
    fn decode_handoff_wait(
        &self,
        now: Instant,
        requirements: &RouteRequirements,
        rng: &mut impl Rng,
    ) -> Duration {
        let count = self.sampling_order.len();
        if requirements.imports_kv_cache || count == 0 {
            return Duration::ZERO;
        }
        let start = rng.random_range(0..count);
        let sampled = (0..count)
            .map(|step| &self.sampling_order[(start + step * coprime_stride(count)) % count]);
        let decode_requirements = RouteRequirements {
            imports_kv_cache: true,
            ..requirements.clone()
        };
        let usable = sampled.filter(|instance| self.is_usable(now, instance, &decode_requirements));
        let waits = usable
            .take(CANDIDATE_SAMPLE_SIZE)
            .map(|instance| self.estimate(instance, requirements, true).1);
        waits.min().unwrap_or(Duration::MAX / 4)
    }

    /// Returns the engines to compare: the trial or pinned engine alone, otherwise the engine that
    /// last received the prompt prefix and a sample of the others.
    fn candidates(
        &self,
        now: Instant,
        requirements: &RouteRequirements,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if let Some(fingerprint) = requirements.trial_fingerprint {
            return self
                .trial_instance(now, requirements, fingerprint)
                .into_iter()
                .collect();
        }
        let mut candidates = Vec::with_capacity(CANDIDATE_SAMPLE_SIZE + 1);
        if let Some(pinned) = &requirements.pinned
            && self.is_usable(now, pinned, requirements)
        {
            return vec![pinned.clone()];
        }
        if let Some(instance) = self.prefix_locations.get(requirements.prefix_hash)
            && self.is_usable(now, instance, requirements)
        {
            candidates.push(instance.clone());
        }
        let count = self.sampling_order.len();
        if count == 0 {
            return candidates;
        }
        // A random start and a coprime stride visit every engine once and sample them evenly.
        let start = rng.random_range(0..count);
        let mut wanted_count = candidates.len() + CANDIDATE_SAMPLE_SIZE;
        if count <= CANDIDATE_SAMPLE_SIZE * 6 {
            wanted_count = count;
        }
        for step in 0..count {
            let instance = &self.sampling_order[(start + step * coprime_stride(count)) % count];
            if !candidates.contains(instance) && self.is_usable(now, instance, requirements) {
                candidates.push(instance.clone());
            }
            if candidates.len() >= wanted_count {
                break;
            }
        }
        candidates
    }

    /// Selects an engine for a request suspected of crashing engines, by rendezvous hashing, so
    /// that every entry tries the same fingerprint on the same engine.
    fn trial_instance(
        &self,
        now: Instant,
        requirements: &RouteRequirements,
        fingerprint: FingerprintId,
    ) -> Option<InstanceId> {
        let weight = |instance: &&InstanceId| {
            XxHash3_64::oneshot_with_seed(fingerprint.0, instance.as_str().as_bytes())
        };
        let usable = self
            .engines
            .keys()
            .filter(|i| self.is_usable(now, i, requirements));
        usable.max_by_key(weight).cloned()
    }

    /// Returns whether an engine accepts requests, fits the request and has a report that is not
    /// stale.
    fn is_usable(
        &self,
        now: Instant,
        instance: &InstanceId,
        requirements: &RouteRequirements,
    ) -> bool {
        let Some(engine) = self.engines.get(instance) else {
            return false;
        };
        let role_fits = if requirements.imports_kv_cache {
            engine.report.role.decodes()
        } else {
            engine.report.role.accepts_prompts()
        };
        let fresh = now.saturating_duration_since(engine.reported_at) < REPORT_EXPIRY;
        role_fits
            && fresh
            && !engine.draining
            && engine.report.accepting
            && requirements.required_pieces <= engine.report.total_pieces
            && engine.report.models.contains(&requirements.model)
            && !requirements.excluded.contains(instance)
    }

    /// Returns a score and the expected time until the first token; the score adds the engine's
    /// decode load and KV cache memory use to that time.
    fn estimate(
        &self,
        instance: &InstanceId,
        requirements: &RouteRequirements,
        expects_cache_hit: bool,
    ) -> (f64, Duration) {
        let engine = &self.engines[instance];
        let ahead_sends = engine
            .unreported
            .iter()
            .filter(|sent| sent.rank <= requirements.rank);
        let ahead = engine.report.expected_wait[requirements.rank].0
            + ahead_sends.map(|sent| sent.prefill_seconds).sum::<f64>();
        let own_wait = requirements.prefill_work.0
            * match (requirements.imports_kv_cache, expects_cache_hit) {
                (true, _) => KV_IMPORT_PREFILL_FRACTION,
                (false, true) => CACHE_HIT_PREFILL_FRACTION,
                (false, false) => 1.0,
            };
        let mut expected_seconds = ahead + own_wait;
        if engine.data_centre != self.local_data_centre {
            expected_seconds += CROSS_DATA_CENTRE_ROUND_TRIP.as_secs_f64();
        }
        let unreported_pieces: u32 = engine.unreported.iter().map(|sent| sent.pieces).sum();
        let unreported_decode: f64 = engine
            .unreported
            .iter()
            .map(|sent| sent.decode_seconds)
            .sum();
        let used = engine.report.used_pieces.0 + unreported_pieces + requirements.required_pieces.0;
        let kv_memory_use = f64::from(used) / f64::from(engine.report.total_pieces.0.max(1));
        let excess_use = (kv_memory_use - HIGH_KV_MEMORY_USE).max(0.0);
        let decode_load =
            (engine.report.remaining_decode.0 + unreported_decode) * DECODE_LOAD_WEIGHT;
        let score = expected_seconds
            + decode_load
            + kv_memory_use * KV_MEMORY_WEIGHT
            + excess_use * HIGH_KV_MEMORY_WEIGHT;
        let expected_wait = Duration::try_from_secs_f64(expected_seconds).unwrap_or(Duration::MAX);
        (score, expected_wait)
    }

    fn record_send(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        requirements: &RouteRequirements,
    ) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.unreported.push_back(UnreportedSend {
                sent_at: now,
                rank: requirements.rank,
                prefill_seconds: requirements.prefill_work.0,
                decode_seconds: requirements.decode_work.0,
                pieces: requirements.required_pieces.0,
            });
        }
    }
}

/// Returns a stride of about 0.618 of the count (golden ratio) that has no common factor with the
/// count, so that steps of the stride visit every position.
fn coprime_stride(count: usize) -> usize {
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
