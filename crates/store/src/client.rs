//! The store's client for daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use web::{
    HttpRequest,
    HttpResponse,
    WebError,
    send_request, //
};

use crate::protocol::{
    SessionId,
    SessionRequest,
    StoredValue,
    SwapRequest,
    acquire_path,
    check_status,
    key_path,
    read_bool,
    read_results,
    read_session,
    read_steps,
    read_swapped,
    read_value,
    swap_path,
    swap_steps,
    watch_path, //
};
use crate::{
    StoreError,
    StoreKey, //
};

const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Slack that a watch gets beyond its wait before its answer counts as lost.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);
const VALUE_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const TRANSACTION_PATH: &str = "/v1/txn";

/// Talks to the platform's key-value service.
#[derive(Debug, Clone)]
pub struct StoreClient {
    address: SocketAddr,
}

impl StoreClient {
    /// A client for the service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads a value.
    pub async fn get(&self, key: &StoreKey) -> Result<Option<StoredValue>, StoreError> {
        let reply = self
            .call(Method::GET, key_path(key), Bytes::new(), CALL_TIME)
            .await?;
        read_value(reply.status.as_u16(), &reply.body)
    }

    /// Waits until a value changes beyond an index, or the wait is over, and reads it.
    pub async fn watch(
        &self,
        key: &StoreKey,
        index: u64,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let path = watch_path(key, index, wait);
        let reply = self
            .call(Method::GET, path, Bytes::new(), wait + WATCH_SLACK)
            .await?;
        read_value(reply.status.as_u16(), &reply.body)
    }

    /// Writes a value if its index is still the expected one, 0 for an absent value.
    pub async fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected: u64,
        data: Bytes,
    ) -> Result<bool, StoreError> {
        let path = swap_path(key, expected);
        let reply = self.call(Method::PUT, path, data, CALL_TIME).await?;
        read_bool(reply.status.as_u16(), &reply.body)
    }

    /// Reads several values in one call, an index of 0 standing for an absent one.
    pub async fn get_many(&self, keys: &[StoreKey]) -> Result<Vec<StoredValue>, StoreError> {
        let body = serde_json::to_vec(&read_steps(keys)).unwrap_or_default();
        let path = TRANSACTION_PATH.to_owned();
        let reply = self.call(Method::PUT, path, body.into(), CALL_TIME).await?;
        read_results(reply.status.as_u16(), &reply.body)
    }

    /// Writes several values in one call, all of them or none.
    pub async fn swap_many(&self, swaps: &[SwapRequest]) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(&swap_steps(swaps)).unwrap_or_default();
        let path = TRANSACTION_PATH.to_owned();
        let reply = self.call(Method::PUT, path, body.into(), CALL_TIME).await?;
        read_swapped(reply.status.as_u16())
    }

    /// Creates a session.
    pub async fn create_session(&self, request: &SessionRequest) -> Result<SessionId, StoreError> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let path = "/v1/session/create".to_owned();
        let reply = self.call(Method::PUT, path, body.into(), CALL_TIME).await?;
        read_session(reply.status.as_u16(), &reply.body)
    }

    /// Renews a session; an error means that it must count as not renewed.
    pub async fn renew_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/renew/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIME)
            .await?;
        check_status(reply.status.as_u16())
    }

    /// Ends a session, which frees its locks.
    pub async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIME)
            .await?;
        check_status(reply.status.as_u16())
    }

    /// Writes a value and takes its lock for a session, unless another holds it.
    pub async fn acquire(
        &self,
        key: &StoreKey,
        session: &SessionId,
        data: Bytes,
    ) -> Result<bool, StoreError> {
        let path = acquire_path(key, session);
        let reply = self.call(Method::PUT, path, data, CALL_TIME).await?;
        read_bool(reply.status.as_u16(), &reply.body)
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        time: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let call = HttpRequest::new(self.address, method, path).body(body);
        let sent = send_request(call, VALUE_LIMIT_BYTES, time).await;
        sent.map_err(classify)
    }
}

/// Tells failures before the request was sent from those after.
pub(crate) fn classify(error: WebError) -> StoreError {
    let reason = error.to_string();
    if error.is_unsent() {
        return StoreError::Unsent { reason };
    }
    StoreError::Lost { reason }
}
