//! Accounts of the configuration, found by the keys of callers.

use std::collections::BTreeMap;

use units::{
    AccountName,
    KeyDigest, //
};

/// Maximum number of keys of one account. Keys are rotated, so that an account has few at a time.
pub const MAX_ACCOUNT_KEYS: usize = 256;

/// Account as the configuration states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountSpec {
    /// Name.
    pub name: AccountName,
    /// Rank of the account's requests, which replaces that of their routes.
    pub rank: Option<u8>,
    /// Digests of the keys that its callers may present.
    pub keys: Vec<KeyDigest>,
}

/// Key that a caller presents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum CallerKey {
    /// No key.
    #[default]
    Absent,
    /// One key.
    Presented(KeyDigest),
    /// Several keys or an empty one.
    Malformed,
}

/// Caller of a request, as its key shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum CallerAccount {
    /// The configuration holds no accounts.
    #[default]
    Unmanaged,
    /// The route is public and the caller presents no key of an account.
    Anonymous,
    /// The caller presents a key of this account.
    Known {
        /// Name of the account.
        name: AccountName,
        /// Rank of the account's requests, if it has one of its own.
        rank: Option<u8>,
    },
}

impl CallerAccount {
    /// Returns the account's name, if it is known.
    pub fn name(&self) -> Option<&AccountName> {
        match self {
            Self::Known { name, .. } => Some(name),
            Self::Unmanaged | Self::Anonymous => None,
        }
    }

    /// Returns the rank of a request on a route with `route_rank`.
    pub fn rank(&self, route_rank: u8) -> u8 {
        match self {
            Self::Known { rank, .. } => rank.unwrap_or(route_rank),
            Self::Unmanaged | Self::Anonymous => route_rank,
        }
    }
}

/// All accounts of one configuration version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountTable {
    ranks: BTreeMap<AccountName, Option<u8>>,
    /// Accounts by key, or `None` for a key that several accounts state.
    by_key: BTreeMap<KeyDigest, Option<AccountName>>,
}

impl AccountTable {
    /// Adds an account. Returns false, without adding it, if its name is taken or it has too many keys.
    ///
    /// A key that several accounts state identifies none of them.
    pub fn add(&mut self, account: AccountSpec) -> bool {
        let AccountSpec { name, rank, keys } = account;
        if self.ranks.contains_key(&name) || keys.len() > MAX_ACCOUNT_KEYS {
            return false;
        }
        for key in keys {
            let holder = self.by_key.entry(key);
            let holder = holder.or_insert_with(|| Some(name.clone()));
            if holder.as_ref() != Some(&name) {
                *holder = None;
            }
        }
        self.ranks.insert(name, rank);
        true
    }

    /// Returns the caller who presents a key. Returns `None` if the request is to be rejected.
    pub fn identify(&self, key: &CallerKey, is_public: bool) -> Option<CallerAccount> {
        let holder = match key {
            CallerKey::Presented(digest) => self.by_key.get(digest).cloned().flatten(),
            CallerKey::Absent | CallerKey::Malformed => None,
        };
        match holder {
            Some(name) => {
                let rank = self.ranks.get(&name).copied().flatten();
                Some(CallerAccount::Known { name, rank })
            }
            None => is_public.then_some(CallerAccount::Anonymous),
        }
    }

    /// Returns whether there is an account of this name.
    pub fn contains(&self, name: &AccountName) -> bool {
        self.ranks.contains_key(name)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the number of keys that several accounts state.
    pub fn ambiguous_keys(&self) -> usize {
        self.by_key
            .values()
            .filter(|holder| holder.is_none())
            .count()
    }
}
