//! Speeds of single backend servers, as they last and as they are at the moment.

mod engine_speed;
mod prefill_pace;
mod running_prefills;
mod server_speed;

pub(crate) use prefill_pace::PrefillPace;
pub use running_prefills::PrefillId;
pub(crate) use running_prefills::RunningPrefills;
pub use server_speed::ServerSpeed;
pub use server_speed::SpeedSample;
