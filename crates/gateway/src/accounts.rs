//! Accounts of callers: what gateways tell each other of the configuration that holds them, and counts.

pub(crate) mod account_metrics;
pub(crate) mod config_claims;
pub(crate) mod config_pull;
pub(crate) mod config_server;
pub(crate) mod config_sharing;
