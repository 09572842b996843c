//! Errors of calls to the platform's services.

use snafu::Snafu;

/// Error of a call to the store or to the list of instances.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The request was not sent and had no effect.
    #[snafu(display("cannot reach the store: {reason}; try again later"))]
    NotSent {
        /// Reason for which the request was not sent.
        reason: String,
    },
    /// The request was sent but no reply arrived; it may have taken effect.
    #[snafu(display(
        "no reply from the store: {reason}; read the value back to see whether the call took effect"
    ))]
    ReplyLost {
        /// Reason for which no reply arrived.
        reason: String,
    },
    /// The store replied with an error status.
    #[snafu(display(
        "the store replied with HTTP status {status}; check its address and its health"
    ))]
    ErrorStatus {
        /// HTTP status of the reply.
        status: u16,
    },
    /// The reply does not conform to the protocol.
    #[snafu(display("cannot parse the store's reply: {reason}; check the store's version"))]
    InvalidReply {
        /// Parse error.
        reason: String,
    },
}

impl StoreError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}
