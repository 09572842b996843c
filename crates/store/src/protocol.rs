//! Paths and JSON messages of Consul's HTTP API, limited to the calls in use.

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

/// Id of a session, which serves as a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub String);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Value with the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Content of the value.
    pub data: Bytes,
    /// Index of the last change, for compare-and-swap and watches; 0 for an absent value.
    pub index: u64,
    /// Session that holds the lock of the key, if any.
    pub session: Option<SessionId>,
}

/// JSON form of a value in replies.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ValueRecord {
    /// Key of the value.
    pub key: String,
    /// Value in Base64, absent for an empty or absent value.
    pub value: Option<String>,
    /// Index of the last change.
    pub modify_index: u64,
    /// Session that holds the lock of the key, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
}

/// Reply to a [`SessionRequest`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SessionReply {
    /// Id of the created session.
    #[serde(rename = "ID")]
    pub id: SessionId,
}

/// Request that creates a session.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SessionRequest {
    /// Human-readable name of the session.
    pub name: String,
    /// Time without a renewal after which the session expires, such as `10s`.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// Effect of the session's end on its locks: `release` or `delete`.
    pub behavior: String,
    /// Delay after the session's end until its locks can be acquired again.
    pub lock_delay: String,
}

impl SessionRequest {
    /// Creates a request for a session whose locks can be acquired as soon as it ends.
    pub fn new(name: &str, ttl: Duration) -> Self {
        Self {
            name: name.into(),
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "release".into(),
            lock_delay: "0s".into(),
        }
    }
}

/// Step of a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactionStep {
    /// Operation of the step.
    #[serde(rename = "KV")]
    pub kv: KvOperation,
}

/// Operation on one key in a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvOperation {
    /// `cas` or `get-or-empty`.
    pub verb: String,
    /// Key of the value.
    pub key: String,
    /// New value in Base64, for `cas`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Expected index, for `cas`.
    #[serde(default)]
    pub index: u64,
}

/// Reply to a transaction.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct TransactionReply {
    /// Results in the order of the steps.
    pub results: Vec<TransactionResult>,
    /// Errors of the steps that failed, in which case no step was applied.
    pub errors: Vec<TransactionError>,
}

/// Result of one step of a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TransactionResult {
    /// Value of the key.
    #[serde(rename = "KV")]
    pub kv: ValueRecord,
}

/// Error of one step, because of which the transaction was not applied.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactionError {
    /// Index of the step.
    pub op_index: usize,
    /// Error message.
    pub what: String,
}

/// Compare-and-swap write of one key in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapRequest {
    /// Key of the value.
    pub key: StoreKey,
    /// Index that the value must have for the write to succeed, 0 for an absent value.
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

/// Parses the values that a transaction read; an absent value has index 0.
pub(crate) fn parse_results(status: u16, body: &[u8]) -> Result<Vec<StoredValue>, StoreError> {
    check_status(status)?;
    let reply: TransactionReply = parse_json(body)?;
    reply
        .results
        .into_iter()
        .map(|result| decode_record(result.kv))
        .collect()
}

/// Returns whether the writes of a transaction took effect; after a conflict, none did.
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
    let reason = "a value is not valid Base64";
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

/// Parses the reply to a read of one key, which is `None` for an absent key.
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
