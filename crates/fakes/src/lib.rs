//! Small stand-ins for what the system meets: store, platform list, engines and plain services.

mod answer;
mod engine_http;
mod engine_model;
mod engine_state;
mod kv_http;
mod kv_state;
mod order_log;
mod platform;
mod query;
mod relay;
mod server;
mod service;

pub use answer::expected_answer;
pub use answer::token_text;
pub use engine_http::FakeEngine;
pub use engine_model::EngineModel;
pub use engine_model::StreamEnd;
pub use engine_model::StreamKey;
pub use engine_model::StreamSpec;
pub use engine_model::TokenEvent;
pub use engine_state::EngineFaults;
pub use engine_state::FakeEngineSettings;
pub use kv_http::FakeStore;
pub use kv_state::StoreFaults;
pub use order_log::OrderEntry;
pub use order_log::check_orders;
pub use platform::FakePlatform;
pub use relay::SilentRelay;
pub use service::FakeService;
pub use service::ServiceFaults;
