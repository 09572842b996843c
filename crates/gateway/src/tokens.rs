//! Limits that backend servers name, and the tokens by which gateways share them.

pub(crate) mod server_limits;
pub(crate) mod token_estimate;
pub(crate) mod token_exchange;
pub(crate) mod token_messages;
pub(crate) mod token_state;
pub(crate) mod token_ticket;
pub(crate) mod token_wait;
