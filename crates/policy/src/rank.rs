//! Priority ranks of requests, and a map with one value for each rank.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};

/// Priority rank of a request class; ranks that compare as smaller are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceRank {
    /// Interactive requests that a person waits for.
    Urgent,
    /// Requests with a latency target of seconds.
    Ordinary,
    /// Background requests without a tight latency target.
    Patient,
}

impl ServiceRank {
    /// All ranks, the most urgent first.
    pub const ALL: [ServiceRank; 3] = [Self::Urgent, Self::Ordinary, Self::Patient];

    /// Returns the position in [`ServiceRank::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the rank at a position, or the last rank if the position is out of range.
    pub fn from_index(index: usize) -> Self {
        Self::ALL.get(index).copied().unwrap_or(Self::Patient)
    }

    /// Returns the name used in settings and logs.
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

/// Error for a text that is not the name of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("no rank {text:?}; use urgent, ordinary or patient"))]
pub struct RankError {
    text: String,
}

/// Map with one value for each rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RankMap<T>([T; 3]);

impl<T: Serialize> Serialize for RankMap<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<T> RankMap<T> {
    /// Creates a map from a function that returns the value of each rank.
    pub fn from_fn(mut make: impl FnMut(ServiceRank) -> T) -> Self {
        Self(ServiceRank::ALL.map(&mut make))
    }

    /// Returns the ranks and their values, the most urgent first.
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
