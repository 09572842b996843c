//! The check that every caller got the whole answer to its own request.

use tokio::task::JoinHandle;

use crate::StreamedAnswer;

/// Waits for callers, numbered from 0, and holds their answers against the expected ones.
///
/// # Panics
///
/// Where an answer is not whole, or not that of its caller.
pub async fn check_complete_answers(
    callers: Vec<JoinHandle<StreamedAnswer>>,
    expected: impl Fn(usize) -> String,
) {
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.await.expect("callers do not panic");
        assert!(answer.is_complete(), "caller {number}: {answer:?}");
        assert_eq!(answer.text, expected(number), "caller {number}");
    }
}
