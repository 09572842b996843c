//! Random orders, losses and repeats of chunks: what is handed out is always a true beginning.

use bytes::Bytes;
use policy::{
    AnswerAssembler,
    ChunkVerdict, //
};
use proptest::prelude::*;
use units::{
    AttemptId,
    TokenCount, //
};

const SCHEDULES: u32 = 10_000;
const LENGTH: u32 = 12;

#[derive(Debug, Clone)]
enum Step {
    /// A new attempt, resumed from what was handed out.
    Begin,
    /// The engine of an attempt sends its next chunk, which stays on its way.
    Produce {
        attempt: usize,
        tokens: u32,
    },
    /// A chunk or an end that is on its way arrives, or arrives again.
    Deliver(usize),
    Lose(usize),
}

#[derive(Debug, Clone)]
enum Message {
    Chunk {
        attempt: AttemptId,
        offset: u32,
        tokens: u32,
    },
    End {
        attempt: AttemptId,
        total: u32,
    },
}

/// Tokens of one attempt; every attempt words the rest of the answer in its own way.
fn text(attempt: AttemptId, from: u32, tokens: u32) -> String {
    let token = |index| format!("a{attempt}t{index} ");
    (from..from + tokens).map(token).collect()
}

/// An attempt with what had been handed out when it began.
#[derive(Debug, Clone)]
struct Attempt {
    id: AttemptId,
    begin: u32,
    next: u32,
    prior: String,
}

impl Attempt {
    /// The answer if this attempt goes on from its beginning up to an offset.
    fn answer(&self, until: u32) -> String {
        self.prior.clone() + &text(self.id, self.begin, until - self.begin)
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Begin),
        6 => (any::<usize>(), 1_u32..4)
            .prop_map(|(attempt, tokens)| Step::Produce { attempt, tokens }),
        6 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn assemble_random_schedules(steps in proptest::collection::vec(step(), 1..100)) {
        let mut assembler = AnswerAssembler::new();
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut messages: Vec<Message> = Vec::new();
        let mut caller = String::new();
        for step in steps {
            match step {
                Step::Begin => {
                    let id = AttemptId(attempts.len() as u64 + 1);
                    let begin = assembler.begin(id).0;
                    let prior = caller.clone();
                    attempts.push(Attempt { id, begin, next: begin, prior });
                }
                Step::Produce { attempt, tokens } if !attempts.is_empty() => {
                    let index = attempt % attempts.len();
                    let own = &mut attempts[index];
                    let (id, next) = (own.id, own.next);
                    let tokens = tokens.min(LENGTH - next);
                    own.next += tokens;
                    if tokens > 0 {
                        messages.push(Message::Chunk { attempt: id, offset: next, tokens });
                    } else {
                        messages.push(Message::End { attempt: id, total: LENGTH });
                    }
                }
                Step::Deliver(number) if !messages.is_empty() => {
                    let number = number % messages.len();
                    let (sender, until, verdict) = match messages[number].clone() {
                        Message::Chunk { attempt, offset, tokens } => {
                            let until = offset + tokens;
                            let data = Bytes::from(text(attempt, offset, tokens));
                            let (offset, tokens) = (TokenCount(offset), TokenCount(tokens));
                            (attempt, until, assembler.chunk(attempt, offset, tokens, data))
                        }
                        Message::End { attempt, total } => {
                            (attempt, total, assembler.end(attempt, TokenCount(total)))
                        }
                    };
                    let sender = &attempts[sender.0 as usize - 1];
                    match verdict {
                        ChunkVerdict::Deliver(data) => {
                            caller.push_str(&String::from_utf8_lossy(&data));
                            prop_assert_eq!(&caller, &sender.answer(until));
                        }
                        ChunkVerdict::Whole => {
                            prop_assert_eq!(until, LENGTH);
                            prop_assert_eq!(&caller, &sender.answer(LENGTH));
                        }
                        ChunkVerdict::Gap | ChunkVerdict::Short => assembler.abandon(),
                        ChunkVerdict::Drop => {}
                    }
                }
                Step::Lose(number) if !messages.is_empty() => {
                    let number = number % messages.len();
                    messages.swap_remove(number);
                }
                _ => {}
            }
        }
    }
}
