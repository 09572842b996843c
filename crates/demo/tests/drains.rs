//! Planned stops cut no request, and what leaves gets no new work.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use conf::SystemConfig;
use demo::{
    DemoSite,
    SiteOptions,
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
/// Time after which a leaving backend server may get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

async fn small_site(options: SiteOptions) -> DemoSite {
    let options = SiteOptions {
        centres: 1,
        engines: 3,
        services: 0,
        ..options
    };
    let site = DemoSite::start(options).await.unwrap();
    site.wait_ready().await;
    site
}

fn prompt_of(number: usize) -> String {
    format!("caller {number} plans the bake of day {number}")
}

/// Callers of one entry that arrive one after the other.
fn start_callers(site: &DemoSite, entry: usize, count: usize) -> Vec<JoinHandle<StreamedAnswer>> {
    let address = site.entry_address(entry).unwrap();
    let one = |number: usize| {
        let caller = TestCaller::new(address);
        tokio::spawn(async move {
            sleep(Duration::from_millis(25) * number as u32).await;
            caller.stream("ordinary", &prompt_of(number), TOKENS).await
        })
    };
    (0..count).map(one).collect()
}

/// The whole answer to a caller.
fn answer_of(number: usize) -> String {
    expected_answer(prompt_of(number).as_bytes(), TOKENS)
}

fn starts_on(site: &DemoSite, name: &InstanceId) -> u32 {
    site.engines[name].start_counts().values().sum()
}

#[tokio::test(start_paused = true)]
async fn stop_side_under_load() {
    let mut site = small_site(SiteOptions::default()).await;
    let callers = start_callers(&site, 0, 60);
    sleep(Duration::from_millis(400)).await;
    let name = site.sides.keys().next().unwrap().clone();
    let before = starts_on(&site, &name);
    assert!(before > 0, "the side must have work to drain");
    site.take_side(&name).unwrap().stop().await;
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stop_entry_under_load() {
    let mut site = small_site(SiteOptions::default()).await;
    let callers = start_callers(&site, 0, 20);
    sleep(Duration::from_millis(600)).await;
    site.entries[0].take().unwrap().stop().await;
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn drain_instance_by_operator() {
    let site = small_site(SiteOptions::default()).await;
    let callers = start_callers(&site, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = site.sides.keys().next().unwrap().clone();
    let mut config = sample_config();
    config.drains.insert(name.clone());
    config.record_change("drain".into(), "drain".into());
    site.store.seed("galenarail/config", config.to_json());
    sleep(LEAVE_LIMIT).await;
    let at_limit = starts_on(&site, &name);
    check_complete_answers(callers, answer_of).await;
    assert_eq!(
        starts_on(&site, &name),
        at_limit,
        "new work on a drained instance"
    );
    assert!(
        site.engines
            .keys()
            .any(|other| starts_on(&site, other) > at_limit)
    );
}

#[tokio::test(start_paused = true)]
async fn leave_list_lags() {
    // The list shows the leaving instance ten seconds late; its side process says so at once.
    let options = SiteOptions {
        list_lag: Duration::from_secs(10),
        ..SiteOptions::default()
    };
    let options = SiteOptions {
        centres: 1,
        engines: 3,
        services: 0,
        ..options
    };
    let site = DemoSite::start(options).await.unwrap();
    sleep(Duration::from_secs(12)).await;
    let mut site = site;
    let callers = start_callers(&site, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = site.sides.keys().next().unwrap().clone();
    site.set_listed(&name, InstanceState::Leaving);
    let daemon = site.take_side(&name).unwrap();
    let stopping = tokio::spawn(daemon.stop());
    sleep(LEAVE_LIMIT).await;
    let at_limit = starts_on(&site, &name);
    stopping.await.unwrap();
    check_complete_answers(callers, answer_of).await;
    assert_eq!(starts_on(&site, &name), at_limit);
}

#[tokio::test(start_paused = true)]
async fn leave_list_alone() {
    // The side process says nothing; the list is the only source.
    let mut site = small_site(SiteOptions::default()).await;
    let callers = start_callers(&site, 0, 200);
    sleep(Duration::from_millis(400)).await;
    let name = site.sides.keys().next().unwrap().clone();
    site.set_listed(&name, InstanceState::Leaving);
    sleep(LEAVE_LIMIT).await;
    let at_limit = starts_on(&site, &name);
    check_complete_answers(callers, answer_of).await;
    assert_eq!(starts_on(&site, &name), at_limit);
}

#[tokio::test(start_paused = true)]
async fn replace_all_sides_in_turn() {
    let mut site = small_site(SiteOptions::default()).await;
    let callers = start_callers(&site, 0, 300);
    let names: Vec<InstanceId> = site.sides.keys().cloned().collect();
    for name in &names {
        site.take_side(name).unwrap().stop().await;
        site.start_side(name).await.unwrap();
        sleep(Duration::from_secs(2)).await;
    }
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn undrain_takes_work_again() {
    let site = small_site(SiteOptions::default()).await;
    let names: Vec<InstanceId> = site.sides.keys().cloned().collect();
    let mut config: SystemConfig = sample_config();
    config.drains.extend(names.iter().cloned());
    config.record_change("all".into(), "drain all".into());
    site.store.seed("galenarail/config", config.to_json());
    sleep(Duration::from_secs(2)).await;
    let caller = TestCaller::new(site.entry_address(0).unwrap());
    let refused = caller.complete("kiosk", "anyone there", 5).await;
    assert_eq!(refused.status, 503);
    assert!(refused.reports_not_run());
    config.drains.clear();
    config.record_change("none".into(), "drain none".into());
    site.store.seed("galenarail/config", config.to_json());
    sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    assert_eq!(
        caller.complete("kiosk", "anyone there", 5).await.status,
        200
    );
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn drained_side_refuses_by_itself() {
    // An entry that has not heard of the drain sends work all the same.
    let site = small_site(SiteOptions::default()).await;
    let (name, node) = site.sides.iter().next().unwrap();
    let secret = SharedSecret::new(node.settings.secret.as_bytes());
    let own = PeerIdentity {
        instance: "entry-test".parse().unwrap(),
        incarnation: IncarnationId(7),
    };
    let mut config = sample_config();
    config.drains.insert(name.clone());
    config.record_change("drain".into(), "drain".into());
    site.store.seed("galenarail/config", config.to_json());
    sleep(LEAVE_LIMIT).await;
    let times = LinkTimeouts {
        idle: Duration::from_secs(60),
        ..LinkTimeouts::default()
    };
    let mut link = connect_link(node.settings.listen, &secret, &own, times)
        .await
        .unwrap();
    let run = GenerateRequest {
        attempt: 1,
        model: "assistant".into(),
        prompt: "late".into(),
        prompt_tokens: 1,
        max_tokens: 2,
        first_token_ms: 5_000,
        token_gap_ms: 100,
        ..GenerateRequest::default()
    };
    assert!(link.sender.send(FrameKind::Generate(run)));
    let refusal = loop {
        if let FrameKind::Refusal(refusal) = link.receiver.recv().await.unwrap().unwrap() {
            break refusal;
        }
    };
    assert_eq!(refusal.reason, "leaving");
    assert_eq!(starts_on(&site, name), 0);
}
