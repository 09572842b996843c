//! Further sends stay within what the platform allows, over all gateways and any window.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    RepeatBudget,
    RepeatTerms,
    RetryBudget, //
};
use proptest::prelude::*;
use tokio::time::Instant;

const TERMS: RepeatTerms = RepeatTerms {
    ratio: 0.2,
    window: Duration::from_secs(10),
    allowance: 52.0,
};

#[test]
fn spend_nothing_right_after_the_start() {
    let now = Instant::now();
    let mut budget = RepeatBudget::new(now, TERMS);
    assert!(!budget.spend(now, 3));
}

#[test]
fn spend_ratio_right_after_the_start() {
    let now = Instant::now();
    let mut budget = RepeatBudget::new(now, TERMS);
    (0..100).for_each(|_| budget.earn(now));
    let spent = (0..100).filter(|_| budget.spend(now, 3)).count();
    assert!((10..=20).contains(&spent), "{spent} of at most 20");
}

#[test]
fn spend_part_of_the_allowance() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(start, TERMS);
    let now = start + TERMS.window;
    let spent = (0..100).filter(|_| budget.spend(now, 4)).count();
    assert!((8..=13).contains(&spent), "{spent} of at most 13");
}

#[test]
fn spend_nothing_while_the_others_are_unknown() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(start, TERMS);
    assert!(!budget.spend(start + TERMS.window, 0));
}

/// The entry's own budget: 20 at once, then one for each five requests.
#[test]
fn retry_budget_share_of_requests() {
    let mut budget = RetryBudget::new();
    let burst = (0..1_000).filter(|_| budget.spend()).count();
    assert_eq!(burst, 20);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += usize::from(budget.spend());
    }
    assert!((195..=200).contains(&spent), "{spent} of 1,000 requests");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Each step lets time pass at one of three gateways, where a request comes and some repeats are
    /// tried. In every window, all repeats together stay within the terms.
    #[test]
    fn spend_any_schedule(steps in proptest::collection::vec((0_u64..400, 0_usize..3, 0_u32..6), 1..400)) {
        let start = Instant::now();
        let mut budgets = vec![RepeatBudget::new(start, TERMS); 3];
        let mut now = start;
        let mut requests: Vec<Instant> = Vec::new();
        let mut repeats: Vec<Instant> = Vec::new();
        for (pause, gateway, tries) in steps {
            now += Duration::from_millis(pause);
            budgets[gateway].earn(now);
            requests.push(now);
            for _ in 0..tries {
                if budgets[gateway].spend(now, 3) {
                    repeats.push(now);
                }
            }
            // As the platform counts: requests of this window or of the one before it.
            let since = |length: Duration| now.checked_sub(length).unwrap_or(start);
            let window = since(TERMS.window);
            let used = repeats.iter().filter(|at| **at > window).count() as f64;
            let recent = requests.iter().filter(|at| **at > window).count();
            let before = requests
                .iter()
                .filter(|at| **at > since(TERMS.window * 2) && **at <= window)
                .count();
            let allowed = recent.max(before) as f64 * TERMS.ratio + TERMS.allowance;
            prop_assert!(used <= allowed, "{used} repeats of {allowed}");
        }
    }
}
