//! Configuration of the whole system, stored as one versioned document.

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
    KeyDigest,
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
    ConfError, //
};

/// Number of changes that the configuration keeps in its history.
const MAX_HISTORY_LENGTH: usize = 64;

/// Configuration of a plain service.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Calls of the service by name.
    pub calls: BTreeMap<CallName, CallConfig>,
}

/// Everything that operators configure while the system runs, with its version.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SystemConfig {
    /// Version, which each accepted change increments.
    #[serde(default)]
    pub version: ConfigVersion,
    /// Latest changes, oldest first.
    #[serde(default)]
    pub history: VecDeque<ChangeRecord>,
    /// Request class of requests that name none.
    #[serde(default)]
    pub default_class: Option<ClassName>,
    /// Request classes by name.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Models that callers may request.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Callers' accounts by name. If there are none, all callers share one anonymous account.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountConfig>,
    /// Instances that are being drained for a planned stop.
    #[serde(default)]
    pub drains: BTreeSet<InstanceId>,
}

impl SystemConfig {
    /// Parses a configuration from JSON and checks its values.
    pub fn from_json(text: &[u8]) -> Result<Self, ConfError> {
        let config: Self = parse_json(text)?;
        config.check()?;
        Ok(config)
    }

    /// Returns the configuration as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        // Cannot fail: numbers and maps with string keys always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Increments the version and appends the write that made it to the history.
    pub fn record_change(&mut self, write_id: String, note: String) {
        self.version.0 += 1;
        let version = self.version;
        self.history.push_back(ChangeRecord {
            version,
            write_id,
            note,
        });
        while self.history.len() > MAX_HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Returns whether the history contains a write, as the latest change or an earlier one.
    pub fn contains_write(&self, write_id: &str) -> bool {
        self.history
            .iter()
            .any(|change| change.write_id == write_id)
    }

    /// Checks the ranges of values and the references between them.
    pub fn check(&self) -> Result<(), ConfError> {
        for (name, target) in &self.classes {
            target.check(&format!("classes.{name}"))?;
        }
        for (name, service) in &self.services {
            for (call, call_config) in &service.calls {
                call_config.check(&format!("services.{name}.calls.{call}"))?;
            }
        }
        self.check_accounts()?;
        let Some(default_class) = &self.default_class else {
            return Ok(());
        };
        let class_exists = self.classes.contains_key(default_class);
        let problem = format!("request class {default_class} does not exist");
        require(
            class_exists,
            "default_class",
            problem,
            "name one of the configured classes",
        )
    }

    fn check_accounts(&self) -> Result<(), ConfError> {
        let mut digests = BTreeSet::new();
        for (name, account) in &self.accounts {
            let path = format!("accounts.{name}");
            account.check(&path)?;
            let is_unique = digests.insert(&account.key_sha256);
            let problem = "another account has the same key";
            require(
                is_unique,
                format!("{path}.key_sha256"),
                problem,
                "give each account its own key",
            )?;
        }
        Ok(())
    }

    /// Returns the account whose key has the given digest.
    pub fn find_account(&self, digest: &KeyDigest) -> Option<(&AccountName, &AccountConfig)> {
        let mut accounts = self.accounts.iter();
        accounts.find(|(_, account)| account.key_sha256 == *digest)
    }

    /// Returns the minimum share of work of each rank, in proportion to the total worth of its
    /// request classes.
    pub fn minimum_shares(&self) -> RankMap<f64> {
        let worth_of = |rank: ServiceRank| -> f64 {
            let targets = self.classes.values();
            let rank_targets = targets.filter(|target| target.rank == rank);
            rank_targets.map(|target| f64::from(target.worth.0)).sum()
        };
        let total_worth: f64 = ServiceRank::ALL.into_iter().map(worth_of).sum();
        RankMap::from_fn(|rank| {
            if total_worth > 0.0 {
                MINIMUM_SHARE_TOTAL * worth_of(rank) / total_worth
            } else {
                0.0
            }
        })
    }
}
