//! Clients of the platform's key-value store and of its list of instances.
//!
//! The store has the HTTP API of Consul: `cas` parameters make compare-and-swap writes, sessions
//! serve as leases, and blocking queries as watches.

mod blocking;
mod client;
mod error;
mod instances;
mod keys;
mod protocol;

pub use blocking::BlockingClient;
pub use client::StoreClient;
pub use error::StoreError;
pub use instances::InstanceList;
pub use instances::InstanceRecord;
pub use instances::InstanceState;
pub use instances::ProcessKind;
pub use instances::watch_instances;
pub use keys::StoreKey;
pub use protocol::KvOperation;
pub use protocol::SessionId;
pub use protocol::SessionReply;
pub use protocol::SessionRequest;
pub use protocol::StoredValue;
pub use protocol::SwapRequest;
pub use protocol::TransactionError;
pub use protocol::TransactionReply;
pub use protocol::TransactionResult;
pub use protocol::TransactionStep;
pub use protocol::ValueRecord;
