//! Codec for length-prefixed Protocol Buffers frames.

use bytes::{
    Bytes,
    BytesMut, //
};
use prost::Message;
use snafu::ResultExt;
use tokio_util::codec::{
    Decoder,
    Encoder,
    LengthDelimitedCodec, //
};

use crate::error::{
    DecodeSnafu,
    IoSnafu, //
};
use crate::traffic::{
    count_received,
    count_sent, //
};
use crate::{
    Frame,
    WireError, //
};

/// Maximum frame length; a longer frame closes the connection before its content is received.
pub const FRAME_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Length of the prefix that holds a frame's length.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encoder and decoder of frames, which counts the bytes of all links.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that enforces [`FRAME_LIMIT_BYTES`].
    pub fn new() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(data) = self.inner.decode(source).context(IoSnafu)? else {
            return Ok(None);
        };
        count_received(data.len() + LENGTH_PREFIX_BYTES);
        let frame = Frame::decode(data.freeze()).context(DecodeSnafu)?;
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), WireError> {
        let data = Bytes::from(frame.encode_to_vec());
        count_sent(data.len() + LENGTH_PREFIX_BYTES);
        self.inner.encode(data, target).context(IoSnafu)
    }
}

impl From<std::io::Error> for WireError {
    fn from(source: std::io::Error) -> Self {
        WireError::Io { source }
    }
}
