//! Order of configurations, so that one that a peer holds never brings back what a later one removed.

use units::{
    ConfigVersion,
    StoreEra, //
};

/// Position of a configuration in the history of the store. The order is that of the store: a later
/// era goes before an earlier one, then the later revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigPosition {
    /// Era of the store in which the configuration was read, or `None` if the store tells no era.
    pub era: Option<StoreEra>,
    /// Revision of the latest write of its key that the holder knows of.
    pub revision: u64,
    /// Version that the operators gave it.
    pub version: ConfigVersion,
}

impl ConfigPosition {
    /// Returns whether a configuration at this position replaces the one at `own`. Both the store's
    /// order and the version must be later.
    pub fn replaces(&self, own: Option<&Self>) -> bool {
        own.is_none_or(|own| self > own && self.version > own.version)
    }

    /// Returns the position of the configuration in force after the store has shown another one at
    /// `seen` that does not replace it. Its holder has compared both.
    #[must_use]
    pub fn confirmed_at(self, seen: Self) -> Self {
        let is_later = (seen.era, seen.revision) > (self.era, self.revision);
        if !is_later {
            return self;
        }
        Self {
            version: self.version,
            ..seen
        }
    }
}
