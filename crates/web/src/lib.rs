//! HTTP server and client over `hyper`, with limits on size, connections and time.

mod body;
mod bounds;
mod channel;
mod client;
mod error;
mod listen;
mod server;
mod waiting;

pub use body::BrokenReply;
pub use body::ReplyBody;
pub use body::ReplyPart;
pub use body::breakable_body;
pub use body::bytes_body;
pub use body::channel_body;
pub use body::json_reply;
pub use body::read_body;
pub use bounds::ConnectionBounds;
pub use bounds::ServerLimits;
pub use channel::ChannelPool;
pub use channel::OpenChannel;
pub use channel::SendFailure;
pub use client::HttpCall;
pub use client::HttpReply;
pub use client::open_call;
pub use client::send_call;
pub use error::WebError;
pub use listen::listen;
pub use server::serve;
pub use server::serve_stream;
