//! Blocking store client for the command line.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::http::Response;

use crate::protocol::{
    StoredValue,
    cas_path,
    key_path,
    parse_bool,
    parse_value, //
};
use crate::{
    StoreError,
    StoreKey, //
};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Blocking client of the platform's key-value store.
#[derive(Debug, Clone)]
pub struct BlockingClient {
    address: SocketAddr,
    agent: Agent,
}

impl BlockingClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        let agent = Agent::new_with_config(config);
        Self { address, agent }
    }

    /// Returns the value of a key, or `None` if the key is absent.
    pub fn get(&self, key: &StoreKey) -> Result<Option<StoredValue>, StoreError> {
        let url = self.url(&key_path(key));
        let reply = self.agent.get(url).call().map_err(classify_error)?;
        let (status, body) = read_reply(reply)?;
        parse_value(status, &body)
    }

    /// Writes a value if its current index is `expected_index`, where 0 stands for an absent value.
    ///
    /// Returns whether the value was written.
    pub fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected_index: u64,
        data: &[u8],
    ) -> Result<bool, StoreError> {
        let url = self.url(&cas_path(key, expected_index));
        let reply = self.agent.put(url).send(data).map_err(classify_error)?;
        let (status, body) = read_reply(reply)?;
        parse_bool(status, &body)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn read_reply(mut reply: Response<ureq::Body>) -> Result<(u16, Vec<u8>), StoreError> {
    let status = reply.status().as_u16();
    let body = reply.body_mut().read_to_vec().map_err(classify_error)?;
    Ok((status, body))
}

/// Distinguishes failures before the request was sent from later ones.
fn classify_error(error: ureq::Error) -> StoreError {
    let reason = error.to_string();
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => StoreError::NotSent { reason },
        ureq::Error::Io(ref source) if source.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::NotSent { reason }
        }
        _ => StoreError::ReplyLost { reason },
    }
}
