//! Prompt tokens that wait for prefill on an engine, by queue position.

/// Number of ranks with a queue position of their own; less urgent ranks share the last of these.
const DISTINCT_RANKS: u8 = 3;
/// Number of queue positions, including [`QueuePosition::LAST`].
const POSITION_COUNT: usize = DISTINCT_RANKS as usize + 1;

/// Position of a prompt in the order in which an engine prefills prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition(u8);

impl QueuePosition {
    /// Position after all ranks.
    pub const LAST: Self = Self(DISTINCT_RANKS);

    /// Returns the position of a rank, 0 being the most urgent.
    pub fn for_rank(rank: u8) -> Self {
        Self(rank.min(DISTINCT_RANKS - 1))
    }
}

/// Prompt tokens by queue position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillBacklog([u64; POSITION_COUNT]);

impl PrefillBacklog {
    /// Empty backlog.
    pub const NONE: Self = Self([0; POSITION_COUNT]);

    /// Creates the backlog of one prompt.
    pub fn new(position: QueuePosition, tokens: u64) -> Self {
        let mut backlog = Self::NONE;
        backlog.0[usize::from(position.0)] = tokens;
        backlog
    }

    /// Creates a backlog from token counts by position; missing positions count as zero.
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut backlog = Self::NONE;
        for (tokens, count) in backlog.0.iter_mut().zip(counts) {
            *tokens = u64::from(*count);
        }
        backlog
    }

    /// Returns the token counts by position.
    pub fn counts(self) -> Vec<u32> {
        let counts = self.0.iter();
        counts
            .map(|tokens| u32::try_from(*tokens).unwrap_or(u32::MAX))
            .collect()
    }

    /// Adds another backlog.
    pub fn add(&mut self, other: Self) {
        for (tokens, added) in self.0.iter_mut().zip(other.0) {
            *tokens += added;
        }
    }

    /// Subtracts another backlog, saturating at zero.
    pub fn subtract(&mut self, other: Self) {
        for (tokens, removed) in self.0.iter_mut().zip(other.0) {
            *tokens = tokens.saturating_sub(removed);
        }
    }

    /// Returns the backlog multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|tokens| (tokens as f64 * factor) as u64))
    }

    /// Returns the number of tokens at all positions.
    pub fn total_tokens(self) -> u64 {
        self.0.iter().sum()
    }

    /// Returns the number of tokens that are prefilled before a new prompt at `position`.
    pub fn tokens_ahead(self, position: QueuePosition) -> u64 {
        self.0[..=usize::from(position.0)].iter().sum()
    }
}
