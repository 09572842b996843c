//! A request that crashes backend servers causes two crashes at most, and requests that run beside
//! it finish.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use fakes::{
    EngineFaults,
    expected_answer, //
};
use testutils::TestCaller;
use tokio::time::sleep;

/// Number of crashes that one request may cause, however often the caller sends it.
const CRASH_LIMIT: u32 = 2;
const POISON: &str = "a cursed prompt";

async fn poisoned_cluster() -> DemoCluster {
    let options = ClusterOptions {
        engines: 2,
        services: 0,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    for engine in cluster.engines.values() {
        engine.set_faults(EngineFaults {
            poison_text: Some("cursed".into()),
            restart_time: Duration::from_secs(1),
            stall_streams: false,
        });
    }
    cluster
}

fn caller(cluster: &DemoCluster, entry: usize) -> TestCaller {
    TestCaller::new(cluster.entry_address(entry).unwrap())
}

fn crashes(cluster: &DemoCluster) -> u32 {
    cluster
        .engines
        .values()
        .map(|engine| engine.crash_count())
        .sum()
}

#[tokio::test(start_paused = true)]
async fn poison_sent_again_and_again() {
    let cluster = poisoned_cluster().await;
    for round in 0..10 {
        let reply = caller(&cluster, round % 2)
            .complete("kiosk", POISON, 10)
            .await;
        assert_ne!(reply.status, 200);
        sleep(Duration::from_millis(700)).await;
    }
    assert!(
        crashes(&cluster) <= CRASH_LIMIT,
        "{} crashes",
        crashes(&cluster)
    );
    assert!(crashes(&cluster) > 0, "the prompt must reach an engine");
}

#[tokio::test(start_paused = true)]
async fn poison_sent_many_times_at_once() {
    let cluster = poisoned_cluster().await;
    let tasks: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller(&cluster, number / 4);
            tokio::spawn(async move { caller.complete("kiosk", POISON, 10).await })
        })
        .collect();
    for task in tasks {
        assert_ne!(task.await.unwrap().status, 200);
    }
    assert!(
        crashes(&cluster) <= CRASH_LIMIT,
        "{} crashes",
        crashes(&cluster)
    );
}

#[tokio::test(start_paused = true)]
async fn poison_unrelated_requests_finish() {
    let cluster = poisoned_cluster().await;
    let prompt = |number: usize| format!("innocent question {number}");
    let unrelated_requests: Vec<_> = (0..18)
        .map(|number| {
            let caller = caller(&cluster, number % 2);
            let prompt = prompt(number);
            tokio::spawn(async move { caller.stream("ordinary", &prompt, 80).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    for round in 0..4 {
        caller(&cluster, round % 2)
            .complete("kiosk", POISON, 10)
            .await;
    }
    for (number, innocent) in unrelated_requests.into_iter().enumerate() {
        let answer = innocent.await.unwrap();
        assert!(answer.is_complete(), "innocent {number}: {answer:?}");
        assert_eq!(answer.text, expected_answer(prompt(number).as_bytes(), 80));
    }
    assert!(
        crashes(&cluster) <= CRASH_LIMIT,
        "{} crashes",
        crashes(&cluster)
    );
    // Requests that ran beside the crashing request are not quarantined.
    let again = caller(&cluster, 0).complete("kiosk", &prompt(0), 5).await;
    assert_eq!(again.status, 200, "{again:?}");
}
