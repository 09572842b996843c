//! Tests that the codec decodes arbitrary bytes without a panic and restores encoded frames.

#![allow(clippy::unwrap_used)]

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};
use proptest::prelude::*;
use tokio_util::codec::{
    Decoder,
    Encoder, //
};
use wire::{
    AnswerChunk,
    AnswerEnd,
    CallRequest,
    FRAME_LIMIT_BYTES,
    Frame,
    FrameCodec,
    FrameKind,
    GenerateRequest,
    RoleOrder, //
};

const CASES: u32 = 10_000;

fn bytes() -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn frame_kind() -> impl Strategy<Value = FrameKind> {
    prop_oneof![
        (any::<u64>(), any::<u32>(), any::<u32>(), bytes()).prop_map(
            |(attempt, offset, tokens, text)| {
                FrameKind::Chunk(AnswerChunk {
                    attempt,
                    offset,
                    tokens,
                    text,
                })
            }
        ),
        (any::<u64>(), any::<u32>(), any::<i32>(), ".{0,20}").prop_map(
            |(attempt, total_tokens, finish, kv_handle)| {
                FrameKind::End(AnswerEnd {
                    attempt,
                    total_tokens,
                    finish,
                    kv_handle,
                })
            }
        ),
        (any::<u64>(), bytes(), bytes(), any::<bool>()).prop_map(
            |(attempt, prompt, prior_output, isolated)| {
                FrameKind::Generate(GenerateRequest {
                    attempt,
                    prompt,
                    prior_output,
                    isolated,
                    ..GenerateRequest::default()
                })
            }
        ),
        (any::<u64>(), ".{0,40}", bytes()).prop_map(|(attempt, ticket, body)| {
            FrameKind::Call(CallRequest {
                attempt,
                ticket,
                body,
                ..CallRequest::default()
            })
        }),
        (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(order, epoch, clock_ms)| {
            FrameKind::Order(RoleOrder {
                order,
                epoch,
                clock_ms,
                ..RoleOrder::default()
            })
        }),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decode_any_bytes(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut codec = FrameCodec::new();
        let mut source = BytesMut::from(&data[..]);
        while let Ok(Some(_)) = codec.decode(&mut source) {}
    }

    #[test]
    fn decode_in_chunks(kinds in proptest::collection::vec(frame_kind(), 1..4), cut in 1_usize..50) {
        let mut encoder = FrameCodec::new();
        let mut encoded = BytesMut::new();
        for kind in &kinds {
            encoder.encode(Frame::from(kind.clone()), &mut encoded).unwrap();
        }
        let mut decoder = FrameCodec::new();
        let mut source = BytesMut::new();
        let mut decoded = Vec::new();
        for chunk in encoded.chunks(cut) {
            source.extend_from_slice(chunk);
            while let Some(frame) = decoder.decode(&mut source).unwrap() {
                decoded.push(frame.kind.unwrap());
            }
        }
        prop_assert_eq!(decoded, kinds);
    }
}

#[test]
fn decode_oversized_frame() {
    let mut source = BytesMut::new();
    source.put_u32(FRAME_LIMIT_BYTES as u32 + 1);
    assert!(FrameCodec::new().decode(&mut source).is_err());
    assert!(
        source.capacity() < FRAME_LIMIT_BYTES,
        "no memory is reserved for an oversized frame"
    );
}
