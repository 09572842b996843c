//! List of a service's software versions in the platform's store, and the version whose streams need no
//! records.

use units::{
    SoftwareVersion,
    StoreEra, //
};

use crate::KnownVersions;

/// Version to which a stream without a record belongs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum BaseVersion {
    /// Streams of several versions may be without a record.
    #[default]
    Undecided,
    /// Only streams of this version are without a record; `None` stands for engines that state none.
    Decided(Option<SoftwareVersion>),
}

impl BaseVersion {
    /// Returns whether streams of a version need no record.
    pub fn is(&self, version: Option<&SoftwareVersion>) -> bool {
        matches!(self, Self::Decided(base) if base.as_ref() == version)
    }
}

/// Versions of one service, as the platform's store lists them for all gateways.
///
/// A gateway hands on the first event of a stream of another version than the base only after the
/// store has acknowledged the stream's record and lists its version. A gateway that reads list and
/// records after a caller has come back to a stream therefore knows its version.
///
/// Without a base, a stream that has no record belongs to no known version. A base whose engines are gone
/// is given up for that reason: streams of other versions then begin also while the store takes no records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionList {
    /// Versions that may have begun a stream which a caller takes up.
    pub versions: KnownVersions,
    /// Version of the streams without a record.
    pub base: BaseVersion,
    /// Era in which the base was decided. Records of an earlier era may be lost.
    pub era: Option<StoreEra>,
}

/// What one gateway knows when it compares a list with the entries of backend servers.
#[derive(Debug, Clone, Default)]
pub struct VersionView {
    /// Versions of the entries.
    pub present: KnownVersions,
    /// Versions that may have begun a stream which a caller takes up. Holds those of the entries.
    pub recent: KnownVersions,
    /// Era of the store.
    pub era: Option<StoreEra>,
    /// Whether the list may be that of an earlier copy of the store.
    pub is_outdated: bool,
    /// Whether all streams that callers may take up began while this gateway saw no base.
    pub has_settled: bool,
}

impl VersionList {
    /// Returns whether streams of a version need a record before their first event.
    pub fn needs_record(&self, version: Option<&SoftwareVersion>) -> bool {
        !self.base.is(version)
    }

    /// Returns whether a version is listed.
    pub fn lists(&self, version: Option<&SoftwareVersion>) -> bool {
        self.versions.contains(&version.cloned())
    }

    /// Returns whether all streams belong to the base.
    pub fn is_single(&self) -> bool {
        match &self.base {
            BaseVersion::Decided(base) => {
                self.versions.len() == 1 && self.versions.contains(base) //
            }
            BaseVersion::Undecided => false,
        }
    }

    /// Returns the list that replaces `saved`, or `None` if that one holds.
    pub fn next(saved: Option<&Self>, view: &VersionView) -> Option<Self> {
        let Some(saved) = saved else {
            let first = Self {
                base: decide(&view.recent, !view.is_outdated),
                versions: view.recent.clone(),
                era: view.era,
            };
            return (!first.versions.is_empty()).then_some(first);
        };
        let mut versions: KnownVersions =
            saved.versions.intersection(&view.recent).cloned().collect();
        versions.extend(view.present.iter().cloned());
        if view.is_outdated {
            versions.extend(view.recent.iter().cloned());
        }
        let base = match &saved.base {
            _ if saved.era != view.era => BaseVersion::Undecided,
            BaseVersion::Undecided => decide(&versions, view.has_settled),
            BaseVersion::Decided(base) if !is_gone(base, view) => {
                versions.insert(base.clone());
                saved.base.clone()
            }
            BaseVersion::Decided(_) => BaseVersion::Undecided,
        };
        let next = Self {
            versions,
            base,
            era: view.era,
        };
        (next != *saved && !next.versions.is_empty()).then_some(next)
    }
}

/// Returns whether a version has no engines while others do.
fn is_gone(version: &Option<SoftwareVersion>, view: &VersionView) -> bool {
    !view.present.is_empty() && !view.present.contains(version)
}

/// Returns the only version as the base if it may be decided now.
fn decide(versions: &KnownVersions, may_decide: bool) -> BaseVersion {
    let mut candidates = versions.iter();
    match (candidates.next(), candidates.next()) {
        (Some(only), None) if may_decide => BaseVersion::Decided(only.clone()),
        _ => BaseVersion::Undecided,
    }
}
