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
use crate::client::classify;
use crate::protocol::{
    check_status,
    read_json, //
};

const CALL_TIME: Duration = Duration::from_millis(2_000);
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

/// Reads the list from the platform.
pub async fn list_instances(address: SocketAddr) -> Result<Vec<InstanceRecord>, StoreError> {
    let call = HttpCall::new(address, Method::GET, "/v1/instances");
    let reply = send_call(call, LIST_LIMIT_BYTES, CALL_TIME).await;
    let reply = reply.map_err(classify)?;
    check_status(reply.status.as_u16())?;
    read_json(&reply.body)
}
