//! Requests whose responses are streams.

pub(crate) mod forward;
pub(crate) mod generation;
pub(crate) mod prefill;
pub(crate) mod standby;
pub(crate) mod stream_attempt;
pub(crate) mod stream_forwarder;
pub(crate) mod stream_race;
pub(crate) mod stream_timing;
