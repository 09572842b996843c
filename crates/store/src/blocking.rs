//! The store's client for the command line.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use ureq::http::Response;

use crate::protocol::{
    StoredValue,
    key_path,
    read_bool,
    read_value,
    swap_path, //
};
use crate::{
    StoreError,
    StoreKey, //
};

const CALL_TIME: Duration = Duration::from_secs(3);

/// Talks to the platform's key-value service, one call at a time.
#[derive(Debug, Clone)]
pub struct BlockingClient {
    address: SocketAddr,
    agent: Agent,
}

impl BlockingClient {
    /// A client for the service at an address.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIME))
            .http_status_as_error(false)
            .build();
        let agent = Agent::new_with_config(config);
        Self { address, agent }
    }

    /// Reads a value.
    pub fn get(&self, key: &StoreKey) -> Result<Option<StoredValue>, StoreError> {
        let url = self.url(&key_path(key));
        let reply = self.agent.get(url).call().map_err(classify)?;
        let (status, body) = read_reply(reply)?;
        read_value(status, &body)
    }

    /// Writes a value if its index is still the expected one, 0 for an absent value.
    pub fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected: u64,
        data: &[u8],
    ) -> Result<bool, StoreError> {
        let url = self.url(&swap_path(key, expected));
        let reply = self.agent.put(url).send(data).map_err(classify)?;
        let (status, body) = read_reply(reply)?;
        read_bool(status, &body)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn read_reply(mut reply: Response<ureq::Body>) -> Result<(u16, Vec<u8>), StoreError> {
    let status = reply.status().as_u16();
    let body = reply.body_mut().read_to_vec().map_err(classify)?;
    Ok((status, body))
}

fn classify(error: ureq::Error) -> StoreError {
    let reason = error.to_string();
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => StoreError::Unsent { reason },
        ureq::Error::Io(ref source) if source.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unsent { reason }
        }
        _ => StoreError::Lost { reason },
    }
}
