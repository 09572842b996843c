//! Non-idempotent calls run at most once, and a call reported as 'not run' did not run.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use fakes::{
    ServiceFaults,
    StoreFaults, //
};
use testutils::TestCaller;
use tokio::time::sleep;
use units::InstanceId;

async fn service_cluster() -> DemoCluster {
    let options = ClusterOptions {
        data_centres: 3,
        engines: 0,
        services: 1,
        entries: 2,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    cluster
}

fn caller(cluster: &DemoCluster, entry: usize) -> TestCaller {
    TestCaller::new(cluster.entry_address(entry).unwrap())
}

/// Returns how often the services ran a call with the given body.
fn runs(cluster: &DemoCluster, body: &str) -> u32 {
    let all = cluster
        .services
        .values()
        .flat_map(|service| service.execution_counts());
    all.filter(|(key, _)| key.ends_with(body))
        .map(|(_, count)| count)
        .sum()
}

fn set_faults(cluster: &DemoCluster, faults: ServiceFaults) {
    cluster
        .services
        .values()
        .for_each(|service| service.set_faults(faults));
}

fn slow(millis: u64) -> ServiceFaults {
    ServiceFaults {
        delay: Duration::from_millis(millis),
        ..ServiceFaults::default()
    }
}

/// Returns the instance whose service ran a call with the given body.
fn runner(cluster: &DemoCluster, body: &str) -> InstanceId {
    let ran = |i: &InstanceId| {
        cluster.services[i]
            .execution_counts()
            .keys()
            .any(|key| key.ends_with(body))
    };
    cluster.services.keys().find(|i| ran(i)).unwrap().clone()
}

#[tokio::test(start_paused = true)]
async fn order_key_repeated() {
    let cluster = service_cluster().await;
    let first = caller(&cluster, 0)
        .order("place", Some("key-1"), "pie-1")
        .await;
    let again = caller(&cluster, 1)
        .order("place", Some("key-1"), "pie-1")
        .await;
    assert_eq!(first.status, 200);
    assert_eq!(first, again);
    assert_eq!(runs(&cluster, "pie-1"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_key_at_two_entries_at_once() {
    let cluster = service_cluster().await;
    set_faults(&cluster, slow(200));
    let tasks: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller(&cluster, number % 2);
            tokio::spawn(async move { caller.order("place", Some("key-2"), "pie-2").await })
        })
        .collect();
    for task in tasks {
        let reply = task.await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(runs(&cluster, "pie-2"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_key_with_other_body() {
    let cluster = service_cluster().await;
    let first = caller(&cluster, 0)
        .order("place", Some("key-3"), "pie-3")
        .await;
    let other = caller(&cluster, 1)
        .order("place", Some("key-3"), "pie-other")
        .await;
    assert_eq!(first.status, 200);
    assert_eq!(other.status, 422);
    assert_eq!(runs(&cluster, "pie-other"), 0);
}

#[tokio::test(start_paused = true)]
async fn order_entry_killed_after_sending() {
    let mut cluster = service_cluster().await;
    set_faults(&cluster, slow(400));
    let first = caller(&cluster, 0);
    let lost = tokio::spawn(async move { first.order("place", Some("key-4"), "pie-4").await });
    sleep(Duration::from_millis(100)).await;
    cluster.entries[0].take().unwrap().kill();
    assert_eq!(lost.await.unwrap().status, 0);
    // The caller retries through the other entry and gets the recorded outcome.
    let again = caller(&cluster, 1)
        .order("place", Some("key-4"), "pie-4")
        .await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&cluster, "pie-4"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_service_answer_lost() {
    let cluster = service_cluster().await;
    set_faults(
        &cluster,
        ServiceFaults {
            lost_responses: 1,
            ..ServiceFaults::default()
        },
    );
    let first = caller(&cluster, 0)
        .order("place", Some("key-5"), "pie-5")
        .await;
    assert_eq!(first.code(), "outcome_unknown", "{first:?}");
    assert!(!first.reports_not_run());
    let again = caller(&cluster, 1)
        .order("place", Some("key-5"), "pie-5")
        .await;
    assert_eq!(again.code(), "outcome_unknown");
    assert_eq!(runs(&cluster, "pie-5"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_side_killed_during_call() {
    let mut cluster = service_cluster().await;
    set_faults(&cluster, slow(400));
    let first = caller(&cluster, 0);
    let task = tokio::spawn(async move { first.order("place", Some("key-6"), "pie-6").await });
    sleep(Duration::from_millis(300)).await;
    let name = runner(&cluster, "pie-6");
    cluster.take_side(&name).unwrap().kill();
    cluster.start_side(&name).await.unwrap();
    let reply = task.await.unwrap();
    assert_eq!(reply.code(), "outcome_unknown", "{reply:?}");
    assert!(!reply.reports_not_run());
    let again = caller(&cluster, 1)
        .order("place", Some("key-6"), "pie-6")
        .await;
    assert_eq!(again.code(), "outcome_unknown");
    assert_eq!(runs(&cluster, "pie-6"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_side_killed_after_call() {
    let mut cluster = service_cluster().await;
    let first = caller(&cluster, 0)
        .order("place", Some("key-7"), "pie-7")
        .await;
    assert_eq!(first.status, 200);
    let name = runner(&cluster, "pie-7");
    cluster.take_side(&name).unwrap().kill();
    cluster.start_side(&name).await.unwrap();
    let again = caller(&cluster, 1)
        .order("place", Some("key-7"), "pie-7")
        .await;
    assert!(!again.reports_not_run(), "{again:?}");
    assert_eq!(runs(&cluster, "pie-7"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_all_sides_killed_before_call() {
    let mut cluster = service_cluster().await;
    let names: Vec<InstanceId> = cluster.sides.keys().cloned().collect();
    for name in &names {
        cluster.take_side(name).unwrap().kill();
    }
    let refused = caller(&cluster, 0)
        .order("place", Some("key-8"), "pie-8")
        .await;
    assert_eq!(refused.status, 503);
    assert!(refused.reports_not_run(), "{refused:?}");
    assert_eq!(runs(&cluster, "pie-8"), 0);
    for name in &names {
        cluster.start_side(name).await.unwrap();
    }
    sleep(Duration::from_secs(8)).await;
    // The call did not run, so the caller may retry.
    let again = caller(&cluster, 0)
        .order("place", Some("key-8"), "pie-8")
        .await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&cluster, "pie-8"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_store_down() {
    let cluster = service_cluster().await;
    let held = caller(&cluster, 0).ticket("charge").await.unwrap();
    cluster.store.set_faults(StoreFaults {
        unresponsive: true,
        ..StoreFaults::default()
    });
    let keyed = caller(&cluster, 0)
        .order("charge", Some("key-9"), "sum-9")
        .await;
    assert!(keyed.status != 200);
    assert_eq!(runs(&cluster, "sum-9"), 0);
    // A call with a ticket does not use the store.
    let first = caller(&cluster, 0)
        .order("charge", Some(&held), "sum-10")
        .await;
    let again = caller(&cluster, 1)
        .order("charge", Some(&held), "sum-10")
        .await;
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first, again);
    let fresh = caller(&cluster, 1).ticket("charge").await.unwrap();
    let other = caller(&cluster, 1)
        .order("charge", Some(&fresh), "sum-11")
        .await;
    assert_eq!(other.status, 200);
    // Idempotent calls are served during the outage as well.
    let menu = caller(&cluster, 0).order("menu", None, "list").await;
    assert_eq!(menu.status, 200);
    assert_eq!(runs(&cluster, "sum-10"), 1);
    assert_eq!(runs(&cluster, "sum-11"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_claim_answer_lost() {
    let cluster = service_cluster().await;
    // A planner's session request may use up one of the lost replies; 6 also cover the claim.
    cluster.store.set_faults(StoreFaults {
        lost_responses: 6,
        ..StoreFaults::default()
    });
    let first = caller(&cluster, 0)
        .order("place", Some("key-12"), "pie-12")
        .await;
    let again = caller(&cluster, 1)
        .order("place", Some("key-12"), "pie-12")
        .await;
    assert!(runs(&cluster, "pie-12") <= 1);
    if first.reports_not_run() {
        assert_eq!(first.status, 503);
    }
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&cluster, "pie-12"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_ticket_forged() {
    let cluster = service_cluster().await;
    let ticket = caller(&cluster, 0).ticket("charge").await.unwrap();
    let mut forged = ticket.clone();
    let last = forged.pop().unwrap();
    forged.push(if last == '0' { '1' } else { '0' });
    let reply = caller(&cluster, 0)
        .order("charge", Some(&forged), "sum-13")
        .await;
    assert_eq!(reply.status, 403);
    assert!(reply.reports_not_run());
    // A ticket is valid only for the call that it was issued for.
    let other = caller(&cluster, 0)
        .order("place", Some(&ticket), "sum-13")
        .await;
    assert_eq!(other.status, 403);
    assert_eq!(runs(&cluster, "sum-13"), 0);
}

#[tokio::test(start_paused = true)]
async fn order_ticket_expired() {
    let cluster = service_cluster().await;
    let ticket = caller(&cluster, 0).ticket("charge").await.unwrap();
    sleep(Duration::from_secs(901)).await;
    let reply = caller(&cluster, 0)
        .order("charge", Some(&ticket), "sum-14")
        .await;
    assert_eq!(reply.code(), "outcome_unknown");
    assert_eq!(runs(&cluster, "sum-14"), 0);
}

#[tokio::test(start_paused = true)]
async fn order_ticket_replayed_after_expiry() {
    let cluster = service_cluster().await;
    let ticket = caller(&cluster, 0).ticket("charge").await.unwrap();
    let first = caller(&cluster, 0)
        .order("charge", Some(&ticket), "sum-15")
        .await;
    assert_eq!(first.status, 200);
    sleep(Duration::from_secs(901)).await;
    caller(&cluster, 1)
        .order("charge", Some(&ticket), "sum-15")
        .await;
    assert_eq!(runs(&cluster, "sum-15"), 1);
}

#[tokio::test(start_paused = true)]
async fn order_many_keys_few_writes() {
    let cluster = service_cluster().await;
    let before = cluster.store.request_count("PUT txn");
    let tasks: Vec<_> = (0..400)
        .map(|number| {
            let caller = caller(&cluster, number % 2);
            let key = format!("many-{number}");
            tokio::spawn(async move { caller.order("place", Some(&key), &key.clone()).await })
        })
        .collect();
    for task in tasks {
        let reply = task.await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let writes = cluster.store.request_count("PUT txn") - before;
    println!("store calls for the claims of 400 calls at once: {writes}");
    assert!(
        writes < 100,
        "claims must be committed in batches: {writes}"
    );
}
