//! Test helpers: a client that sends requests, a check of answers and a recorder of link frames.

mod answer;
mod caller;
mod complete_answers;
mod frame_recorder;

pub use answer::StreamedAnswer;
pub use caller::CallerResponse;
pub use caller::TestCaller;
pub use complete_answers::check_complete_answers;
pub use frame_recorder::FrameRecorder;
