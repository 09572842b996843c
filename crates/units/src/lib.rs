//! Newtypes for the names, ids and quantities shared by the crates of the workspace.

mod error;
mod key_digest;
mod name;
mod number;
mod request_rate;
mod software_version;
mod suspect;

pub use error::UnitError;
pub use key_digest::KeyDigest;
pub use name::AccountName;
pub use name::CallName;
pub use name::ClassName;
pub use name::DataCentre;
pub use name::InstanceId;
pub use name::ModelName;
pub use name::RouteName;
pub use name::ServiceName;
pub use number::AttemptId;
pub use number::ConfigVersion;
pub use number::EngineSeconds;
pub use number::EpochNumber;
pub use number::FingerprintId;
pub use number::IncarnationId;
pub use number::PieceCount;
pub use number::RequestId;
pub use number::SegmentId;
pub use number::StoreEra;
pub use number::StreamKey;
pub use number::TokenCount;
pub use number::TokenRate;
pub use number::UsageWindow;
pub use number::WorthPoints;
pub use request_rate::RequestRate;
pub use software_version::SoftwareVersion;
pub use suspect::SuspectId;
