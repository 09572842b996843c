//! Which shared parts of prompts one engine is thought to keep.

use std::collections::BTreeMap;

use units::SegmentId;

use crate::PromptChain;

/// Share of the engine's memory that is counted on for shared parts; running requests take the
/// rest.
const KEPT_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    tokens: u32,
    used: u64,
}

/// Parts in the order of their last use, up to the engine's memory.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartMemory {
    parts: BTreeMap<SegmentId, KeptPart>,
    order: BTreeMap<u64, SegmentId>,
    clock: u64,
    tokens: u64,
}

impl PartMemory {
    /// Tokens of the chain that need not be read again: a part counts if all before it do.
    pub(crate) fn cached_tokens(&self, chain: &PromptChain) -> u32 {
        let kept = chain.parts().iter().map_while(|part| {
            let known = self.parts.contains_key(&part.id);
            known.then_some(part.tokens.0)
        });
        kept.sum()
    }

    /// Notes that the engine reads a chain; its last part is not shared and is left out.
    pub(crate) fn read(&mut self, chain: &PromptChain, memory_tokens: u64) {
        let shared = chain.parts().len().saturating_sub(1);
        for part in &chain.parts()[..shared] {
            self.touch(part.id, part.tokens.0);
        }
        let limit = (memory_tokens as f64 * KEPT_SHARE) as u64;
        while self.tokens > limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            let removed = self.parts.remove(&oldest);
            self.tokens -= removed.map_or(0, |part| u64::from(part.tokens));
        }
    }

    /// Forgets everything, as after a restart.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn touch(&mut self, id: SegmentId, tokens: u32) {
        self.clock += 1;
        let used = self.clock;
        if let Some(before) = self.parts.insert(id, KeptPart { tokens, used }) {
            self.order.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.tokens += u64::from(tokens);
        self.order.insert(used, id);
    }
}
