//! Lists of software versions by which gateways agree which streams need records.

#![allow(clippy::unwrap_used)]

use policy::{
    BaseVersion,
    KnownVersions,
    VersionList,
    VersionView, //
};
use units::{
    SoftwareVersion,
    StoreEra, //
};

fn versions(names: &[&str]) -> KnownVersions {
    names.iter().map(|name| name.parse().ok()).collect()
}

fn decided(name: &str) -> BaseVersion {
    BaseVersion::Decided(name.parse().ok())
}

fn list(names: &[&str], base: BaseVersion) -> VersionList {
    VersionList {
        versions: versions(names),
        base,
        era: Some(StoreEra(1)),
    }
}

fn view(present: &[&str], recent: &[&str]) -> VersionView {
    VersionView {
        present: versions(present),
        recent: versions(recent),
        era: Some(StoreEra(1)),
        ..VersionView::default()
    }
}

/// Guards against a service with one version that pays for records.
#[test]
fn next_first_version() {
    let first = VersionList::next(None, &view(&["v1"], &["v1"])).unwrap();
    assert_eq!(first, list(&["v1"], decided("v1")));
    let version: SoftwareVersion = "v1".parse().unwrap();
    assert!(!first.needs_record(Some(&version)));
    assert!(first.is_single());
    assert_eq!(
        VersionList::next(Some(&first), &view(&["v1"], &["v1"])),
        None
    );
}

/// Guards against a base that is guessed where two versions have served from the start.
#[test]
fn next_first_two_versions() {
    let first = VersionList::next(None, &view(&["v1", "v2"], &["v1", "v2"])).unwrap();
    assert_eq!(first.base, BaseVersion::Undecided);
    assert!(first.needs_record("v1".parse().ok().as_ref()));
    assert_eq!(VersionList::next(None, &view(&[], &[])), None);
}

/// Guards against a release that takes away the base of the streams which began before it.
#[test]
fn next_second_version_joins() {
    let before = list(&["v1"], decided("v1"));
    let next = VersionList::next(Some(&before), &view(&["v1", "v2"], &["v1", "v2"])).unwrap();
    assert_eq!(next, list(&["v1", "v2"], decided("v1")));
    assert!(!next.is_single());
    assert!(next.needs_record("v2".parse().ok().as_ref()));
}

/// Guards against a base that moves on while callers may still take up streams of the old one, and against
/// one that stays without engines, so that nothing begins while the store takes no records.
#[test]
fn next_base_leaves() {
    let mixed = list(&["v1", "v2"], decided("v1"));
    let gone = view(&["v2"], &["v1", "v2"]);
    let given_up = VersionList::next(Some(&mixed), &gone).unwrap();
    assert_eq!(given_up, list(&["v1", "v2"], BaseVersion::Undecided));
    assert_eq!(VersionList::next(Some(&given_up), &gone), None);
    let forgotten = VersionList::next(Some(&given_up), &view(&["v2"], &["v2"])).unwrap();
    assert_eq!(forgotten, list(&["v2"], BaseVersion::Undecided));
    let settled = VersionView {
        has_settled: true,
        ..view(&["v2"], &["v2"])
    };
    let decided_again = VersionList::next(Some(&forgotten), &settled).unwrap();
    assert_eq!(decided_again, list(&["v2"], decided("v2")));
}

/// Guards against a base that is decided again when its engines return, though streams of other versions
/// have begun without records meanwhile.
#[test]
fn next_base_comes_back() {
    let given_up = list(&["v1", "v2"], BaseVersion::Undecided);
    let back = VersionView {
        has_settled: true,
        ..view(&["v1", "v2"], &["v1", "v2"])
    };
    assert_eq!(VersionList::next(Some(&given_up), &back), None);
}

/// Guards against a base that is decided among two others.
#[test]
fn next_base_leaves_two_others() {
    let mixed = list(&["v1", "v2", "v3"], decided("v1"));
    let others = VersionView {
        has_settled: true,
        ..view(&["v2", "v3"], &["v2", "v3"])
    };
    let given_up = VersionList::next(Some(&mixed), &others).unwrap();
    assert_eq!(given_up, list(&["v2", "v3"], BaseVersion::Undecided));
    assert_eq!(VersionList::next(Some(&given_up), &others), None);
}

/// Guards against a base that is given up by a gateway which has read no entries yet.
#[test]
fn next_no_entries() {
    let mixed = list(&["v1", "v2"], decided("v1"));
    assert_eq!(
        VersionList::next(Some(&mixed), &view(&[], &["v1", "v2"])),
        None
    );
}

/// Guards against a conclusion from records that the store's earlier copy does not hold.
#[test]
fn next_era_rises() {
    let before = list(&["v1"], decided("v1"));
    let restored = VersionView {
        era: Some(StoreEra(2)),
        is_outdated: true,
        ..view(&["v1"], &["v1", "v2"])
    };
    let next = VersionList::next(Some(&before), &restored).unwrap();
    assert_eq!(next.base, BaseVersion::Undecided);
    assert_eq!(next.versions, versions(&["v1", "v2"]));
    assert_eq!(next.era, Some(StoreEra(2)));
    let missing = VersionList::next(None, &restored).unwrap();
    assert_eq!(missing.base, BaseVersion::Undecided);
}

/// Guards against a service that stays without a base for good.
#[test]
fn next_undecided_settles() {
    let undecided = list(&["v1"], BaseVersion::Undecided);
    assert_eq!(
        VersionList::next(Some(&undecided), &view(&["v1"], &["v1"])),
        None
    );
    let settled = VersionView {
        has_settled: true,
        ..view(&["v1"], &["v1"])
    };
    let next = VersionList::next(Some(&undecided), &settled).unwrap();
    assert_eq!(next.base, decided("v1"));
}

/// Guards against a list that is emptied when all entries are gone.
#[test]
fn next_all_gone() {
    let before = list(&["v1"], decided("v1"));
    assert_eq!(VersionList::next(Some(&before), &view(&[], &[])), None);
}
