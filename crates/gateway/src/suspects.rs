//! Requests and parts of prompts that may crash backend servers.

pub(crate) mod answer_watch;
pub(crate) mod crash_probe;
pub(crate) mod crash_suspects;
pub(crate) mod server_process;
pub(crate) mod suspect_news;
pub(crate) mod suspect_record;
pub(crate) mod suspect_report;
pub(crate) mod suspect_sharing;
pub(crate) mod suspect_store;
pub(crate) mod unframed_end;
