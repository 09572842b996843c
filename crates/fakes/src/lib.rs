//! In-process fakes of external services: the key-value store, the instance list, model engines and
//! plain services.

mod accepted_order;
mod answer;
mod engine_http;
mod engine_simulator;
mod engine_state;
mod kv_http;
mod kv_state;
mod platform;
mod query;
mod relay;
mod server;
mod service;

pub use accepted_order::AcceptedOrder;
pub use accepted_order::check_order_history;
pub use answer::expected_answer;
pub use answer::token_text;
pub use engine_http::FakeEngine;
pub use engine_simulator::EngineSimulator;
pub use engine_simulator::StreamEnd;
pub use engine_simulator::StreamEvent;
pub use engine_simulator::StreamKey;
pub use engine_simulator::StreamSpec;
pub use engine_state::EngineFaults;
pub use engine_state::FakeEngineSettings;
pub use kv_http::FakeStore;
pub use kv_state::StoreFaults;
pub use platform::FakePlatform;
pub use relay::StallingRelay;
pub use service::FakeService;
pub use service::ServiceFaults;
