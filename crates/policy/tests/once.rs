//! Random schedules of calls, claims and tickets: the call of a key runs at most once, and does not
//! run after its side process has answered 'not run'.

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
    ClaimRequest,
    ClaimShard,
    ClaimVerdict,
    SharedSecret,
    SideTimestamp,
    TICKET_LIFETIME,
    TicketRegistry,
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
    /// An entry obtains a ticket for a caller's request and claims the key.
    Claim {
        key: usize,
        side: usize,
        answer_lost: bool,
    },
    /// A bound ticket reaches its side process, perhaps late or again.
    Present {
        key: usize,
        index: usize,
    },
    /// A call ends: the service answers, its answer is lost, or the service was not reached.
    End {
        side: usize,
        outcome: u8,
    },
    RestartSide(usize),
}

struct Side {
    registry: TicketRegistry,
    incarnation: u64,
    start_ms: u64,
    running: Vec<(usize, u64)>,
}

struct Model {
    now_ms: u64,
    shard: ClaimShard,
    sides: Vec<Side>,
    /// Tickets to which each key was bound, in the answers that reached an entry.
    bound: BTreeMap<usize, Vec<CallTicket>>,
    cancelled: BTreeMap<usize, String>,
    runs: BTreeMap<usize, u32>,
    /// Tickets for which a side process has answered that the call never runs.
    promised_not_run: Vec<String>,
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

fn new_side(index: usize, incarnation: u64, now_ms: u64) -> Side {
    let instance = format!("orders-{index}").parse().unwrap();
    let registry = TicketRegistry::new(instance, IncarnationId(incarnation), secret());
    Side {
        registry,
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
                .map(|index| new_side(index, index as u64 + 1, 0))
                .collect(),
            bound: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            runs: BTreeMap::new(),
            promised_not_run: Vec::new(),
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
            .registry
            .issue(stamp, self.nonce, &account(), &call());
        let record = ClaimRecord {
            ticket: ticket.to_unsigned(),
            body: String::new(),
            at_ms: self.now_ms,
        };
        let claim_key = ClaimKey::new(&account(), &call(), &[key as u8]);
        let cancelled_ticket = self.cancelled.get(&key).cloned();
        let request = ClaimRequest {
            key: claim_key,
            record,
            cancelled_ticket,
        };
        let verdict = self.shard.apply(self.now_ms, &[request]).remove(0);
        if answer_lost {
            return;
        }
        if let ClaimVerdict::Bound(record) = verdict {
            let ticket: CallTicket = record.ticket.parse().unwrap();
            let ticket = ticket.signed(&secret(), &account(), &call());
            self.bound.entry(key).or_default().push(ticket);
        }
    }

    fn present(&mut self, key: usize, index: usize) -> Result<(), TestCaseError> {
        let Some(tickets) = self.bound.get(&key) else {
            return Ok(());
        };
        let ticket = tickets[index % tickets.len()].clone();
        let text = ticket.to_unsigned();
        let side = usize::from(ticket.instance.as_str() == "orders-1");
        let stamp = self.stamp(side);
        match self.sides[side]
            .registry
            .present(stamp, &ticket, &account(), &call())
        {
            TicketVerdict::Run => {
                prop_assert!(
                    !self.promised_not_run.contains(&text),
                    "'not run' was not true"
                );
                self.sides[side].running.push((key, ticket.nonce));
                *self.runs.entry(key).or_default() += 1;
            }
            TicketVerdict::NotRun(_) => {
                self.promised_not_run.push(text.clone());
                self.cancelled.insert(key, text);
            }
            TicketVerdict::Forged => prop_assert!(false, "a genuine ticket was refused"),
            TicketVerdict::Join | TicketVerdict::Done(_) | TicketVerdict::Unknown(_) => {}
        }
        Ok(())
    }

    fn end(&mut self, side: usize, outcome: u8) {
        let Some((key, nonce)) = self.sides[side].running.pop() else {
            return;
        };
        let registry = &mut self.sides[side].registry;
        match outcome % 3 {
            0 => registry.complete(
                nonce,
                CallRecord {
                    status: 200,
                    body: Bytes::new(),
                },
            ),
            1 => registry.mark_lost(nonce),
            _ => {
                // The service was not reached, so that the call did not run.
                registry.cancel(nonce);
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
            Step::Present { key, index } => self.present(key, index)?,
            Step::End { side, outcome } => self.end(side, outcome),
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
        6 => (key, any::<usize>()).prop_map(|(key, index)| Step::Present { key, index }),
        3 => (side.clone(), any::<u8>()).prop_map(|(side, outcome)| Step::End { side, outcome }),
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

/// A claim holds until the last millisecond of its lifetime.
#[test]
fn claim_expires_at_lifetime() {
    let request = |ticket: &str, at_ms| ClaimRequest {
        key: ClaimKey::new(&account(), &call(), b"order-1"),
        record: ClaimRecord {
            ticket: ticket.into(),
            body: String::new(),
            at_ms,
        },
        cancelled_ticket: None,
    };
    let mut shard = ClaimShard::default();
    shard.apply(0, &[request("first", 0)]);
    let last_valid_ms = CLAIM_LIFETIME_MS - 1;
    let bound = shard
        .apply(last_valid_ms, &[request("second", last_valid_ms)])
        .remove(0);
    assert!(matches!(bound, ClaimVerdict::Bound(record) if record.ticket == "first"));
    let expired_ms = CLAIM_LIFETIME_MS;
    let bound = shard
        .apply(expired_ms, &[request("third", expired_ms)])
        .remove(0);
    assert!(matches!(bound, ClaimVerdict::Bound(record) if record.ticket == "third"));
}

/// A claim with a different request body is rejected, even if it names the bound ticket as
/// cancelled. A claim with the same body replaces the cancelled ticket.
#[test]
fn claim_body_mismatch() {
    let request = |ticket: &str, body: &[u8]| ClaimRequest {
        key: ClaimKey::new(&account(), &call(), b"order-1"),
        record: ClaimRecord {
            ticket: ticket.into(),
            body: body_digest(body),
            at_ms: 0,
        },
        cancelled_ticket: Some("first".into()),
    };
    let mut shard = ClaimShard::default();
    shard.apply(0, &[request("first", b"one pie")]);
    let verdict = shard.apply(1, &[request("second", b"two pies")]).remove(0);
    assert_eq!(verdict, ClaimVerdict::BodyMismatch);
    let verdict = shard.apply(1, &[request("third", b"one pie")]).remove(0);
    assert!(matches!(verdict, ClaimVerdict::Bound(record) if record.ticket == "third"));
}

/// An unused ticket can run a call until the end of its lifetime, and not afterwards.
#[test]
fn present_expires_at_lifetime() {
    let issued = SideTimestamp(Duration::from_secs(5));
    let end = SideTimestamp(issued.0 + TICKET_LIFETIME);
    let before_end = SideTimestamp(end.0 - Duration::from_millis(1));
    let mut side = new_side(0, 1, 0);
    let first_ticket = side.registry.issue(issued, 1, &account(), &call());
    let second_ticket = side.registry.issue(issued, 2, &account(), &call());
    let verdict = side
        .registry
        .present(before_end, &first_ticket, &account(), &call());
    assert!(matches!(verdict, TicketVerdict::Run));
    let verdict = side
        .registry
        .present(end, &second_ticket, &account(), &call());
    assert!(matches!(verdict, TicketVerdict::Unknown(_)));
}
