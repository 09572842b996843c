//! Random schedules of callers, claims and tickets: a key runs at most once, 'not run' is true.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use policy::{
    CLAIM_LIFETIME_MS,
    CallRecord,
    CallTicket,
    ClaimKey,
    ClaimRecord,
    ClaimShard,
    ClaimVerdict,
    ClaimWish,
    SharedSecret,
    SideTimestamp,
    TICKET_LIFETIME,
    TicketVault,
    TicketVerdict,
    body_digest, //
};
use proptest::prelude::*;
use units::{
    AccountName,
    CallName,
    IncarnationId, //
};

const SCHEDULES: u32 = 10_000;
const KEYS: usize = 2;

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// A caller's request: a ticket is asked for and the key is claimed.
    Claim {
        key: usize,
        side: usize,
        answer_lost: bool,
    },
    /// A bound ticket reaches its side, perhaps late, perhaps again.
    Present {
        key: usize,
        number: usize,
    },
    /// The service ends a call: with an answer, without one, or it was never reached.
    End {
        side: usize,
        how: u8,
    },
    RestartSide(usize),
}

struct Side {
    vault: TicketVault,
    incarnation: u64,
    start_ms: u64,
    running: Vec<(usize, u64)>,
}

struct Model {
    now_ms: u64,
    shard: ClaimShard,
    sides: Vec<Side>,
    /// Tickets that a key was bound to, as far as entries know.
    bound: BTreeMap<usize, Vec<CallTicket>>,
    dead: BTreeMap<usize, String>,
    runs: BTreeMap<usize, u32>,
    /// Tickets of which a side said that they never run.
    promised: Vec<String>,
    nonce: u64,
}

fn secret() -> SharedSecret {
    SharedSecret::new(*b"a secret of the test")
}

fn account() -> AccountName {
    "till".parse().unwrap()
}

fn call() -> CallName {
    "charge".parse().unwrap()
}

fn new_side(number: usize, incarnation: u64, now_ms: u64) -> Side {
    let instance = format!("orders-{number}").parse().unwrap();
    let vault = TicketVault::new(instance, IncarnationId(incarnation), secret());
    Side {
        vault,
        incarnation,
        start_ms: now_ms,
        running: Vec::new(),
    }
}

impl Model {
    fn new() -> Self {
        Self {
            now_ms: 0,
            shard: ClaimShard::default(),
            sides: (0..2)
                .map(|number| new_side(number, number as u64 + 1, 0))
                .collect(),
            bound: BTreeMap::new(),
            dead: BTreeMap::new(),
            runs: BTreeMap::new(),
            promised: Vec::new(),
            nonce: 0,
        }
    }

    fn stamp(&self, side: usize) -> SideTimestamp {
        SideTimestamp(Duration::from_millis(
            self.now_ms - self.sides[side].start_ms,
        ))
    }

    fn claim(&mut self, key: usize, side: usize, answer_lost: bool) {
        self.nonce += 1;
        let stamp = self.stamp(side);
        let ticket = self.sides[side]
            .vault
            .issue(stamp, self.nonce, &account(), &call());
        let record = ClaimRecord {
            ticket: ticket.to_unsigned(),
            body: String::new(),
            at_ms: self.now_ms,
        };
        let claim_key = ClaimKey::new(&account(), &call(), &[key as u8]);
        let dead_ticket = self.dead.get(&key).cloned();
        let wish = ClaimWish {
            key: claim_key,
            record,
            dead_ticket,
        };
        let verdict = self.shard.apply(self.now_ms, &[wish]).remove(0);
        if answer_lost {
            return;
        }
        if let ClaimVerdict::Bound(record) = verdict {
            let ticket: CallTicket = record.ticket.parse().unwrap();
            let ticket = ticket.signed(&secret(), &account(), &call());
            self.bound.entry(key).or_default().push(ticket);
        }
    }

    fn present(&mut self, key: usize, number: usize) -> Result<(), TestCaseError> {
        let Some(tickets) = self.bound.get(&key) else {
            return Ok(());
        };
        let ticket = tickets[number % tickets.len()].clone();
        let text = ticket.to_unsigned();
        let side = usize::from(ticket.instance.as_str() == "orders-1");
        let stamp = self.stamp(side);
        match self.sides[side]
            .vault
            .present(stamp, &ticket, &account(), &call())
        {
            TicketVerdict::Run => {
                prop_assert!(!self.promised.contains(&text), "'not run' was not true");
                self.sides[side].running.push((key, ticket.nonce));
                *self.runs.entry(key).or_default() += 1;
            }
            TicketVerdict::NotRun(_) => {
                self.promised.push(text.clone());
                self.dead.insert(key, text);
            }
            TicketVerdict::Forged => prop_assert!(false, "a genuine ticket was refused"),
            TicketVerdict::Join | TicketVerdict::Done(_) | TicketVerdict::Unknown(_) => {}
        }
        Ok(())
    }

    fn end(&mut self, side: usize, how: u8) {
        let Some((key, nonce)) = self.sides[side].running.pop() else {
            return;
        };
        let vault = &mut self.sides[side].vault;
        match how % 3 {
            0 => vault.complete(
                nonce,
                CallRecord {
                    status: 200,
                    body: Bytes::new(),
                },
            ),
            1 => vault.lose(nonce),
            _ => {
                // The service was out of reach: nothing ran.
                vault.cancel(nonce);
                *self.runs.entry(key).or_default() -= 1;
            }
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Advance(millis) => self.now_ms += millis,
            Step::Claim {
                key,
                side,
                answer_lost,
            } => self.claim(key, side, answer_lost),
            Step::Present { key, number } => self.present(key, number)?,
            Step::End { side, how } => self.end(side, how),
            Step::RestartSide(side) => {
                let incarnation = self.sides[side].incarnation + 2;
                self.sides[side] = new_side(side, incarnation, self.now_ms);
            }
        }
        for (key, runs) in &self.runs {
            prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0..KEYS;
    let side = 0_usize..2;
    prop_oneof![
        2 => prop_oneof![0_u64..500, 0_u64..1_000_000].prop_map(Step::Advance),
        4 => (key.clone(), side.clone(), prop::bool::weighted(0.2))
            .prop_map(|(key, side, answer_lost)| Step::Claim { key, side, answer_lost }),
        6 => (key, any::<usize>()).prop_map(|(key, number)| Step::Present { key, number }),
        3 => (side.clone(), any::<u8>()).prop_map(|(side, how)| Step::End { side, how }),
        1 => side.prop_map(Step::RestartSide),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn run_random_schedules(steps in proptest::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step)?;
        }
    }
}

/// A key is remembered for its lifetime to the millisecond, and no longer.
#[test]
fn claim_at_end_of_lifetime() {
    let wish = |ticket: &str, at_ms| ClaimWish {
        key: ClaimKey::new(&account(), &call(), b"order-1"),
        record: ClaimRecord {
            ticket: ticket.into(),
            body: String::new(),
            at_ms,
        },
        dead_ticket: None,
    };
    let mut shard = ClaimShard::default();
    shard.apply(0, &[wish("first", 0)]);
    let late = CLAIM_LIFETIME_MS - 1;
    let bound = shard.apply(late, &[wish("second", late)]).remove(0);
    assert!(matches!(bound, ClaimVerdict::Bound(record) if record.ticket == "first"));
    let over = CLAIM_LIFETIME_MS;
    let bound = shard.apply(over, &[wish("third", over)]).remove(0);
    assert!(matches!(bound, ClaimVerdict::Bound(record) if record.ticket == "third"));
}

/// A key that comes with another body is another call, and is told so while the first one holds.
#[test]
fn claim_with_another_body() {
    let wish = |ticket: &str, body: &[u8]| ClaimWish {
        key: ClaimKey::new(&account(), &call(), b"order-1"),
        record: ClaimRecord {
            ticket: ticket.into(),
            body: body_digest(body),
            at_ms: 0,
        },
        dead_ticket: Some("first".into()),
    };
    let mut shard = ClaimShard::default();
    shard.apply(0, &[wish("first", b"one pie")]);
    let verdict = shard.apply(1, &[wish("second", b"two pies")]).remove(0);
    assert_eq!(verdict, ClaimVerdict::OtherBody);
    let verdict = shard.apply(1, &[wish("third", b"one pie")]).remove(0);
    assert!(matches!(verdict, ClaimVerdict::Bound(record) if record.ticket == "third"));
}

/// An unused ticket runs a call until the end of its lifetime, and never afterwards.
#[test]
fn present_at_end_of_lifetime() {
    let issued = SideTimestamp(Duration::from_secs(5));
    let end = SideTimestamp(issued.0 + TICKET_LIFETIME);
    let before_end = SideTimestamp(end.0 - Duration::from_millis(1));
    let mut side = new_side(0, 1, 0);
    let late = side.vault.issue(issued, 1, &account(), &call());
    let later = side.vault.issue(issued, 2, &account(), &call());
    let verdict = side.vault.present(before_end, &late, &account(), &call());
    assert!(matches!(verdict, TicketVerdict::Run));
    let verdict = side.vault.present(end, &later, &account(), &call());
    assert!(matches!(verdict, TicketVerdict::Unknown(_)));
}
