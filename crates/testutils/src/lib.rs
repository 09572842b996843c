//! A caller for tests: sends requests and records what came back.

mod answer;
mod caller;
mod tap;
mod whole;

pub use answer::StreamedAnswer;
pub use caller::CallerReply;
pub use caller::SiteCaller;
pub use tap::FrameTap;
pub use whole::check_whole;
