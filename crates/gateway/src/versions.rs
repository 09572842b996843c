//! Software versions that began streams.

pub(crate) mod origin_lookup;
pub(crate) mod origin_messages;
pub(crate) mod origin_reader;
pub(crate) mod origin_state;
pub(crate) mod origin_store;
pub(crate) mod version_document;
