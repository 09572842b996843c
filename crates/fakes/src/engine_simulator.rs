//! A simulated model engine with continuous batching, chunked prefill, KV cache memory in pieces
//! (blocks of fixed size) and a prefix cache.
//!
//! The simulator reads no clock: its user passes the current time and advances the engine step by
//! step.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use policy::{
    EngineProfile,
    EngineRole, //
};
use tokio::time::Instant;
use units::{
    PieceCount,
    TokenCount, //
};

/// Maximum number of prompt tokens in a step of an engine that also decodes.
const MIXED_CHUNK_TOKENS: u32 = 256;
/// Maximum number of prompt tokens in a step of a prefill engine.
const PREFILL_CHUNK_TOKENS: u32 = 2_048;
/// Maximum number of prefixes in the prefix cache of an engine.
const PREFIX_CACHE_ENTRIES: usize = 64;

/// Key of a stream, chosen by the user of the simulator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

/// Parameters of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamSpec {
    /// Key, unique within an engine.
    pub key: StreamKey,
    /// Priority. Smaller values are scheduled first.
    pub priority: u32,
    /// Number of tokens that precede the first new token: the prompt and the tokens that earlier
    /// attempts generated.
    pub context_tokens: TokenCount,
    /// Number of tokens to generate.
    pub max_output_tokens: TokenCount,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
    /// Length of the prompt prefix.
    pub prefix_tokens: TokenCount,
    /// Whether the KV cache of the context is imported instead of computed.
    pub imports_kv_cache: bool,
}

/// Reason for the end of a stream on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The engine generated all tokens.
    Finished,
    /// A prefill engine finished the prompt; another engine generates the remaining tokens.
    Handoff,
    /// A role change or a crash interrupted the stream.
    Interrupted,
}

/// Progress of one stream at the end of a step: a token, the end of the stream or both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEvent {
    /// Key of the stream.
    pub key: StreamKey,
    /// Whether the step generated a token.
    pub has_token: bool,
    /// Reason for the end of the stream, or `None` if the stream continues.
    pub end: Option<StreamEnd>,
}

#[derive(Debug, Clone)]
struct RunningStream {
    spec: StreamSpec,
    remaining_prefill: u32,
    remaining_output: u32,
    pieces: u32,
    ready_at: Instant,
}

/// A simulated engine that its user advances step by step.
#[derive(Debug)]
pub struct EngineSimulator {
    profile: EngineProfile,
    role: EngineRole,
    waiting: VecDeque<StreamSpec>,
    running: BTreeMap<StreamKey, RunningStream>,
    used_pieces: u32,
    prefix_cache: VecDeque<(u64, u32)>,
    unavailable_until: Option<Instant>,
    cached_tokens: u64,
    computed_tokens: u64,
    chunk_tokens: u32,
}

impl EngineSimulator {
    /// Creates an idle engine.
    pub fn new(profile: EngineProfile, role: EngineRole) -> Self {
        Self {
            profile,
            role,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            used_pieces: 0,
            prefix_cache: VecDeque::new(),
            unavailable_until: None,
            cached_tokens: 0,
            computed_tokens: 0,
            chunk_tokens: MIXED_CHUNK_TOKENS,
        }
    }

    /// Returns the memory and speed parameters of the engine.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Returns the role of the engine. During a role change this is the new role.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Returns the time when a role change or restart completes, or `None` without one.
    ///
    /// The time remains set after completion until the next step.
    pub fn unavailable_until(&self) -> Option<Instant> {
        self.unavailable_until
    }

    /// Returns the number of reserved pieces of KV cache memory.
    pub fn used_pieces(&self) -> PieceCount {
        PieceCount(self.used_pieces)
    }

    /// Returns the number of running and waiting streams.
    pub fn stream_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the total numbers of cached tokens and of computed prompt tokens.
    pub fn prefill_token_counts(&self) -> (u64, u64) {
        (self.cached_tokens, self.computed_tokens)
    }

    /// Adds a stream to the queue, behind streams of the same or a higher priority.
    pub fn submit(&mut self, spec: StreamSpec) {
        let has_lower_priority = |other: &StreamSpec| other.priority > spec.priority;
        let position = self.waiting.iter().position(has_lower_priority);
        self.waiting
            .insert(position.unwrap_or(self.waiting.len()), spec);
    }

    /// Removes a stream that is no longer needed. Returns whether the engine had the stream.
    pub fn cancel(&mut self, key: StreamKey) -> bool {
        let before = self.stream_count();
        self.waiting.retain(|spec| spec.key != key);
        if let Some(stream) = self.running.remove(&key) {
            self.used_pieces -= stream.pieces;
        }
        self.stream_count() < before
    }

    /// Starts a role change, which interrupts all streams and makes the engine unavailable.
    pub fn change_role(&mut self, now: Instant, role: EngineRole) -> Vec<StreamEvent> {
        self.role = role;
        let change_time = Duration::from_secs_f64(self.profile.role_change_seconds);
        self.interrupt_streams(now + change_time)
    }

    /// Empties the prefix cache.
    pub fn clear_prefix_cache(&mut self) {
        self.prefix_cache.clear();
    }

    /// Interrupts all streams, empties the prefix cache and makes the engine unavailable until the
    /// given time.
    pub fn crash(&mut self, until: Instant) -> Vec<StreamEvent> {
        self.prefix_cache.clear();
        self.interrupt_streams(until)
    }

    fn interrupt_streams(&mut self, until: Instant) -> Vec<StreamEvent> {
        self.unavailable_until = Some(until);
        self.used_pieces = 0;
        let running = std::mem::take(&mut self.running).into_keys();
        let waiting = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|spec| spec.key);
        let end = Some(StreamEnd::Interrupted);
        let ended = running.chain(waiting);
        ended
            .map(|key| StreamEvent {
                key,
                has_token: false,
                end,
            })
            .collect()
    }

    /// Runs one step that starts at `now`.
    ///
    /// Returns the duration of the step and the events at its end, or `None` if no stream runs. An
    /// unavailable engine returns the remaining time without events.
    pub fn step(&mut self, now: Instant) -> Option<(Duration, Vec<StreamEvent>)> {
        if let Some(until) = self.unavailable_until {
            if now < until {
                return Some((until - now, Vec::new()));
            }
            self.unavailable_until = None;
        }
        self.admit_waiting(now);
        if self.running.is_empty() {
            return None;
        }
        let decoding: Vec<StreamKey> = self
            .running
            .values()
            .filter(|stream| stream.remaining_prefill == 0 && stream.ready_at <= now)
            .map(|stream| stream.spec.key)
            .collect();
        let (prefilled, completed) = self.prefill_chunk();
        let duration = self
            .profile
            .step_time(TokenCount(prefilled), decoding.len());
        let mut events = Vec::with_capacity(decoding.len() + completed.len());
        for key in decoding.into_iter().chain(completed) {
            events.extend(self.generate_token(key));
        }
        Some((duration, events))
    }

    fn admit_waiting(&mut self, now: Instant) {
        while let Some(spec) = self.waiting.front().copied() {
            let total_tokens = TokenCount(spec.context_tokens.0 + self.reserved_output(&spec));
            let pieces = self.profile.pieces_for(total_tokens).0;
            let fits = self.used_pieces + pieces <= self.profile.pieces.0;
            if !fits && !self.running.is_empty() {
                return;
            }
            self.waiting.pop_front();
            self.used_pieces += pieces;
            let stream = self.start_stream(now, spec, pieces);
            self.running.insert(spec.key, stream);
        }
    }

    /// Returns the number of output tokens to reserve KV cache memory for.
    ///
    /// A prefill engine generates only the first token and reserves no memory for the others.
    fn reserved_output(&self, spec: &StreamSpec) -> u32 {
        if self.role.decodes() {
            spec.max_output_tokens.0
        } else {
            1
        }
    }

    fn start_stream(&mut self, now: Instant, spec: StreamSpec, pieces: u32) -> RunningStream {
        let mut remaining_prefill = spec.context_tokens.0.max(1);
        let mut ready_at = now;
        if spec.imports_kv_cache {
            let seconds = f64::from(spec.context_tokens.0) * self.profile.import_seconds;
            ready_at = now + Duration::from_secs_f64(seconds);
            remaining_prefill = 0;
        } else if let Some(cached_entry) = self.use_cached_prefix(&spec) {
            let cached = cached_entry.min(remaining_prefill - 1);
            remaining_prefill -= cached;
            self.cached_tokens += u64::from(cached);
        }
        let remaining_output = spec.max_output_tokens.0.max(1);
        RunningStream {
            spec,
            remaining_prefill,
            remaining_output,
            pieces,
            ready_at,
        }
    }

    /// Returns the cached length of the prefix of a stream, and makes the prefix the most recently
    /// used entry of the cache.
    fn use_cached_prefix(&mut self, spec: &StreamSpec) -> Option<u32> {
        let position = self
            .prefix_cache
            .iter()
            .position(|(hash, _)| *hash == spec.prefix_hash);
        let cached_entry = position.and_then(|position| self.prefix_cache.remove(position));
        self.prefix_cache
            .push_back((spec.prefix_hash, spec.prefix_tokens.0));
        if self.prefix_cache.len() > PREFIX_CACHE_ENTRIES {
            self.prefix_cache.pop_front();
        }
        cached_entry.map(|(_, tokens)| tokens)
    }

    fn prefill_chunk(&mut self) -> (u32, Vec<StreamKey>) {
        let mut remaining_chunk = match self.role {
            EngineRole::Prefill => PREFILL_CHUNK_TOKENS,
            _ => self.chunk_tokens,
        };
        let mut order: Vec<(u32, StreamKey)> = self
            .running
            .values()
            .filter(|stream| stream.remaining_prefill > 0)
            .map(|stream| (stream.spec.priority, stream.spec.key))
            .collect();
        order.sort_unstable();
        let mut prefilled = 0;
        let mut completed = Vec::new();
        for (_, key) in order {
            let Some(stream) = self.running.get_mut(&key) else {
                continue;
            };
            let chunk = stream.remaining_prefill.min(remaining_chunk);
            stream.remaining_prefill -= chunk;
            remaining_chunk -= chunk;
            prefilled += chunk;
            if stream.remaining_prefill == 0 {
                completed.push(key);
            }
            if remaining_chunk == 0 {
                break;
            }
        }
        self.computed_tokens += u64::from(prefilled);
        (prefilled, completed)
    }

    fn generate_token(&mut self, key: StreamKey) -> Option<StreamEvent> {
        let decodes = self.role.decodes();
        let stream = self.running.get_mut(&key)?;
        stream.remaining_output -= 1;
        let end = match (stream.remaining_output, decodes) {
            (0, _) => Some(StreamEnd::Finished),
            (_, false) => Some(StreamEnd::Handoff),
            (_, true) => None,
        };
        if end.is_some() {
            let pieces = stream.pieces;
            self.running.remove(&key);
            self.used_pieces -= pieces;
        }
        Some(StreamEvent {
            key,
            has_token: true,
            end,
        })
    }
}
