//! Limit on the bytes that a client connection reads for one response.

use std::io::{
    Error,
    ErrorKind, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
/// Number of bytes that may still be read for the current response, framing included.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Replaces the budget.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Charges bytes to the budget, or fails if it is exhausted.
    pub(crate) fn charge(&self, bytes: usize) -> std::io::Result<()> {
        let charged = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        match charged {
            Ok(_) => Ok(()),
            Err(_) => {
                let message = "the response is longer than this client accepts";
                Err(Error::new(ErrorKind::InvalidData, message))
            }
        }
    }
}
