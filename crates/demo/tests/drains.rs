//! Graceful shutdowns interrupt no request, and draining backend servers get no new requests.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use conf::SystemConfig;
use demo::{
    ClusterOptions,
    DemoCluster,
    sample_config, //
};
use fakes::expected_answer;
use policy::SharedSecret;
use store::InstanceState;
use testutils::{
    StreamedAnswer,
    TestCaller,
    check_complete_answers, //
};
use tokio::task::JoinHandle;
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    IncarnationId,
    InstanceId, //
};
use wire::{
    FrameKind,
    GenerateRequest,
    LinkTimeouts,
    PeerIdentity,
    connect_link, //
};

const TOKENS: u32 = 100;
/// Time after which a draining backend server may get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

async fn small_cluster(options: ClusterOptions) -> DemoCluster {
    let options = ClusterOptions {
        data_centres: 1,
        engines: 3,
        services: 0,
        ..options
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    cluster
}

fn prompt_for(number: usize) -> String {
    format!("caller {number} plans the bake of day {number}")
}

/// Starts callers of one entry whose requests arrive one after another.
fn start_callers(
    cluster: &DemoCluster,
    entry: usize,
    count: usize,
) -> Vec<JoinHandle<StreamedAnswer>> {
    let address = cluster.entry_address(entry).unwrap();
    let one = |number: usize| {
        let caller = TestCaller::new(address);
        tokio::spawn(async move {
            sleep(Duration::from_millis(25) * number as u32).await;
            caller.stream("ordinary", &prompt_for(number), TOKENS).await
        })
    };
    (0..count).map(one).collect()
}

/// Returns the complete answer expected for a caller.
fn answer_for(number: usize) -> String {
    expected_answer(prompt_for(number).as_bytes(), TOKENS)
}

fn attempt_count(cluster: &DemoCluster, name: &InstanceId) -> u32 {
    cluster.engines[name].start_counts().values().sum()
}

#[tokio::test(start_paused = true)]
async fn stop_side_under_load() {
    let mut cluster = small_cluster(ClusterOptions::default()).await;
    let callers = start_callers(&cluster, 0, 60);
    sleep(Duration::from_millis(400)).await;
    let name = cluster.sides.keys().next().unwrap().clone();
    let before = attempt_count(&cluster, &name);
    assert!(
        before > 0,
        "the side process must have in-flight requests to drain"
    );
    cluster.take_side(&name).unwrap().stop().await;
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn stop_entry_under_load() {
    let mut cluster = small_cluster(ClusterOptions::default()).await;
    let callers = start_callers(&cluster, 0, 20);
    sleep(Duration::from_millis(600)).await;
    cluster.entries[0].take().unwrap().stop().await;
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn drain_instance_by_operator() {
    let cluster = small_cluster(ClusterOptions::default()).await;
    let callers = start_callers(&cluster, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = cluster.sides.keys().next().unwrap().clone();
    let mut config = sample_config();
    config.drains.insert(name.clone());
    config.record_change("drain".into(), "drain".into());
    cluster.store.seed("galenarail/config", config.to_json());
    sleep(DRAIN_LIMIT).await;
    let at_limit = attempt_count(&cluster, &name);
    check_complete_answers(callers, answer_for).await;
    assert_eq!(
        attempt_count(&cluster, &name),
        at_limit,
        "new attempts on a drained instance"
    );
    assert!(
        cluster
            .engines
            .keys()
            .any(|other| attempt_count(&cluster, other) > at_limit)
    );
}

#[tokio::test(start_paused = true)]
async fn drain_instance_list_delayed() {
    // The instance list shows the draining state ten seconds late; the side process reports it at
    // once.
    let options = ClusterOptions {
        list_delay: Duration::from_secs(10),
        ..ClusterOptions::default()
    };
    let options = ClusterOptions {
        data_centres: 1,
        engines: 3,
        services: 0,
        ..options
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    sleep(Duration::from_secs(12)).await;
    let mut cluster = cluster;
    let callers = start_callers(&cluster, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = cluster.sides.keys().next().unwrap().clone();
    cluster.set_listed_state(&name, InstanceState::Leaving);
    let daemon = cluster.take_side(&name).unwrap();
    let stopping = tokio::spawn(daemon.stop());
    sleep(DRAIN_LIMIT).await;
    let at_limit = attempt_count(&cluster, &name);
    stopping.await.unwrap();
    check_complete_answers(callers, answer_for).await;
    assert_eq!(attempt_count(&cluster, &name), at_limit);
}

#[tokio::test(start_paused = true)]
async fn drain_instance_list_only() {
    // The side process does not report the drain; the instance list is the only source.
    let mut cluster = small_cluster(ClusterOptions::default()).await;
    let callers = start_callers(&cluster, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = cluster.sides.keys().next().unwrap().clone();
    cluster.set_listed_state(&name, InstanceState::Leaving);
    sleep(DRAIN_LIMIT).await;
    let at_limit = attempt_count(&cluster, &name);
    check_complete_answers(callers, answer_for).await;
    assert_eq!(attempt_count(&cluster, &name), at_limit);
}

#[tokio::test(start_paused = true)]
async fn rolling_restart_of_sides() {
    let mut cluster = small_cluster(ClusterOptions::default()).await;
    let callers = start_callers(&cluster, 0, 300);
    let names: Vec<InstanceId> = cluster.sides.keys().cloned().collect();
    for name in &names {
        cluster.take_side(name).unwrap().stop().await;
        cluster.start_side(name).await.unwrap();
        sleep(Duration::from_secs(2)).await;
    }
    check_complete_answers(callers, answer_for).await;
}

#[tokio::test(start_paused = true)]
async fn undrain_accepts_work() {
    let cluster = small_cluster(ClusterOptions::default()).await;
    let names: Vec<InstanceId> = cluster.sides.keys().cloned().collect();
    let mut config: SystemConfig = sample_config();
    config.drains.extend(names.iter().cloned());
    config.record_change("all".into(), "drain all".into());
    cluster.store.seed("galenarail/config", config.to_json());
    sleep(Duration::from_secs(2)).await;
    let caller = TestCaller::new(cluster.entry_address(0).unwrap());
    let refused = caller.complete("kiosk", "anyone there", 5).await;
    assert_eq!(refused.status, 503);
    assert!(refused.reports_not_run());
    config.drains.clear();
    config.record_change("none".into(), "drain none".into());
    cluster.store.seed("galenarail/config", config.to_json());
    sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    assert_eq!(
        caller.complete("kiosk", "anyone there", 5).await.status,
        200
    );
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn drained_side_refuses_attempt() {
    // An entry that does not know of the drain yet still sends an attempt.
    let cluster = small_cluster(ClusterOptions::default()).await;
    let (name, process) = cluster.sides.iter().next().unwrap();
    let secret = SharedSecret::new(process.settings.secret.as_bytes());
    let identity = PeerIdentity {
        instance: "entry-test".parse().unwrap(),
        incarnation: IncarnationId(7),
    };
    let mut config = sample_config();
    config.drains.insert(name.clone());
    config.record_change("drain".into(), "drain".into());
    cluster.store.seed("galenarail/config", config.to_json());
    sleep(DRAIN_LIMIT).await;
    let timeouts = LinkTimeouts {
        idle: Duration::from_secs(60),
        ..LinkTimeouts::default()
    };
    let mut link = connect_link(process.settings.listen, &secret, &identity, timeouts)
        .await
        .unwrap();
    let request = GenerateRequest {
        attempt: 1,
        model: "assistant".into(),
        prompt: "late".into(),
        prompt_tokens: 1,
        max_tokens: 2,
        first_token_ms: 5_000,
        token_gap_ms: 100,
        ..GenerateRequest::default()
    };
    assert!(link.sender.send(FrameKind::Generate(request)));
    let refusal = loop {
        if let FrameKind::Refusal(refusal) = link.receiver.recv().await.unwrap().unwrap() {
            break refusal;
        }
    };
    assert_eq!(refusal.reason, "leaving");
    assert_eq!(attempt_count(&cluster, name), 0);
}
