//! The platform's lagging list of live and leaving instances.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    DataCentre,
    InstanceId, //
};
use web::{
    HttpCall,
    send_call, //
};

use crate::StoreError;
use crate::client::classify_error;
use crate::protocol::{
    check_status,
    parse_json, //
};

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
const INDEX_HEADER: &str = "x-consul-index";
const LIST_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Which process of the system runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessKind {
    /// An entry.
    Entry,
    /// A side process with its backend server.
    Side,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Its id.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// Which process runs there.
    pub kind: ProcessKind,
    /// Whether it stays.
    pub state: InstanceState,
}

/// The list at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceList {
    /// Index of its last change, for the next read.
    pub index: u64,
    /// The instances.
    pub records: Vec<InstanceRecord>,
}

/// Waits until the list changes beyond an index, or the wait is over, and reads it.
pub async fn watch_instances(
    address: SocketAddr,
    index: u64,
    wait: Duration,
) -> Result<InstanceList, StoreError> {
    let path = format!("/v1/instances?index={index}&wait={}ms", wait.as_millis());
    let call = HttpCall::new(address, Method::GET, path);
    let reply = send_call(call, LIST_LIMIT_BYTES, wait + CALL_TIMEOUT).await;
    let reply = reply.map_err(classify_error)?;
    check_status(reply.status.as_u16())?;
    let index = reply.headers.get(INDEX_HEADER);
    let index = index.and_then(|value| value.to_str().ok());
    Ok(InstanceList {
        index: index.and_then(|text| text.parse().ok()).unwrap_or(0),
        records: parse_json(&reply.body)?,
    })
}
