//! Random reordering, loss and duplication of chunks: the delivered text is always a prefix of the
//! answer of the attempt that delivered last.

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
const ANSWER_TOKENS: u32 = 12;

#[derive(Debug, Clone)]
enum Step {
    /// A new attempt begins and resumes from the delivered text.
    Begin,
    /// The engine of an attempt sends its next chunk, or the end after the last token.
    Produce {
        attempt: usize,
        tokens: u32,
    },
    /// A sent message arrives, perhaps again.
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

/// Returns the text of some tokens of one attempt. The text differs between attempts.
fn chunk_text(attempt: AttemptId, from: u32, tokens: u32) -> String {
    let token = |index| format!("a{attempt}t{index} ");
    (from..from + tokens).map(token).collect()
}

/// Attempt with the text that was delivered before it began.
#[derive(Debug, Clone)]
struct Attempt {
    id: AttemptId,
    begin: u32,
    next: u32,
    prefix: String,
}

impl Attempt {
    /// Returns the answer up to an offset if this attempt continues the delivered text.
    fn answer(&self, until: u32) -> String {
        self.prefix.clone() + &chunk_text(self.id, self.begin, until - self.begin)
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
    fn assembler_random_schedules(steps in proptest::collection::vec(step(), 1..100)) {
        let mut assembler = AnswerAssembler::new();
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut messages: Vec<Message> = Vec::new();
        let mut received = String::new();
        for step in steps {
            match step {
                Step::Begin => {
                    let id = AttemptId(attempts.len() as u64 + 1);
                    let begin = assembler.begin_attempt(id).0;
                    let prefix = received.clone();
                    attempts.push(Attempt { id, begin, next: begin, prefix });
                }
                Step::Produce { attempt, tokens } if !attempts.is_empty() => {
                    let index = attempt % attempts.len();
                    let producer = &mut attempts[index];
                    let (id, next) = (producer.id, producer.next);
                    let tokens = tokens.min(ANSWER_TOKENS - next);
                    producer.next += tokens;
                    if tokens > 0 {
                        messages.push(Message::Chunk { attempt: id, offset: next, tokens });
                    } else {
                        messages.push(Message::End { attempt: id, total: ANSWER_TOKENS });
                    }
                }
                Step::Deliver(index) if !messages.is_empty() => {
                    let index = index % messages.len();
                    let (sender, until, verdict) = match messages[index].clone() {
                        Message::Chunk { attempt, offset, tokens } => {
                            let until = offset + tokens;
                            let data = Bytes::from(chunk_text(attempt, offset, tokens));
                            let (offset, tokens) = (TokenCount(offset), TokenCount(tokens));
                            (attempt, until, assembler.accept_chunk(attempt, offset, tokens, data))
                        }
                        Message::End { attempt, total } => {
                            (attempt, total, assembler.accept_end(attempt, TokenCount(total)))
                        }
                    };
                    let sender = &attempts[sender.0 as usize - 1];
                    match verdict {
                        ChunkVerdict::Deliver(data) => {
                            received.push_str(&String::from_utf8_lossy(&data));
                            prop_assert_eq!(&received, &sender.answer(until));
                        }
                        ChunkVerdict::Complete => {
                            prop_assert_eq!(until, ANSWER_TOKENS);
                            prop_assert_eq!(&received, &sender.answer(ANSWER_TOKENS));
                        }
                        ChunkVerdict::Gap | ChunkVerdict::Truncated => assembler.end_attempt(),
                        ChunkVerdict::Drop => {}
                    }
                }
                Step::Lose(index) if !messages.is_empty() => {
                    let index = index % messages.len();
                    messages.swap_remove(index);
                }
                _ => {}
            }
        }
    }
}
