//! The store's client for daemons.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use web::{
    HttpCall,
    HttpReply,
    WebError,
    send_call, //
};

use crate::protocol::{
    SessionId,
    SessionRequest,
    StoredValue,
    SwapRequest,
    acquire_path,
    cas_path,
    cas_steps,
    check_status,
    get_steps,
    key_path,
    parse_bool,
    parse_results,
    parse_session,
    parse_swap_status,
    parse_value,
    watch_path, //
};
use crate::{
    StoreError,
    StoreKey, //
};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Slack that a watch gets beyond its wait before its answer counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
const REPLY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
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
            .call(Method::GET, key_path(key), Bytes::new(), CALL_TIMEOUT)
            .await?;
        parse_value(reply.status.as_u16(), &reply.body)
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
            .call(Method::GET, path, Bytes::new(), wait + WATCH_MARGIN)
            .await?;
        parse_value(reply.status.as_u16(), &reply.body)
    }

    /// Writes a value if its index is still the expected one, 0 for an absent value.
    pub async fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected_index: u64,
        data: Bytes,
    ) -> Result<bool, StoreError> {
        let path = cas_path(key, expected_index);
        let reply = self.call(Method::PUT, path, data, CALL_TIMEOUT).await?;
        parse_bool(reply.status.as_u16(), &reply.body)
    }

    /// Reads several values in one call, an index of 0 standing for an absent one.
    pub async fn get_many(&self, keys: &[StoreKey]) -> Result<Vec<StoredValue>, StoreError> {
        let body = serde_json::to_vec(&get_steps(keys)).unwrap_or_default();
        let path = TRANSACTION_PATH.to_owned();
        let reply = self
            .call(Method::PUT, path, body.into(), CALL_TIMEOUT)
            .await?;
        parse_results(reply.status.as_u16(), &reply.body)
    }

    /// Writes several values in one call, all of them or none.
    pub async fn compare_and_swap_many(&self, swaps: &[SwapRequest]) -> Result<bool, StoreError> {
        let body = serde_json::to_vec(&cas_steps(swaps)).unwrap_or_default();
        let path = TRANSACTION_PATH.to_owned();
        let reply = self
            .call(Method::PUT, path, body.into(), CALL_TIMEOUT)
            .await?;
        parse_swap_status(reply.status.as_u16())
    }

    /// Creates a session.
    pub async fn create_session(&self, request: &SessionRequest) -> Result<SessionId, StoreError> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let path = "/v1/session/create".to_owned();
        let reply = self
            .call(Method::PUT, path, body.into(), CALL_TIMEOUT)
            .await?;
        parse_session(reply.status.as_u16(), &reply.body)
    }

    /// Renews a session; an error means that it must count as not renewed.
    pub async fn renew_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/renew/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        check_status(reply.status.as_u16())
    }

    /// Ends a session, which frees its locks.
    pub async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIMEOUT)
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
        let reply = self.call(Method::PUT, path, data, CALL_TIMEOUT).await?;
        parse_bool(reply.status.as_u16(), &reply.body)
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpReply, StoreError> {
        let call = HttpCall::new(self.address, method, path).body(body);
        let sent = send_call(call, REPLY_LIMIT_BYTES, timeout).await;
        sent.map_err(classify_error)
    }
}

/// Tells failures before the request was sent from those after.
pub(crate) fn classify_error(error: WebError) -> StoreError {
    let reason = error.to_string();
    if error.is_unsent() {
        return StoreError::NotSent { reason };
    }
    StoreError::ReplyLost { reason }
}
