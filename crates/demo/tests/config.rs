//! An accepted configuration is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use conf::SystemConfig;
use demo::{
    DemoSite,
    SiteOptions,
    sample_config, //
};
use fakes::StoreFaults;
use testutils::TestCaller;
use tokio::time::sleep;
use units::{
    ClassName,
    ConfigVersion, //
};

/// Time within which a configuration must be in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(12);
const KEY: &str = "galenarail/config";

async fn small_site(entries: usize) -> DemoSite {
    let options = SiteOptions {
        centres: 1,
        engines: 2,
        services: 1,
        entries,
        ..SiteOptions::default()
    };
    let site = DemoSite::start(options).await.unwrap();
    site.wait_ready().await;
    site
}

fn with_class(config: &SystemConfig, name: &str) -> SystemConfig {
    let mut changed = config.clone();
    let target = changed.classes.values().next().copied().unwrap();
    changed
        .classes
        .insert(name.parse::<ClassName>().unwrap(), target);
    changed.record_change(name.into(), format!("class set {name}"));
    changed
}

fn versions(site: &DemoSite) -> Vec<ConfigVersion> {
    site.entries
        .iter()
        .flatten()
        .map(|entry| entry.config_version())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn config_reaches_every_entry() {
    // Five entries in one data centre: three of them do not watch the store.
    let site = small_site(5).await;
    let config = with_class(&sample_config(), "counter");
    site.store.seed(KEY, config.to_json());
    sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&site), vec![config.version; 5]);
    for entry in 0..5 {
        let caller = TestCaller::new(site.entry_address(entry).unwrap());
        assert_eq!(caller.complete("counter", "hello", 3).await.status, 200);
    }
    let waiting = site.store.request_count("GET galenarail/config");
    assert!(
        waiting < 40,
        "few entries may watch the store: {waiting} calls"
    );
}

#[tokio::test(start_paused = true)]
async fn config_never_reverts() {
    let site = small_site(2).await;
    let newer = with_class(&sample_config(), "counter");
    site.store.seed(KEY, newer.to_json());
    sleep(FORCE_LIMIT).await;
    // A stale replica of the store shows the old document again.
    site.store.seed(KEY, sample_config().to_json());
    for _ in 0..1_200 {
        sleep(Duration::from_millis(10)).await;
        assert_eq!(versions(&site), vec![newer.version; 2]);
    }
}

#[tokio::test(start_paused = true)]
async fn config_survives_restarts() {
    let mut site = small_site(2).await;
    let newer = with_class(&sample_config(), "counter");
    site.store.seed(KEY, newer.to_json());
    sleep(FORCE_LIMIT).await;
    site.store.seed(KEY, sample_config().to_json());
    // A restarted entry reads the stale document first and the newer one from its peers.
    site.entries[0].take().unwrap().kill();
    site.start_entry(0).await.unwrap();
    sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&site), vec![newer.version; 2]);
}

#[tokio::test(start_paused = true)]
async fn entry_starts_during_outage() {
    let mut site = small_site(2).await;
    site.store.set_faults(StoreFaults {
        unresponsive: true,
        ..StoreFaults::default()
    });
    site.entries[0].take().unwrap().kill();
    site.start_entry(0).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let caller = TestCaller::new(site.entry_address(0).unwrap());
    let reply = caller.complete("kiosk", "is anyone there", 4).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(versions(&site), vec![sample_config().version; 2]);
}

#[tokio::test(start_paused = true)]
async fn outage_of_an_hour_changes_nothing() {
    let site = small_site(2).await;
    site.store.set_faults(StoreFaults {
        unresponsive: true,
        ..StoreFaults::default()
    });
    for _ in 0..12 {
        sleep(Duration::from_secs(300)).await;
        for class in ["kiosk", "ordinary", "report"] {
            let caller = TestCaller::new(site.entry_address(0).unwrap());
            let reply = caller.complete(class, "during the outage", 4).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        let caller = TestCaller::new(site.entry_address(1).unwrap());
        assert_eq!(caller.order("menu", None, "list").await.status, 200);
    }
    // Back again, the next change is in force within seconds.
    site.store.set_faults(StoreFaults::default());
    let config = with_class(&sample_config(), "after");
    site.store.seed(KEY, config.to_json());
    sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&site), vec![config.version; 2]);
}

#[tokio::test(start_paused = true)]
async fn config_slow_store() {
    let site = small_site(2).await;
    let delay = Duration::from_millis(900);
    site.store.set_faults(StoreFaults {
        delay,
        ..StoreFaults::default()
    });
    let config = with_class(&sample_config(), "slow");
    site.store.seed(KEY, config.to_json());
    sleep(FORCE_LIMIT).await;
    assert_eq!(versions(&site), vec![config.version; 2]);
}
