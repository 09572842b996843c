//! Settings of each process, and the configuration of the whole system that operators change while
//! it runs.
//!
//! Values are checked before use. Errors name the JSON field and the remedy.

mod account;
mod call;
mod change;
mod check;
mod class;
mod duties;
mod entry;
mod error;
mod gateway;
mod limits;
mod read;
mod secret;
mod side;
mod system_config;

pub use account::AccountConfig;
pub use call::CallConfig;
pub use change::ChangeRecord;
pub use class::ClassTarget;
pub use duties::DutySettings;
pub use duties::UsageTiming;
pub use entry::EntrySettings;
pub use error::ConfError;
pub use gateway::GatewaySettings;
pub use limits::EntryLimits;
pub use read::read_settings;
pub use secret::HexSecret;
pub use side::BackendKind;
pub use side::SideSettings;
pub use system_config::ServiceConfig;
pub use system_config::SystemConfig;
