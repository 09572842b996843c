//! The operators' configuration as one versioned document.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use policy::{
    MINIMUM_SHARE_TOTAL,
    RankMap,
    ServiceRank, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    AccountName,
    CallName,
    ClassName,
    ConfigVersion,
    InstanceId,
    ModelName,
    ServiceName, //
};

use crate::check::require;
use crate::read::parse_json;
use crate::{
    AccountConfig,
    CallConfig,
    ChangeRecord,
    ClassTarget,
    ConfError,
    KeyDigest, //
};

/// Changes that the document remembers.
const HISTORY_LIMIT: usize = 64;

/// Calls of one plain service.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Calls by name.
    pub calls: BTreeMap<CallName, CallConfig>,
}

/// Everything operators state, with its version.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SystemConfig {
    /// Version; each accepted change adds one.
    #[serde(default)]
    pub version: ConfigVersion,
    /// The latest changes, the newest last.
    #[serde(default)]
    pub history: VecDeque<ChangeRecord>,
    /// Class of requests that name none.
    #[serde(default)]
    pub default_class: Option<ClassName>,
    /// Classes of work.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Models that callers may ask for.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Callers' accounts; without any, all callers are one anonymous account.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountConfig>,
    /// Instances that are being emptied for a planned stop.
    #[serde(default)]
    pub drains: BTreeSet<InstanceId>,
}

impl SystemConfig {
    /// Parses and checks a document.
    pub fn from_json(text: &[u8]) -> Result<Self, ConfError> {
        let book: Self = parse_json(text)?;
        book.check()?;
        Ok(book)
    }

    /// The document as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        // Maps with text keys and numbers have a JSON form always.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Counts the version up and remembers the write that made it.
    pub fn record_change(&mut self, write_id: String, note: String) {
        self.version.0 += 1;
        let version = self.version;
        self.history.push_back(ChangeRecord {
            version,
            write_id,
            note,
        });
        while self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    /// Whether a write took effect, now or under a later one.
    pub fn contains_write(&self, write_id: &str) -> bool {
        self.history
            .iter()
            .any(|change| change.write_id == write_id)
    }

    /// Checks ranges and references.
    pub fn check(&self) -> Result<(), ConfError> {
        for (name, target) in &self.classes {
            target.check(&format!("classes.{name}"))?;
        }
        for (name, service) in &self.services {
            for (call, rule) in &service.calls {
                rule.check(&format!("services.{name}.calls.{call}"))?;
            }
        }
        self.check_accounts()?;
        let Some(default) = &self.default_class else {
            return Ok(());
        };
        let known = self.classes.contains_key(default);
        let problem = format!("class {default} does not exist");
        require(known, "default_class", problem, "name one of classes")
    }

    fn check_accounts(&self) -> Result<(), ConfError> {
        let mut digests = BTreeSet::new();
        for (name, rule) in &self.accounts {
            let path = format!("accounts.{name}");
            rule.check(&path)?;
            let fresh = digests.insert(&rule.key_sha256);
            let problem = "another account has the same key";
            require(
                fresh,
                format!("{path}.key_sha256"),
                problem,
                "give each account its own key",
            )?;
        }
        Ok(())
    }

    /// The account with a key.
    pub fn find_account(&self, digest: &KeyDigest) -> Option<(&AccountName, &AccountConfig)> {
        let mut accounts = self.accounts.iter();
        accounts.find(|(_, rule)| rule.key_sha256 == *digest)
    }

    /// Floor share of work of each rank, by the worth of its classes.
    pub fn minimum_shares(&self) -> RankMap<f64> {
        let worth_of = |rank: ServiceRank| -> f64 {
            let targets = self.classes.values();
            let own = targets.filter(|target| target.rank == rank);
            own.map(|target| f64::from(target.worth.0)).sum()
        };
        let total: f64 = ServiceRank::ALL.into_iter().map(worth_of).sum();
        RankMap::from_fn(|rank| {
            if total > 0.0 {
                MINIMUM_SHARE_TOTAL * worth_of(rank) / total
            } else {
                0.0
            }
        })
    }
}
