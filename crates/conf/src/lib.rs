//! Settings of each process and the operators' configuration, checked when read.

mod account;
mod book;
mod call;
mod change;
mod check;
mod class;
mod entry;
mod error;
mod gateway;
mod limits;
mod read;
mod secret;
mod side;

pub use account::AccountRule;
pub use account::KeyDigest;
pub use book::ConfigBook;
pub use book::ServiceRule;
pub use call::CallRule;
pub use change::ChangeRecord;
pub use class::ClassTarget;
pub use entry::EntrySettings;
pub use error::ConfError;
pub use gateway::GatewaySettings;
pub use limits::EntryLimits;
pub use read::read_settings;
pub use secret::SecretText;
pub use side::BackendKind;
pub use side::SideSettings;
