//! List of a service's software versions as JSON, for the platform's store.

use policy::{
    BaseVersion,
    VersionList, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    SoftwareVersion,
    StoreEra, //
};

/// Maximum number of versions in a list.
const MAX_VERSIONS: usize = 64;

/// Version of an entry; `null` stands for engines that state none.
type VersionName = Option<String>;

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct VersionDocument {
    versions: Vec<VersionName>,
    /// The base as a list of one version; empty if it is undecided.
    #[serde(default)]
    base: Vec<VersionName>,
    #[serde(default)]
    era: Option<u64>,
}

fn name(version: &Option<SoftwareVersion>) -> VersionName {
    version.as_ref().map(SoftwareVersion::to_string)
}

fn parse(name: VersionName) -> Option<SoftwareVersion> {
    name.and_then(|name| name.parse().ok())
}

impl VersionDocument {
    pub(crate) fn encode(list: &VersionList) -> Vec<u8> {
        let base = match &list.base {
            BaseVersion::Undecided => Vec::new(),
            BaseVersion::Decided(base) => vec![name(base)],
        };
        let document = Self {
            versions: list.versions.iter().map(name).collect(),
            base,
            era: list.era.map(|era| era.0),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Decodes a list. One without a readable base has none.
    pub(crate) fn decode(value: &[u8]) -> Result<VersionList, serde_json::Error> {
        let document: Self = serde_json::from_slice(value)?;
        let versions = document.versions.into_iter().take(MAX_VERSIONS);
        let mut base = document.base.into_iter();
        let base = match (base.next(), base.next()) {
            (Some(base), None) => BaseVersion::Decided(parse(base)),
            _ => BaseVersion::Undecided,
        };
        Ok(VersionList {
            versions: versions.map(parse).collect(),
            base,
            era: document.era.map(StoreEra),
        })
    }
}
