//! The three ranks of work and a value for each.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};

/// Rank of a class of work; a smaller rank is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceRank {
    /// Somebody is standing there and waits.
    Urgent,
    /// Work with a target of seconds.
    Ordinary,
    /// Work that may take its time.
    Patient,
}

impl ServiceRank {
    /// Every rank, the first served first.
    pub const ALL: [ServiceRank; 3] = [Self::Urgent, Self::Ordinary, Self::Patient];

    /// Position in [`ServiceRank::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The rank at a position, the last one when the position is beyond it.
    pub fn from_index(index: usize) -> Self {
        Self::ALL.get(index).copied().unwrap_or(Self::Patient)
    }

    /// The rank's name in settings and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Patient => "patient",
        }
    }
}

impl fmt::Display for ServiceRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ServiceRank {
    type Err = RankError;

    fn from_str(text: &str) -> Result<Self, RankError> {
        let found = Self::ALL.into_iter().find(|rank| rank.as_str() == text);
        found.ok_or_else(|| RankError { text: text.into() })
    }
}

/// A text that names no rank.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("no rank {text:?}; use urgent, ordinary or patient"))]
pub struct RankError {
    text: String,
}

/// One value for each rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RankMap<T>([T; 3]);

impl<T: Serialize> Serialize for RankMap<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<T> RankMap<T> {
    /// Makes the value of each rank with a function.
    pub fn from_fn(mut make: impl FnMut(ServiceRank) -> T) -> Self {
        Self(ServiceRank::ALL.map(&mut make))
    }

    /// Ranks with their values, the first served first.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceRank, &T)> {
        ServiceRank::ALL.into_iter().zip(&self.0)
    }
}

impl<T> std::ops::Index<ServiceRank> for RankMap<T> {
    type Output = T;

    fn index(&self, rank: ServiceRank) -> &T {
        &self.0[rank.index()]
    }
}

impl<T> std::ops::IndexMut<ServiceRank> for RankMap<T> {
    fn index_mut(&mut self, rank: ServiceRank) -> &mut T {
        &mut self.0[rank.index()]
    }
}
