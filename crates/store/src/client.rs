//! Asynchronous store client for daemons.

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
/// Time beyond its wait after which a watch without a reply fails.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
const REPLY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const TRANSACTION_PATH: &str = "/v1/txn";

/// Asynchronous client of the platform's key-value store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    address: SocketAddr,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the value of a key, or `None` if the key is absent.
    pub async fn get(&self, key: &StoreKey) -> Result<Option<StoredValue>, StoreError> {
        let reply = self
            .call(Method::GET, key_path(key), Bytes::new(), CALL_TIMEOUT)
            .await?;
        parse_value(reply.status.as_u16(), &reply.body)
    }

    /// Waits until a value's index exceeds `index` or `wait` has passed, then returns the value.
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

    /// Writes a value if its current index is `expected_index`, where 0 stands for an absent value.
    ///
    /// Returns whether the value was written.
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

    /// Reads several values in one transaction; an absent value is returned with index 0.
    pub async fn get_many(&self, keys: &[StoreKey]) -> Result<Vec<StoredValue>, StoreError> {
        let body = serde_json::to_vec(&get_steps(keys)).unwrap_or_default();
        let path = TRANSACTION_PATH.to_owned();
        let reply = self
            .call(Method::PUT, path, body.into(), CALL_TIMEOUT)
            .await?;
        parse_results(reply.status.as_u16(), &reply.body)
    }

    /// Writes several values in one transaction, provided that all expected indexes match.
    ///
    /// Returns whether the values were written.
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

    /// Renews a session.
    ///
    /// After an error, the caller must treat the session as not renewed.
    pub async fn renew_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/renew/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        check_status(reply.status.as_u16())
    }

    /// Ends a session, which releases its locks.
    pub async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{session}");
        let reply = self
            .call(Method::PUT, path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        check_status(reply.status.as_u16())
    }

    /// Acquires the lock of a key for a session and writes the value.
    ///
    /// Returns false, and writes nothing, if another session holds the lock.
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
    ) -> Result<HttpResponse, StoreError> {
        let call = HttpRequest::new(self.address, method, path).body(body);
        let sent = send_request(call, REPLY_LIMIT_BYTES, timeout).await;
        sent.map_err(classify_error)
    }
}

/// Distinguishes failures before the request was sent from later ones.
pub(crate) fn classify_error(error: WebError) -> StoreError {
    let reason = error.to_string();
    if error.is_unsent() {
        return StoreError::NotSent { reason };
    }
    StoreError::ReplyLost { reason }
}
