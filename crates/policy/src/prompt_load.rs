//! Prompt tokens that an engine has to read, by the order in which it takes them.

/// Ranks that are told apart; less urgent ones count as the last of them.
const RANK_COUNT: u8 = 3;
const PLACE_COUNT: usize = RANK_COUNT as usize + 1;

/// Place of a prompt in the order in which an engine takes prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadPlace(u8);

impl ReadPlace {
    /// After all others.
    pub const LAST: Self = Self(RANK_COUNT);

    /// The place of a rank, 0 being the most urgent.
    pub fn of_rank(rank: u8) -> Self {
        Self(rank.min(RANK_COUNT - 1))
    }
}

/// Prompt tokens by place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptLoad([u64; PLACE_COUNT]);

impl PromptLoad {
    /// Nothing to read.
    pub const NONE: Self = Self([0; PLACE_COUNT]);

    /// One prompt.
    pub fn new(place: ReadPlace, tokens: u64) -> Self {
        let mut load = Self::NONE;
        load.0[usize::from(place.0)] = tokens;
        load
    }

    /// Reads counts by place; places that are missing have none.
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut load = Self::NONE;
        for (tokens, count) in load.0.iter_mut().zip(counts) {
            *tokens = u64::from(*count);
        }
        load
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
        for (tokens, more) in self.0.iter_mut().zip(other.0) {
            *tokens += more;
        }
    }

    /// Takes a load away.
    pub fn subtract(&mut self, other: Self) {
        for (tokens, less) in self.0.iter_mut().zip(other.0) {
            *tokens = tokens.saturating_sub(less);
        }
    }

    /// The load times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self(self.0.map(|tokens| (tokens as f64 * factor) as u64))
    }

    /// All tokens.
    pub fn total(self) -> u64 {
        self.0.iter().sum()
    }

    /// Tokens that are read before a new prompt of some place.
    pub fn before(self, place: ReadPlace) -> u64 {
        self.0[..=usize::from(place.0)].iter().sum()
    }
}
