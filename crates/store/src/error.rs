//! Errors of the platform's services.

use snafu::Snafu;

/// Why a call of the store gave no answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The call was not sent; it had no effect.
    #[snafu(display("the store is out of reach: {reason}; try again later"))]
    NotSent {
        /// Why it was not sent.
        reason: String,
    },
    /// The call may have taken effect or not.
    #[snafu(display("the store's answer was lost: {reason}; read back what took effect"))]
    ReplyLost {
        /// Why the answer was lost.
        reason: String,
    },
    /// The store refused the call.
    #[snafu(display("the store answered {status}; check its address and its health"))]
    ErrorStatus {
        /// HTTP status.
        status: u16,
    },
    /// The answer has another shape than the protocol's.
    #[snafu(display("the store's answer cannot be read: {reason}; check its version"))]
    InvalidReply {
        /// What is wrong with it.
        reason: String,
    },
}

impl StoreError {
    /// Whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}
