//! Route lookup by host and longest path prefix, and selection of a service by weight.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use policy::{
    CallKind,
    CallerLimits,
    RouteRule,
    RouteTable,
    ServiceShare, //
};
use units::ConfigVersion;

fn rule(name: &str, path_prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let shares = shares.iter().map(|(service, weight)| ServiceShare {
        service: service.parse().unwrap(),
        weight: *weight,
    });
    RouteRule {
        name: name.parse().unwrap(),
        path_prefix: path_prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap_target: None,
        rank: 0,
        is_public: false,
        max_attempts: 2,
        shares: shares.collect(),
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let rules = [
        ("Shop.example".to_owned(), rule("all", "/", &[("web", 1)])),
        (
            "shop.example".to_owned(),
            rule("menu", "/menu/", &[("menu", 1)]),
        ),
        (
            "shop.example".to_owned(),
            rule("stock", "/menu/stock/", &[("stock", 1)]),
        ),
        (
            "pay.example".to_owned(),
            rule("pay", "/pay/", &[("pay", 1)]),
        ),
    ];
    RouteTable::new(ConfigVersion(1), limits, BTreeMap::new(), rules)
}

fn found_name(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|rule| rule.name.to_string())
}

#[test]
fn find_longest_prefix() {
    assert_eq!(
        found_name("shop.example", "/menu/stock/7").as_deref(),
        Some("stock")
    );
    assert_eq!(
        found_name("shop.example", "/menu/7").as_deref(),
        Some("menu")
    );
    assert_eq!(
        found_name("shop.example", "/menus/7").as_deref(),
        Some("all")
    );
}

#[test]
fn find_host_ignoring_case_and_port() {
    assert_eq!(
        found_name("SHOP.example:8080", "/menu/7").as_deref(),
        Some("menu")
    );
    assert_eq!(found_name("pay.example", "/menu/7"), None);
    assert_eq!(found_name("other.example", "/menu/7"), None);
}

#[test]
fn find_prefix_without_trailing_slash() {
    assert_eq!(found_name("pay.example", "/pay"), None);
}

#[test]
fn choose_service_by_weight() {
    let split_rule = rule("split", "/", &[("old", 900), ("new", 100)]);
    let ids = (0..10_000).map(|n: u32| format!("{n:016x}"));
    let chosen = ids.filter(|id| split_rule.choose_service(id.as_bytes()).as_str() == "new");
    let count = chosen.count();
    assert!(
        (800..1_200).contains(&count),
        "{count} of 10,000 requests went to a service with a weight of 10 %"
    );
}

#[test]
fn choose_service_for_repeated_id() {
    let split_rule = rule("split", "/", &[("old", 1), ("new", 1)]);
    let first = split_rule.choose_service(b"9c41d07be2a35f68");
    assert_eq!(first, split_rule.choose_service(b"9c41d07be2a35f68"));
}
