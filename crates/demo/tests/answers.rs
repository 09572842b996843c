//! Every caller gets the whole answer to its own request, whatever breaks on the way.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use demo::{
    DemoSite,
    SiteOptions, //
};
use fakes::{
    EngineFaults,
    expected_answer, //
};
use testutils::{
    StreamedAnswer, //
    TestCaller,
    check_complete_answers,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use units::InstanceId;

const TOKENS: u32 = 120;

async fn small_site(relays: bool) -> DemoSite {
    let options = SiteOptions {
        centres: 1,
        engines: 3,
        services: 0,
        entries: 2,
        relays,
        ..SiteOptions::default()
    };
    let site = DemoSite::start(options).await.unwrap();
    site.wait_ready().await;
    site
}

fn caller(site: &DemoSite, entry: usize) -> TestCaller {
    TestCaller::new(site.entry_address(entry).unwrap())
}

fn prompt_of(number: usize) -> String {
    format!("caller {number} asks for the oven plan of shop {number}")
}

/// Starts callers of both entries and both kinds of classes.
fn start_callers(site: &DemoSite, count: usize) -> Vec<JoinHandle<StreamedAnswer>> {
    let one = |number: usize| {
        let caller = caller(site, number % 2);
        let class = if number.is_multiple_of(3) {
            "report"
        } else {
            "kiosk"
        };
        tokio::spawn(async move { caller.stream(class, &prompt_of(number), TOKENS).await })
    };
    (0..count).map(one).collect()
}

/// The whole answer to a caller.
fn answer_of(number: usize) -> String {
    expected_answer(prompt_of(number).as_bytes(), TOKENS)
}

fn busiest(site: &DemoSite) -> InstanceId {
    let runs = |i: &InstanceId| site.engines[i].start_counts().len();
    site.engines.keys().max_by_key(|i| runs(i)).unwrap().clone()
}

#[tokio::test(start_paused = true)]
async fn stream_concurrent_callers() {
    let site = small_site(false).await;
    check_complete_answers(start_callers(&site, 20), answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn complete_whole_reply() {
    let site = small_site(false).await;
    let reply = caller(&site, 0)
        .complete("kiosk", "which pies are warm", 12)
        .await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), expected_answer(b"which pies are warm", 12));
    assert_eq!(reply.body["usage"]["completion_tokens"], 12);
}

#[tokio::test(start_paused = true)]
async fn stream_engine_crash() {
    let site = small_site(false).await;
    let callers = start_callers(&site, 12);
    sleep(Duration::from_millis(400)).await;
    site.engines[&busiest(&site)].crash(Duration::from_secs(5));
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stream_two_engine_crashes() {
    let site = small_site(false).await;
    let callers = start_callers(&site, 12);
    let names: Vec<InstanceId> = site.engines.keys().cloned().collect();
    sleep(Duration::from_millis(300)).await;
    site.engines[&names[0]].crash(Duration::from_secs(5));
    sleep(Duration::from_millis(100)).await;
    site.engines[&names[1]].crash(Duration::from_secs(5));
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stream_side_killed() {
    let mut site = small_site(false).await;
    let callers = start_callers(&site, 12);
    sleep(Duration::from_millis(400)).await;
    let name = busiest(&site);
    site.take_side(&name).unwrap().kill();
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stream_link_silent() {
    let site = small_site(true).await;
    let callers = start_callers(&site, 12);
    sleep(Duration::from_millis(400)).await;
    // Open connections go silent for good; new ones work.
    site.relays[&busiest(&site)].stall_open_connections();
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stream_engine_silent() {
    let site = small_site(false).await;
    let callers = start_callers(&site, 6);
    sleep(Duration::from_millis(400)).await;
    let faults = EngineFaults {
        stall_streams: true,
        ..EngineFaults::default()
    };
    site.engines[&busiest(&site)].set_faults(faults);
    check_complete_answers(callers, answer_of).await;
}

#[tokio::test(start_paused = true)]
async fn stream_all_engines_gone() {
    let mut site = small_site(false).await;
    let callers = start_callers(&site, 3);
    sleep(Duration::from_millis(300)).await;
    let names: Vec<InstanceId> = site.sides.keys().cloned().collect();
    for name in &names {
        site.take_side(name).unwrap().kill();
    }
    for caller in callers {
        let answer = caller.await.unwrap();
        assert!(!answer.is_complete(), "nothing could finish it: {answer:?}");
        assert!(!answer.done);
        assert!(answer.error.is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn stream_complete_enough() {
    let mut config = demo::sample_config();
    let class = config.classes.get_mut(&"kiosk".parse().unwrap()).unwrap();
    class.completeness = 0.1;
    let options = SiteOptions {
        centres: 1,
        engines: 1,
        services: 0,
        ..SiteOptions::default()
    };
    let mut site = DemoSite::start_with(options, config).await.unwrap();
    site.wait_ready().await;
    let asking = caller(&site, 0);
    let task = tokio::spawn(async move { asking.stream("kiosk", "half is enough", TOKENS).await });
    sleep(Duration::from_millis(500)).await;
    let name = site.sides.keys().next().unwrap().clone();
    site.take_side(&name).unwrap().kill();
    let answer = task.await.unwrap();
    // The class takes a part of the answer; the reason says that it is one.
    assert_eq!(
        answer.finish_reason.as_deref(),
        Some("incomplete"),
        "{answer:?}"
    );
    let whole = expected_answer(b"half is enough", TOKENS);
    assert!(whole.starts_with(&answer.text) && answer.text.len() < whole.len());
}
