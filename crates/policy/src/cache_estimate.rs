//! Estimate of the prompt segments in one engine's prefix cache.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use units::SegmentId;

use crate::PromptLayout;

/// Share of the engine's KV cache memory expected to hold shared segments; running requests take
/// the rest.
const SEGMENT_CACHE_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct CachedSegment {
    tokens: u32,
    last_use: u64,
}

/// Segments expected in the prefix cache, with least-recently-used eviction. `by_last_use` orders
/// them by a counter that increments with each use.
#[derive(Debug, Clone, Default)]
pub(crate) struct CacheEstimate {
    segments: BTreeMap<SegmentId, CachedSegment>,
    by_last_use: BTreeMap<u64, SegmentId>,
    use_count: u64,
    tokens: u64,
}

impl CacheEstimate {
    /// Returns the number of prompt tokens expected in the cache. A segment counts only if all
    /// segments before it are cached.
    pub(crate) fn cached_tokens(&self, layout: &PromptLayout) -> u32 {
        let cached = layout.segments().iter().map_while(|segment| {
            let is_cached = self.segments.contains_key(&segment.id);
            is_cached.then_some(segment.tokens.0)
        });
        cached.sum()
    }

    /// Records that the engine prefills a prompt and caches its shared segments, that is, all but
    /// the last. Evicts segments beyond the share of `capacity_tokens`.
    pub(crate) fn record_prefill(&mut self, layout: &PromptLayout, capacity_tokens: u64) {
        let shared = layout.segments().len().saturating_sub(1);
        for segment in &layout.segments()[..shared] {
            self.touch(segment.id, segment.tokens.0);
        }
        self.evict(capacity_tokens);
    }

    /// Returns the number of uses so far, by which later ones can be told apart.
    pub(crate) fn use_count(&self) -> u64 {
        self.use_count
    }

    /// Replaces the segments by those that the engine lists. Those used since `asked_at_use` stay, since the
    /// list may be older.
    pub(crate) fn replace(
        &mut self,
        listed: &[(SegmentId, u32)],
        asked_at_use: u64,
        capacity_tokens: u64,
    ) {
        let ids: BTreeSet<SegmentId> = listed.iter().map(|(id, _)| *id).collect();
        let segments = self.segments.iter();
        let gone = segments.filter(|(id, segment)| {
            segment.last_use <= asked_at_use && !ids.contains(id) //
        });
        let gone: Vec<SegmentId> = gone.map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.remove(id));
        for (id, tokens) in listed {
            if !self.segments.contains_key(id) {
                self.touch(*id, *tokens);
            }
        }
        self.evict(capacity_tokens);
    }

    fn evict(&mut self, capacity_tokens: u64) {
        let limit = (capacity_tokens as f64 * SEGMENT_CACHE_SHARE) as u64;
        while self.tokens > limit {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, id: SegmentId) {
        if let Some(segment) = self.segments.remove(&id) {
            self.by_last_use.remove(&segment.last_use);
            self.tokens -= u64::from(segment.tokens);
        }
    }

    /// Removes all segments, as after a restart of the engine.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn touch(&mut self, id: SegmentId, tokens: u32) {
        self.use_count += 1;
        let last_use = self.use_count;
        self.remove(id);
        self.segments.insert(id, CachedSegment { tokens, last_use });
        self.tokens += u64::from(tokens);
        self.by_last_use.insert(last_use, id);
    }
}
