//! Places of plain servers: calls that wait at the gateway while all places are taken.

pub(crate) mod place_state;
pub(crate) mod place_ticket;
pub(crate) mod place_wait;
