//! Prompt tokens that an engine has to read, by the order in which it takes them.

/// Ranks that are told apart; less urgent ones count as the last of them.
const DISTINCT_RANKS: u8 = 3;
const POSITION_COUNT: usize = DISTINCT_RANKS as usize + 1;

/// Place of a prompt in the order in which an engine takes prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition(u8);

impl QueuePosition {
    /// After all others.
    pub const LAST: Self = Self(DISTINCT_RANKS);

    /// The place of a rank, 0 being the most urgent.
    pub fn for_rank(rank: u8) -> Self {
        Self(rank.min(DISTINCT_RANKS - 1))
    }
}

/// Prompt tokens by place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillBacklog([u64; POSITION_COUNT]);

impl PrefillBacklog {
    /// Nothing to read.
    pub const NONE: Self = Self([0; POSITION_COUNT]);

    /// One prompt.
    pub fn new(position: QueuePosition, tokens: u64) -> Self {
        let mut backlog = Self::NONE;
        backlog.0[usize::from(position.0)] = tokens;
        backlog
    }

    /// Reads counts by place; places that are missing have none.
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut backlog = Self::NONE;
        for (tokens, count) in backlog.0.iter_mut().zip(counts) {
            *tokens = u64::from(*count);
        }
        backlog
    }

    /// Counts by place.
    pub fn counts(self) -> Vec<u32> {
        let counts = self.0.iter();
        counts
            .map(|tokens| u32::try_from(*tokens).unwrap_or(u32::MAX))
            .collect()
    }

    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        for (tokens, added) in self.0.iter_mut().zip(other.0) {
            *tokens += added;
        }
    }

    /// Takes a load away.
    pub fn subtract(&mut self, other: Self) {
        for (tokens, removed) in self.0.iter_mut().zip(other.0) {
            *tokens = tokens.saturating_sub(removed);
        }
    }

    /// The load times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|tokens| (tokens as f64 * factor) as u64))
    }

    /// All tokens.
    pub fn total_tokens(self) -> u64 {
        self.0.iter().sum()
    }

    /// Tokens that are read before a new prompt of some place.
    pub fn tokens_ahead(self, position: QueuePosition) -> u64 {
        self.0[..=usize::from(position.0)].iter().sum()
    }
}
