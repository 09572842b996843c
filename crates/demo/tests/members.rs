//! Each entry keeps a bounded number of links per data centre; a planner links to every side
//! process of its own data centre.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use testutils::TestCaller;
use tokio::time::sleep;

async fn link_count(cluster: &DemoCluster, entry: usize) -> usize {
    let caller = TestCaller::new(cluster.entry_address(entry).unwrap());
    let (_, text) = caller.get("/metrics").await;
    let line = text
        .lines()
        .find(|line| line.starts_with("galenarail_entry_links "))
        .unwrap();
    line.split(' ').next_back().unwrap().parse().unwrap()
}

async fn is_planner(cluster: &DemoCluster, entry: usize) -> bool {
    let caller = TestCaller::new(cluster.entry_address(entry).unwrap());
    caller
        .get("/metrics")
        .await
        .1
        .contains("\ngalenarail_entry_planner 1\n")
}

#[tokio::test(start_paused = true)]
async fn links_bounded_for_all_but_planner() {
    let options = ClusterOptions {
        data_centres: 2,
        engines: 6,
        services: 0,
        entries: 4,
        sides_per_data_centre: 2,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    sleep(Duration::from_secs(40)).await;
    let mut planners = 0;
    for entry in 0..4 {
        let links = link_count(&cluster, entry).await;
        if is_planner(&cluster, entry).await {
            planners += 1;
            assert_eq!(
                links,
                6 + 2,
                "all side processes of its own data centre and two of the other"
            );
        } else {
            assert_eq!(links, 2 + 2);
        }
        let caller = TestCaller::new(cluster.entry_address(entry).unwrap());
        assert_eq!(caller.complete("kiosk", "hello", 3).await.status, 200);
    }
    assert_eq!(planners, 2, "one planner for each data centre");
}
