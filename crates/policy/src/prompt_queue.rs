//! Prompt tokens that wait at an engine, by the rank of their requests.

/// Ranks that are told apart; less urgent ones count as the last.
pub const QUEUE_RANKS: usize = 4;

/// Tokens still to be read, by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptQueue {
    tokens: [u64; QUEUE_RANKS],
}

impl PromptQueue {
    /// Tokens of one rank.
    pub fn of(rank: u8, tokens: u64) -> Self {
        let mut queue = Self::default();
        queue.tokens[usize::from(rank).min(QUEUE_RANKS - 1)] = tokens;
        queue
    }

    /// Tokens of each rank.
    pub fn from_ranks(tokens: [u64; QUEUE_RANKS]) -> Self {
        Self { tokens }
    }

    /// Tokens of each rank.
    pub fn ranks(self) -> [u64; QUEUE_RANKS] {
        self.tokens
    }

    /// Tokens of all ranks.
    pub fn total(self) -> u64 {
        self.tokens.iter().sum()
    }

    /// Tokens that are read before those of a new request of a rank.
    pub fn ahead_of(self, rank: u8) -> u64 {
        let ranks = usize::from(rank).min(QUEUE_RANKS - 1) + 1;
        self.tokens[..ranks].iter().sum()
    }

    /// Counts more tokens.
    pub fn add(&mut self, other: Self) {
        for (own, more) in self.tokens.iter_mut().zip(other.tokens) {
            *own += more;
        }
    }

    /// Counts tokens as read.
    pub fn subtract(&mut self, other: Self) {
        for (own, less) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_sub(less);
        }
    }

    /// Both together.
    #[must_use]
    pub fn sum(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    /// Each rank's tokens multiplied.
    #[must_use]
    pub fn scale(self, factor: f64) -> Self {
        Self {
            tokens: self.tokens.map(|tokens| (tokens as f64 * factor) as u64),
        }
    }
}
