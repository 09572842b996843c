//! Check that each caller received the complete answer to its own request.

use tokio::task::JoinHandle;

use crate::StreamedAnswer;

/// Waits for all callers and compares their answers with the expected text.
///
/// `expected` returns the text for the index of a caller, starting at 0.
///
/// # Panics
///
/// Panics if an answer is incomplete or differs from the expected text.
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
