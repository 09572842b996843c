//! A model engine in virtual time: continuous batching, chunked prefill, KV pieces, prefix cache.

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

/// Prompt tokens in a step beside running streams.
const MIXED_CHUNK: u32 = 256;
/// Prompt tokens in a step of an engine that prefills alone.
const PREFILL_CHUNK: u32 = 2_048;
/// Prefixes that an engine keeps.
const PREFIX_SLOTS: usize = 64;

/// A stream's key, given by the engine's user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

/// A stream to run.
#[derive(Debug, Clone, Copy)]
pub struct StreamSpec {
    /// Key, unique on its engine.
    pub key: StreamKey,
    /// Priority; a smaller one goes first.
    pub priority: u32,
    /// Tokens to compute before the first new one: the prompt and what was handed out.
    pub context: TokenCount,
    /// Tokens still to generate.
    pub output: TokenCount,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Length of that prefix.
    pub prefix_tokens: TokenCount,
    /// Whether the context is imported rather than computed.
    pub imported: bool,
}

/// How a stream left the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// All tokens were generated.
    Finished,
    /// The engine prefills only; the stream goes on elsewhere.
    Handoff,
    /// A role change or a crash ended it.
    Interrupted,
}

/// A token, or the end of a stream, at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenEvent {
    /// The stream.
    pub key: StreamKey,
    /// Whether a token was generated.
    pub token: bool,
    /// Whether and how the stream ended.
    pub end: Option<StreamEnd>,
}

#[derive(Debug, Clone)]
struct Stream {
    spec: StreamSpec,
    prefill_left: u32,
    output_left: u32,
    pieces: u32,
    ready_at: Instant,
}

/// An engine that is stepped by its user.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    role: EngineRole,
    waiting: VecDeque<StreamSpec>,
    running: BTreeMap<StreamKey, Stream>,
    used: u32,
    prefixes: VecDeque<(u64, u32)>,
    away_until: Option<Instant>,
    hit_tokens: u64,
    prefill_tokens: u64,
    chunk: u32,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(profile: EngineProfile, role: EngineRole) -> Self {
        Self {
            profile,
            role,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            used: 0,
            prefixes: VecDeque::new(),
            away_until: None,
            hit_tokens: 0,
            prefill_tokens: 0,
            chunk: MIXED_CHUNK,
        }
    }

    /// What the engine says of itself.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Role, or the one being changed to.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Until when a role change or a restart takes the engine away.
    pub fn away_until(&self) -> Option<Instant> {
        self.away_until
    }

    /// KV pieces in use.
    pub fn used(&self) -> PieceCount {
        PieceCount(self.used)
    }

    /// Streams in the engine, waiting ones included.
    pub fn streams(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Prompt tokens found in the prefix cache, and computed.
    pub fn prefill_counts(&self) -> (u64, u64) {
        (self.hit_tokens, self.prefill_tokens)
    }

    /// Adds a stream.
    pub fn submit(&mut self, spec: StreamSpec) {
        let behind = |other: &StreamSpec| other.priority > spec.priority;
        let place = self.waiting.iter().position(behind);
        self.waiting
            .insert(place.unwrap_or(self.waiting.len()), spec);
    }

    /// Ends a stream whose tokens nobody wants; false when it is not there.
    pub fn cancel(&mut self, key: StreamKey) -> bool {
        let before = self.streams();
        self.waiting.retain(|spec| spec.key != key);
        if let Some(stream) = self.running.remove(&key) {
            self.used -= stream.pieces;
        }
        self.streams() < before
    }

    /// Starts a role change, which ends all streams and takes the engine away.
    pub fn change_role(&mut self, now: Instant, role: EngineRole) -> Vec<TokenEvent> {
        self.role = role;
        let away = Duration::from_secs_f64(self.profile.role_change_seconds);
        self.leave(now + away)
    }

    /// Loses the prefix cache.
    pub fn drop_prefixes(&mut self) {
        self.prefixes.clear();
    }

    /// Loses all streams and caches, until a time.
    pub fn crash(&mut self, until: Instant) -> Vec<TokenEvent> {
        self.prefixes.clear();
        self.leave(until)
    }

    fn leave(&mut self, until: Instant) -> Vec<TokenEvent> {
        self.away_until = Some(until);
        self.used = 0;
        let running = std::mem::take(&mut self.running).into_keys();
        let waiting = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|spec| spec.key);
        let end = Some(StreamEnd::Interrupted);
        let ended = running.chain(waiting);
        ended
            .map(|key| TokenEvent {
                key,
                token: false,
                end,
            })
            .collect()
    }

    /// Runs one step from `now`; gives its duration and what stands at its end, or none when idle.
    pub fn step(&mut self, now: Instant) -> Option<(Duration, Vec<TokenEvent>)> {
        if let Some(until) = self.away_until {
            if now < until {
                return Some((until - now, Vec::new()));
            }
            self.away_until = None;
        }
        self.admit(now);
        if self.running.is_empty() {
            return None;
        }
        let decoding: Vec<StreamKey> = self
            .running
            .values()
            .filter(|stream| stream.prefill_left == 0 && stream.ready_at <= now)
            .map(|stream| stream.spec.key)
            .collect();
        let (prefilled, completed) = self.prefill_chunk();
        let duration = self
            .profile
            .step_time(TokenCount(prefilled), decoding.len());
        let mut events = Vec::with_capacity(decoding.len() + completed.len());
        for key in decoding.into_iter().chain(completed) {
            events.extend(self.generate(key));
        }
        Some((duration, events))
    }

    fn admit(&mut self, now: Instant) {
        while let Some(spec) = self.waiting.front().copied() {
            let whole = TokenCount(spec.context.0 + self.reserved_output(&spec));
            let pieces = self.profile.pieces_for(whole).0;
            let fits = self.used + pieces <= self.profile.pieces.0;
            if !fits && !self.running.is_empty() {
                return;
            }
            self.waiting.pop_front();
            self.used += pieces;
            let stream = self.start(now, spec, pieces);
            self.running.insert(spec.key, stream);
        }
    }

    /// An engine that prefills only holds no memory for the output.
    fn reserved_output(&self, spec: &StreamSpec) -> u32 {
        if self.role.decodes() {
            spec.output.0
        } else {
            1
        }
    }

    fn start(&mut self, now: Instant, spec: StreamSpec, pieces: u32) -> Stream {
        let mut prefill_left = spec.context.0.max(1);
        let mut ready_at = now;
        if spec.imported {
            let seconds = f64::from(spec.context.0) * self.profile.import_seconds;
            ready_at = now + Duration::from_secs_f64(seconds);
            prefill_left = 0;
        } else if let Some(found) = self.touch_prefix(&spec) {
            let hit = found.min(prefill_left - 1);
            prefill_left -= hit;
            self.hit_tokens += u64::from(hit);
        }
        let output_left = spec.output.0.max(1);
        Stream {
            spec,
            prefill_left,
            output_left,
            pieces,
            ready_at,
        }
    }

    /// Gives the cached length of a stream's prefix, and keeps the prefix from here on.
    fn touch_prefix(&mut self, spec: &StreamSpec) -> Option<u32> {
        let place = self
            .prefixes
            .iter()
            .position(|(hash, _)| *hash == spec.prefix);
        let found = place.and_then(|place| self.prefixes.remove(place));
        self.prefixes.push_back((spec.prefix, spec.prefix_tokens.0));
        if self.prefixes.len() > PREFIX_SLOTS {
            self.prefixes.pop_front();
        }
        found.map(|(_, tokens)| tokens)
    }

    fn prefill_chunk(&mut self) -> (u32, Vec<StreamKey>) {
        let mut room = match self.role {
            EngineRole::Prefill => PREFILL_CHUNK,
            _ => self.chunk,
        };
        let mut order: Vec<(u32, StreamKey)> = self
            .running
            .values()
            .filter(|stream| stream.prefill_left > 0)
            .map(|stream| (stream.spec.priority, stream.spec.key))
            .collect();
        order.sort_unstable();
        let mut prefilled = 0;
        let mut completed = Vec::new();
        for (_, key) in order {
            let Some(stream) = self.running.get_mut(&key) else {
                continue;
            };
            let part = stream.prefill_left.min(room);
            stream.prefill_left -= part;
            room -= part;
            prefilled += part;
            if stream.prefill_left == 0 {
                completed.push(key);
            }
            if room == 0 {
                break;
            }
        }
        self.prefill_tokens += u64::from(prefilled);
        (prefilled, completed)
    }

    fn generate(&mut self, key: StreamKey) -> Option<TokenEvent> {
        let generates = self.role.decodes();
        let stream = self.running.get_mut(&key)?;
        stream.output_left -= 1;
        let end = match (stream.output_left, generates) {
            (0, _) => Some(StreamEnd::Finished),
            (_, false) => Some(StreamEnd::Handoff),
            (_, true) => None,
        };
        if end.is_some() {
            let pieces = stream.pieces;
            self.running.remove(&key);
            self.used -= pieces;
        }
        Some(TokenEvent {
            key,
            token: true,
            end,
        })
    }
}
