//! Accounts and the keys by which callers are identified.

#![allow(clippy::unwrap_used)]

use policy::{
    AccountCounts,
    AccountSpec,
    AccountTable,
    CallerAccount,
    CallerKey,
    MAX_ACCOUNT_KEYS, //
};
use units::{
    AccountName,
    KeyDigest, //
};

fn name(text: &str) -> AccountName {
    text.parse().unwrap()
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest::from_key(key.as_bytes())
}

fn account(account_name: &str, rank: Option<u8>, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        name: name(account_name),
        rank,
        keys: keys.iter().map(|key| digest(key)).collect(),
    }
}

fn table(accounts: impl IntoIterator<Item = AccountSpec>) -> AccountTable {
    let mut table = AccountTable::default();
    for account in accounts {
        assert!(table.add(account));
    }
    table
}

fn holder(table: &AccountTable, key: &str) -> Option<String> {
    let caller = table.identify(&CallerKey::Presented(digest(key)), false)?;
    caller.name().map(AccountName::to_string)
}

#[test]
fn identify_without_accounts() {
    let table = AccountTable::default();
    let key = CallerKey::Presented(digest("a"));
    assert_eq!(table.identify(&key, false), None);
    assert_eq!(table.identify(&key, true), Some(CallerAccount::Anonymous));
}

#[test]
fn identify_one_account() {
    let table = table([account("shop", Some(2), &["old", "new"])]);
    for key in ["old", "new"] {
        assert_eq!(holder(&table, key).as_deref(), Some("shop"));
    }
    for key in ["", "ol", "oldx", "OLD", " old"] {
        assert_eq!(holder(&table, key), None, "{key:?}");
    }
    for key in [CallerKey::Absent, CallerKey::Malformed] {
        assert_eq!(table.identify(&key, false), None);
        assert_eq!(table.identify(&key, true), Some(CallerAccount::Anonymous));
    }
    let caller = table.identify(&CallerKey::Presented(digest("old")), true);
    assert_eq!(caller.unwrap().rank(7), 2);
}

#[test]
fn identify_among_1100_accounts() {
    let accounts = (0..1_100).map(|number| {
        let keys = [format!("key-{number}"), format!("next-{number}")];
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        account(&format!("a-{number}"), None, &keys)
    });
    let table = table(accounts);
    assert_eq!(table.len(), 1_100);
    for number in [0, 1, 549, 1_099] {
        let expected = format!("a-{number}");
        for key in [format!("key-{number}"), format!("next-{number}")] {
            assert_eq!(holder(&table, &key).as_ref(), Some(&expected));
        }
    }
    assert_eq!(holder(&table, "key-1100"), None);
}

/// Guards against a key that identifies whichever of two accounts comes first.
#[test]
fn identify_key_of_two_accounts() {
    let accounts = [
        account("first", None, &["shared", "own-1"]),
        account("second", None, &["own-2", "shared"]),
        account("third", None, &["shared", "own-3"]),
    ];
    let table = table(accounts);
    assert_eq!(holder(&table, "shared"), None);
    assert_eq!(table.ambiguous_keys(), 1);
    for (key, expected) in [("own-1", "first"), ("own-2", "second"), ("own-3", "third")] {
        assert_eq!(holder(&table, key).as_deref(), Some(expected));
    }
}

/// Guards against a key that stays with its earlier account, and one that is listed twice.
#[test]
fn identify_key_that_changes_hands() {
    let before = table([account("a", None, &["k", "k"]), account("b", None, &[])]);
    let after = table([account("a", None, &[]), account("b", None, &["k"])]);
    assert_eq!(holder(&before, "k").as_deref(), Some("a"));
    assert_eq!(holder(&after, "k").as_deref(), Some("b"));
    assert_eq!(before.ambiguous_keys(), 0);
}

/// Guards against an account that costs others anything: a taken name, too many keys, no key.
#[test]
fn add_odd_accounts() {
    let mut table = table([account("good", None, &["good"]), account("bare", None, &[])]);
    assert!(!table.add(account("good", None, &["taken"])));
    let keys: Vec<String> = (0..10_000).map(|number| format!("k-{number}")).collect();
    let mut keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    keys[0] = "good";
    assert!(!table.add(account("many", None, &keys)));
    assert!(table.add(account("most", None, &keys[1..=MAX_ACCOUNT_KEYS])));
    assert_eq!(holder(&table, "good").as_deref(), Some("good"));
    assert_eq!(holder(&table, "taken"), None);
    assert_eq!(holder(&table, "k-9999"), None);
    assert_eq!(holder(&table, "k-1").as_deref(), Some("most"));
    assert_eq!(table.len(), 3);
}

#[test]
fn key_digest_debug_hidden() {
    let key = digest("secret");
    let hidden = format!("{:?}", CallerKey::Presented(key.clone()));
    assert!(!hidden.contains("secret"), "{hidden}");
    assert!(!hidden.contains(&key.to_string()), "{hidden}");
}

#[test]
fn account_counts_largest() {
    let mut counts = AccountCounts::default();
    for number in 0..30 {
        let account = name(&format!("a-{number:02}"));
        (0..=number).for_each(|_| counts.record_request(&account));
        counts.record_refusal(&account);
    }
    let largest = counts.largest(20);
    assert_eq!(largest.len(), 20);
    assert_eq!(largest[0].0.as_str(), "a-29");
    assert_eq!((largest[0].1.requests, largest[0].1.refusals), (30, 1));
    assert_eq!(largest[19].0.as_str(), "a-10");
    counts.retain_accounts(&table([account("a-03", None, &[])]));
    let names: Vec<&str> = counts.largest(20).iter().map(|(n, _)| n.as_str()).collect();
    assert_eq!(names, ["a-03"]);
}
