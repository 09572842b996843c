//! Every entry applies an accepted configuration within seconds and never reverts to an older one.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use conf::SystemConfig;
use demo::{
    ClusterOptions,
    DemoCluster,
    sample_config, //
};
use fakes::StoreFaults;
use testutils::TestCaller;
use tokio::time::sleep;
use units::{
    ClassName,
    ConfigVersion, //
};

/// Time within which every entry must have applied a configuration.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_secs(12);
const KEY: &str = "galenarail/config";

async fn small_cluster(entries: usize) -> DemoCluster {
    let options = ClusterOptions {
        data_centres: 1,
        engines: 2,
        services: 1,
        entries,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    cluster
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

fn versions(cluster: &DemoCluster) -> Vec<ConfigVersion> {
    cluster
        .entries
        .iter()
        .flatten()
        .map(|entry| entry.config_version())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn config_reaches_every_entry() {
    // Five entries in one data centre: three of them do not watch the store.
    let cluster = small_cluster(5).await;
    let config = with_class(&sample_config(), "counter");
    cluster.store.seed(KEY, config.to_json());
    sleep(CONFIG_APPLY_LIMIT).await;
    assert_eq!(versions(&cluster), vec![config.version; 5]);
    for entry in 0..5 {
        let caller = TestCaller::new(cluster.entry_address(entry).unwrap());
        assert_eq!(caller.complete("counter", "hello", 3).await.status, 200);
    }
    let waiting = cluster.store.request_count("GET galenarail/config");
    assert!(
        waiting < 40,
        "few entries may watch the store: {waiting} calls"
    );
}

#[tokio::test(start_paused = true)]
async fn config_never_reverts() {
    let cluster = small_cluster(2).await;
    let newer = with_class(&sample_config(), "counter");
    cluster.store.seed(KEY, newer.to_json());
    sleep(CONFIG_APPLY_LIMIT).await;
    // A stale replica of the store returns the old document again.
    cluster.store.seed(KEY, sample_config().to_json());
    for _ in 0..1_200 {
        sleep(Duration::from_millis(10)).await;
        assert_eq!(versions(&cluster), vec![newer.version; 2]);
    }
}

#[tokio::test(start_paused = true)]
async fn config_survives_restarts() {
    let mut cluster = small_cluster(2).await;
    let newer = with_class(&sample_config(), "counter");
    cluster.store.seed(KEY, newer.to_json());
    sleep(CONFIG_APPLY_LIMIT).await;
    cluster.store.seed(KEY, sample_config().to_json());
    // A restarted entry reads the stale document first and the newer one from its peers.
    cluster.entries[0].take().unwrap().kill();
    cluster.start_entry(0).await.unwrap();
    sleep(CONFIG_APPLY_LIMIT).await;
    assert_eq!(versions(&cluster), vec![newer.version; 2]);
}

#[tokio::test(start_paused = true)]
async fn entry_starts_during_outage() {
    let mut cluster = small_cluster(2).await;
    cluster.store.set_faults(StoreFaults {
        unresponsive: true,
        ..StoreFaults::default()
    });
    cluster.entries[0].take().unwrap().kill();
    cluster.start_entry(0).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let caller = TestCaller::new(cluster.entry_address(0).unwrap());
    let reply = caller.complete("kiosk", "is anyone there", 4).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(versions(&cluster), vec![sample_config().version; 2]);
}

#[tokio::test(start_paused = true)]
async fn store_outage_for_an_hour() {
    let cluster = small_cluster(2).await;
    cluster.store.set_faults(StoreFaults {
        unresponsive: true,
        ..StoreFaults::default()
    });
    for _ in 0..12 {
        sleep(Duration::from_secs(300)).await;
        for class in ["kiosk", "ordinary", "report"] {
            let caller = TestCaller::new(cluster.entry_address(0).unwrap());
            let reply = caller.complete(class, "during the outage", 4).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        let caller = TestCaller::new(cluster.entry_address(1).unwrap());
        assert_eq!(caller.order("menu", None, "list").await.status, 200);
    }
    // After the outage, the next change is applied within seconds.
    cluster.store.set_faults(StoreFaults::default());
    let config = with_class(&sample_config(), "after");
    cluster.store.seed(KEY, config.to_json());
    sleep(CONFIG_APPLY_LIMIT).await;
    assert_eq!(versions(&cluster), vec![config.version; 2]);
}

#[tokio::test(start_paused = true)]
async fn config_slow_store() {
    let cluster = small_cluster(2).await;
    let delay = Duration::from_millis(900);
    cluster.store.set_faults(StoreFaults {
        delay,
        ..StoreFaults::default()
    });
    let config = with_class(&sample_config(), "slow");
    cluster.store.seed(KEY, config.to_json());
    sleep(CONFIG_APPLY_LIMIT).await;
    assert_eq!(versions(&cluster), vec![config.version; 2]);
}
