//! A request that crashes backend servers crashes two at the most, and those beside it finish.

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
use testutils::TestCaller;
use tokio::time::sleep;

/// Crashes that one request may cause, however often it is sent.
const CRASH_LIMIT: u32 = 2;
const POISON: &str = "a cursed prompt";

async fn poisoned_site() -> DemoSite {
    let options = SiteOptions {
        engines: 2,
        services: 0,
        ..SiteOptions::default()
    };
    let site = DemoSite::start(options).await.unwrap();
    site.wait_ready().await;
    for engine in site.engines.values() {
        engine.set_faults(EngineFaults {
            poison_text: Some("cursed".into()),
            restart_time: Duration::from_secs(1),
            stall_streams: false,
        });
    }
    site
}

fn caller(site: &DemoSite, entry: usize) -> TestCaller {
    TestCaller::new(site.entry_address(entry).unwrap())
}

fn crashes(site: &DemoSite) -> u32 {
    site.engines
        .values()
        .map(|engine| engine.crash_count())
        .sum()
}

#[tokio::test(start_paused = true)]
async fn poison_sent_again_and_again() {
    let site = poisoned_site().await;
    for round in 0..10 {
        let reply = caller(&site, round % 2).complete("kiosk", POISON, 10).await;
        assert_ne!(reply.status, 200);
        sleep(Duration::from_millis(700)).await;
    }
    assert!(crashes(&site) <= CRASH_LIMIT, "{} crashes", crashes(&site));
    assert!(crashes(&site) > 0, "the prompt must reach an engine");
}

#[tokio::test(start_paused = true)]
async fn poison_sent_many_times_at_once() {
    let site = poisoned_site().await;
    let tasks: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller(&site, number / 4);
            tokio::spawn(async move { caller.complete("kiosk", POISON, 10).await })
        })
        .collect();
    for task in tasks {
        assert_ne!(task.await.unwrap().status, 200);
    }
    assert!(crashes(&site) <= CRASH_LIMIT, "{} crashes", crashes(&site));
}

#[tokio::test(start_paused = true)]
async fn poison_innocents_finish() {
    let site = poisoned_site().await;
    let prompt = |number: usize| format!("innocent question {number}");
    let innocents: Vec<_> = (0..18)
        .map(|number| {
            let caller = caller(&site, number % 2);
            let prompt = prompt(number);
            tokio::spawn(async move { caller.stream("ordinary", &prompt, 80).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    for round in 0..4 {
        caller(&site, round % 2).complete("kiosk", POISON, 10).await;
    }
    for (number, innocent) in innocents.into_iter().enumerate() {
        let answer = innocent.await.unwrap();
        assert!(answer.is_complete(), "innocent {number}: {answer:?}");
        assert_eq!(answer.text, expected_answer(prompt(number).as_bytes(), 80));
    }
    assert!(crashes(&site) <= CRASH_LIMIT, "{} crashes", crashes(&site));
    // Those that ran beside it are not kept out.
    let again = caller(&site, 0).complete("kiosk", &prompt(0), 5).await;
    assert_eq!(again.status, 200, "{again:?}");
}
