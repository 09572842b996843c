//! HTTP/1.1 server and client based on `hyper`, with limits on sizes, connections and times.

mod body;
mod body_budget;
mod client;
mod connection;
mod connection_state;
mod error;
mod limits;
mod listen;
mod observed_stream;
mod read_budget;
mod server;

pub use body::AbortedResponse;
pub use body::BodySender;
pub use body::ResponseBody;
pub use body::abortable_body;
pub use body::bytes_body;
pub use body::channel_body;
pub use body::json_response;
pub use body::read_body;
pub use body_budget::BodyBudget;
pub use client::HttpRequest;
pub use client::HttpResponse;
pub use client::open_response;
pub use client::send_request;
pub use connection::ClientConnection;
pub use connection::ConnectionPool;
pub use connection::SendFailure;
pub use connection_state::ConnectionUse;
pub use connection_state::FIRST_REQUEST_TIME;
pub use error::WebError;
pub use error::is_malformed;
pub use limits::ConnectionLimits;
pub use limits::ServerLimits;
pub use listen::listen;
pub use server::serve;
pub use server::serve_connection;
