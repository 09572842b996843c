//! Load that other gateways have sent to backend servers, as they last said.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    IncarnationId,
    InstanceId, //
};

use crate::OpenWork;

/// Age from which a peer's word is dropped.
const WORD_LIFETIME: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone)]
struct PeerWord {
    at: Instant,
    incarnation: IncarnationId,
    number: u64,
    loads: BTreeMap<u32, OpenWork>,
}

/// The last word of each peer.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    words: BTreeMap<InstanceId, PeerWord>,
}

impl PeerLoads {
    /// Takes a peer's word; false when a newer one of the same run is known.
    pub fn take(
        &mut self,
        now: Instant,
        peer: InstanceId,
        incarnation: IncarnationId,
        number: u64,
        loads: BTreeMap<u32, OpenWork>,
    ) -> bool {
        let known = self.words.get(&peer);
        if known.is_some_and(|word| word.incarnation == incarnation && word.number >= number) {
            return false;
        }
        let word = PeerWord {
            at: now,
            incarnation,
            number,
            loads,
        };
        self.words.insert(peer, word);
        true
    }

    /// Drops words that are too old and gives the number of peers heard.
    pub fn refresh(&mut self, now: Instant) -> usize {
        self.words.retain(|_, word| now < word.at + WORD_LIFETIME);
        self.words.len()
    }

    /// Load of all `others` gateways at a backend server, taken from the peers heard.
    pub fn at(&self, backend: u32, others: usize) -> OpenWork {
        let heard = self.words.len();
        let mut total = OpenWork::default();
        for word in self.words.values() {
            total.add(word.loads.get(&backend).copied().unwrap_or_default());
        }
        if heard == 0 || others <= heard {
            return total;
        }
        let factor = others as f64 / heard as f64;
        OpenWork {
            requests: (f64::from(total.requests) * factor) as u32,
            prompts: total.prompts.scaled(factor),
            memory_tokens: (total.memory_tokens as f64 * factor) as u64,
        }
    }
}
