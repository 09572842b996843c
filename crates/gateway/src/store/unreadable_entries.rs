//! Keys in the platform's store whose values cannot be read. Others write there too, and each such key
//! costs itself alone.

use std::collections::BTreeMap;

use logs::DecisionKind;

/// Maximum number of keys whose latest cause is remembered.
const MAX_KEYS: usize = 256;

/// What an unreadable key would have held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnreadableKind {
    BackendServer,
    Configuration,
    Member,
    Suspect,
    Versions,
}

impl UnreadableKind {
    /// Returns the kind's name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::BackendServer => "backend_server",
            Self::Configuration => "configuration",
            Self::Member => "member",
            Self::Suspect => "suspect",
            Self::Versions => "versions",
        }
    }

    /// Returns the kind of the log lines about such keys.
    pub(crate) fn decision_kind(self) -> DecisionKind {
        match self {
            Self::BackendServer => DecisionKind::Backend,
            Self::Configuration => DecisionKind::Config,
            Self::Member => DecisionKind::Member,
            Self::Suspect => DecisionKind::Suspect,
            Self::Versions => DecisionKind::Dependency,
        }
    }
}

/// Unreadable keys with their latest causes.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    causes: BTreeMap<String, String>,
}

impl UnreadableEntries {
    /// Records a key. Returns whether its cause is new, so that a key which is written every second is
    /// logged once.
    pub(crate) fn record(&mut self, key: &str, cause: &str) -> bool {
        if self.causes.get(key).is_some_and(|known| known == cause) {
            return false;
        }
        if self.causes.len() >= MAX_KEYS {
            self.causes.pop_first();
        }
        self.causes.insert(key.to_owned(), cause.to_owned());
        true
    }
}
