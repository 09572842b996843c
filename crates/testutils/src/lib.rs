//! A caller for tests: sends requests and records what came back.

mod answer;
mod caller;
mod complete_answers;
mod frame_recorder;

pub use answer::StreamedAnswer;
pub use caller::CallerResponse;
pub use caller::TestCaller;
pub use complete_answers::check_complete_answers;
pub use frame_recorder::FrameRecorder;
