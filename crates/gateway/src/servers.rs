//! What backend servers say of themselves, and what this gateway has them do.

pub(crate) mod backend_entries;
pub(crate) mod cache_lists;
pub(crate) mod in_flight;
pub(crate) mod kv_cache;
pub(crate) mod leaving_servers;
pub(crate) mod sent_requests;
pub(crate) mod server_notices;
pub(crate) mod server_rests;
pub(crate) mod stages;
