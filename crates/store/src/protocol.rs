//! Paths and JSON shapes of Consul's HTTP interface, as far as they are used.

use std::fmt;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::OptionExt;

use crate::error::{
    ErrorStatusSnafu,
    InvalidReplySnafu, //
};
use crate::{
    StoreError,
    StoreKey, //
};

/// A session, the store's form of a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub String);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A value with the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The value.
    pub data: Bytes,
    /// Index of its last change, for compare-and-swap and watches.
    pub index: u64,
    /// Session that holds its lock.
    pub session: Option<SessionId>,
}

/// A value as the interface shows it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ValueRecord {
    /// Key.
    pub key: String,
    /// Value in Base64.
    pub value: Option<String>,
    /// Index of the last change.
    pub modify_index: u64,
    /// Session that holds the lock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
}

/// Answer to the creation of a session.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SessionReply {
    /// Id of the session.
    #[serde(rename = "ID")]
    pub id: SessionId,
}

/// Asks for a session.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SessionRequest {
    /// Name for people.
    pub name: String,
    /// Duration without renewal, such as `10s`.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// What becomes of locks when the session ends.
    pub behavior: String,
    /// Pause before another session may take a lock.
    pub lock_delay: String,
}

impl SessionRequest {
    /// A session whose lock is free at once when it ends.
    pub fn new(name: &str, ttl: Duration) -> Self {
        Self {
            name: name.into(),
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release".into(),
            lock_delay: "0s".into(),
        }
    }
}

/// One step of a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactionStep {
    /// What it does to a key.
    #[serde(rename = "KV")]
    pub kv: KvOperation,
}

/// What a step does to a key.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvOperation {
    /// `cas` or `get-or-empty`.
    pub verb: String,
    /// Key.
    pub key: String,
    /// Value in Base64, for `cas`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Index expected, for `cas`.
    #[serde(default)]
    pub index: u64,
}

/// Answer to a transaction.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct TransactionReply {
    /// Values read, in the order of the steps.
    pub results: Vec<TransactionResult>,
    /// Steps for which nothing was done.
    pub errors: Vec<TransactionError>,
}

/// A value that a transaction read.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TransactionResult {
    /// The value.
    #[serde(rename = "KV")]
    pub kv: ValueRecord,
}

/// Why a transaction did nothing.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactionError {
    /// Number of the step.
    pub op_index: usize,
    /// What is wrong with it.
    pub what: String,
}

/// A write of one key in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapRequest {
    /// Key.
    pub key: StoreKey,
    /// Index that it must still have, 0 for an absent one.
    pub expected_index: u64,
    /// New value.
    pub data: Bytes,
}

pub(crate) fn get_steps(keys: &[StoreKey]) -> Vec<TransactionStep> {
    let step = |key: &StoreKey| TransactionStep {
        kv: KvOperation {
            verb: "get-or-empty".into(),
            key: key.to_string(),
            value: None,
            index: 0,
        },
    };
    keys.iter().map(step).collect()
}

pub(crate) fn cas_steps(swaps: &[SwapRequest]) -> Vec<TransactionStep> {
    let step = |swap: &SwapRequest| TransactionStep {
        kv: KvOperation {
            verb: "cas".into(),
            key: swap.key.to_string(),
            value: Some(STANDARD.encode(&swap.data)),
            index: swap.expected_index,
        },
    };
    swaps.iter().map(step).collect()
}

/// Reads the values of a transaction, an index of 0 standing for an absent one.
pub(crate) fn parse_results(status: u16, body: &[u8]) -> Result<Vec<StoredValue>, StoreError> {
    check_status(status)?;
    let reply: TransactionReply = parse_json(body)?;
    reply
        .results
        .into_iter()
        .map(|result| decode_record(result.kv))
        .collect()
}

/// Whether the writes of a transaction took effect; a conflict means that none did.
pub(crate) fn parse_swap_status(status: u16) -> Result<bool, StoreError> {
    if status == 409 {
        return Ok(false);
    }
    check_status(status)?;
    Ok(true)
}

fn decode_record(record: ValueRecord) -> Result<StoredValue, StoreError> {
    let text = record.value.unwrap_or_default();
    let decoded = STANDARD.decode(text).ok();
    let reason = "a value is not Base64";
    let data = decoded.context(InvalidReplySnafu { reason })?;
    Ok(StoredValue {
        data: data.into(),
        index: record.modify_index,
        session: record.session,
    })
}

pub(crate) fn key_path(key: &StoreKey) -> String {
    format!("/v1/kv/{key}")
}

pub(crate) fn watch_path(key: &StoreKey, index: u64, wait: Duration) -> String {
    format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis())
}

pub(crate) fn cas_path(key: &StoreKey, expected: u64) -> String {
    format!("/v1/kv/{key}?cas={expected}")
}

pub(crate) fn acquire_path(key: &StoreKey, session: &SessionId) -> String {
    format!("/v1/kv/{key}?acquire={session}")
}

pub(crate) fn parse_value(status: u16, body: &[u8]) -> Result<Option<StoredValue>, StoreError> {
    if status == 404 {
        return Ok(None);
    }
    check_status(status)?;
    let records: Vec<ValueRecord> = parse_json(body)?;
    records.into_iter().next().map(decode_record).transpose()
}

pub(crate) fn parse_bool(status: u16, body: &[u8]) -> Result<bool, StoreError> {
    check_status(status)?;
    parse_json(body)
}

pub(crate) fn parse_session(status: u16, body: &[u8]) -> Result<SessionId, StoreError> {
    check_status(status)?;
    let record: SessionReply = parse_json(body)?;
    Ok(record.id)
}

pub(crate) fn check_status(status: u16) -> Result<(), StoreError> {
    if status != 200 {
        return ErrorStatusSnafu { status }.fail();
    }
    Ok(())
}

pub(crate) fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::InvalidReply {
        reason: error.to_string(),
    })
}
