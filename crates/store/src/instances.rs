//! Client of the platform's list of instances, which lags behind their actual state.

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
    HttpRequest,
    send_request, //
};

use crate::StoreError;
use crate::client::classify_error;
use crate::protocol::{
    check_status,
    parse_json, //
};

/// Time beyond its wait after which a watch without a reply fails.
const WATCH_MARGIN: Duration = Duration::from_millis(2_000);
const INDEX_HEADER: &str = "x-consul-index";
const LIST_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Process that runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessKind {
    /// Entry, which accepts requests of callers.
    Entry,
    /// Side process, which runs next to a backend server.
    Side,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// Entry of the list for one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address at which other processes connect to the instance.
    pub address: SocketAddr,
    /// Process that runs on the instance.
    pub kind: ProcessKind,
    /// State of the instance.
    pub state: InstanceState,
}

/// Snapshot of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceList {
    /// Index of the last change, from which the next watch continues.
    pub index: u64,
    /// Instances in the list.
    pub records: Vec<InstanceRecord>,
}

/// Waits until the index of the list exceeds `index` or `wait` has passed, then returns the list.
pub async fn watch_instances(
    address: SocketAddr,
    index: u64,
    wait: Duration,
) -> Result<InstanceList, StoreError> {
    let path = format!("/v1/instances?index={index}&wait={}ms", wait.as_millis());
    let call = HttpRequest::new(address, Method::GET, path);
    let reply = send_request(call, LIST_LIMIT_BYTES, wait + WATCH_MARGIN).await;
    let reply = reply.map_err(classify_error)?;
    check_status(reply.status.as_u16())?;
    let index = reply.headers.get(INDEX_HEADER);
    let index = index.and_then(|value| value.to_str().ok());
    Ok(InstanceList {
        index: index.and_then(|text| text.parse().ok()).unwrap_or(0),
        records: parse_json(&reply.body)?,
    })
}
