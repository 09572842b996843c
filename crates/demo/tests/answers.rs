//! Every caller gets the complete answer to its own request despite crashes, killed processes and
//! unresponsive links.

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
use testutils::{
    StreamedAnswer,
    TestCaller,
    check_complete_answers, //
};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use units::InstanceId;

const TOKENS: u32 = 120;

async fn small_cluster(relays: bool) -> DemoCluster {
    let options = ClusterOptions {
        data_centres: 1,
        engines: 3,
        services: 0,
        entries: 2,
        relays,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    cluster
}

fn caller(cluster: &DemoCluster, entry: usize) -> TestCaller {
    TestCaller::new(cluster.entry_address(entry).unwrap())
}

fn prompt_for(number: usize) -> String {
    format!("caller {number} asks for the oven plan of shop {number}")
}

/// Starts callers that alternate between both entries and use an urgent and a patient class.
fn start_callers(cluster: &DemoCluster, count: usize) -> Vec<JoinHandle<StreamedAnswer>> {
    let one = |number: usize| {
        let caller = caller(cluster, number % 2);
        let class = if number.is_multiple_of(3) {
            "report"
        } else {
            "kiosk"
        };
        tokio::spawn(async move { caller.stream(class, &prompt_for(number), TOKENS).await })
    };
    (0..count).map(one).collect()
}

/// Returns the complete answer expected for a caller.
fn answer_for(number: usize) -> String {
    expected_answer(prompt_for(number).as_bytes(), TOKENS)
}

fn busiest_engine(cluster: &DemoCluster) -> InstanceId {
    let runs = |i: &InstanceId| cluster.engines[i].start_counts().len();
    cluster
        .engines
        .keys()
        .max_by_key(|i| runs(i))
        .unwrap()
        .clone()
}

#[tokio::test(start_paused = true)]
async fn stream_concurrent_callers() {
    let cluster = small_cluster(false).await;
    check_complete_answers(start_callers(&cluster, 20), answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn complete_response() {
    let cluster = small_cluster(false).await;
    let reply = caller(&cluster, 0)
        .complete("kiosk", "which pies are warm", 12)
        .await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), expected_answer(b"which pies are warm", 12));
    assert_eq!(reply.body["usage"]["completion_tokens"], 12);
}

#[tokio::test(start_paused = true)]
async fn stream_engine_crash() {
    let cluster = small_cluster(false).await;
    let callers = start_callers(&cluster, 12);
    sleep(Duration::from_millis(400)).await;
    cluster.engines[&busiest_engine(&cluster)].crash(Duration::from_secs(5));
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stream_two_engine_crashes() {
    let cluster = small_cluster(false).await;
    let callers = start_callers(&cluster, 12);
    let names: Vec<InstanceId> = cluster.engines.keys().cloned().collect();
    sleep(Duration::from_millis(300)).await;
    cluster.engines[&names[0]].crash(Duration::from_secs(5));
    sleep(Duration::from_millis(100)).await;
    cluster.engines[&names[1]].crash(Duration::from_secs(5));
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stream_side_killed() {
    let mut cluster = small_cluster(false).await;
    let callers = start_callers(&cluster, 12);
    sleep(Duration::from_millis(400)).await;
    let name = busiest_engine(&cluster);
    cluster.take_side(&name).unwrap().kill();
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stream_link_unresponsive() {
    let cluster = small_cluster(true).await;
    let callers = start_callers(&cluster, 12);
    sleep(Duration::from_millis(400)).await;
    // Established connections stop carrying data for good; new connections work.
    cluster.relays[&busiest_engine(&cluster)].stall_open_connections();
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stream_engine_unresponsive() {
    let cluster = small_cluster(false).await;
    let callers = start_callers(&cluster, 6);
    sleep(Duration::from_millis(400)).await;
    let faults = EngineFaults {
        stall_streams: true,
        ..EngineFaults::default()
    };
    cluster.engines[&busiest_engine(&cluster)].set_faults(faults);
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stream_all_sides_killed() {
    let mut cluster = small_cluster(false).await;
    let callers = start_callers(&cluster, 3);
    sleep(Duration::from_millis(300)).await;
    let names: Vec<InstanceId> = cluster.sides.keys().cloned().collect();
    for name in &names {
        cluster.take_side(name).unwrap().kill();
    }
    for caller in callers {
        let answer = caller.await.unwrap();
        assert!(
            !answer.is_complete(),
            "complete answer without a running side process: {answer:?}"
        );
        assert!(!answer.done);
        assert!(answer.error.is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn stream_partial_answer_accepted() {
    let mut config = demo::sample_config();
    let class = config.classes.get_mut(&"kiosk".parse().unwrap()).unwrap();
    class.completeness = 0.1;
    let options = ClusterOptions {
        data_centres: 1,
        engines: 1,
        services: 0,
        ..ClusterOptions::default()
    };
    let mut cluster = DemoCluster::start_with_config(options, config)
        .await
        .unwrap();
    cluster.wait_ready().await;
    let asking = caller(&cluster, 0);
    let task = tokio::spawn(async move { asking.stream("kiosk", "half is enough", TOKENS).await });
    sleep(Duration::from_millis(500)).await;
    let name = cluster.sides.keys().next().unwrap().clone();
    cluster.take_side(&name).unwrap().kill();
    let answer = task.await.unwrap();
    // The class accepts a partial answer; the finish reason marks the answer as incomplete.
    assert_eq!(
        answer.finish_reason.as_deref(),
        Some("incomplete"),
        "{answer:?}"
    );
    let whole = expected_answer(b"half is enough", TOKENS);
    assert!(whole.starts_with(&answer.text) && answer.text.len() < whole.len());
}
