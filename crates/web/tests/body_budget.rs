//! Bodies in memory stay within the budget of the process.

#![allow(clippy::unwrap_used)]

use std::pin::Pin;
use std::task::{
    Context,
    Poll, //
};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::{
    Body,
    Frame, //
};
use web::{
    BodyBudget,
    WebError, //
};

const TIME_LIMIT: Duration = Duration::from_secs(1);
const MIB: usize = 1 << 20;

/// Reads a body that states its length.
async fn read_sized(budget: &BodyBudget, size: usize) -> Result<Bytes, WebError> {
    let body = Full::new(Bytes::from(vec![0; size]));
    let body = body.map_err(|never| match never {});
    budget.read_body(body, 8 * MIB, TIME_LIMIT).await
}

/// Body of so many parts of 64 KiB that states no length.
struct PartBody(usize);

impl Body for PartBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let left = self.0.checked_sub(1);
        self.0 = left.unwrap_or_default();
        let part = Bytes::from(vec![0; 64 * 1024]);
        Poll::Ready(left.map(|_| Ok(Frame::data(part))))
    }
}

async fn read_parts(budget: &BodyBudget, count: usize) -> Result<Bytes, WebError> {
    budget.read_body(PartBody(count), 8 * MIB, TIME_LIMIT).await
}

/// Guards against bodies that count no longer once they are read, though copies of them are in use.
#[tokio::test]
async fn read_body_held_until_dropped() {
    let budget = BodyBudget::new(4 * MIB);
    let body = read_sized(&budget, 2 * MIB).await.unwrap();
    let part = body.slice(..10);
    drop(body);
    assert_eq!(budget.held_bytes(), 2 * MIB);
    assert!(matches!(
        read_sized(&budget, 2 * MIB).await,
        Err(WebError::MemoryFull)
    ));
    drop(part);
    assert_eq!(budget.held_bytes(), 0);
    assert_eq!(read_sized(&budget, 2 * MIB).await.unwrap().len(), 2 * MIB);
}

/// Guards against a body without a length, or without end, that is read beyond the budget.
#[tokio::test]
async fn read_body_unknown_length() {
    let budget = BodyBudget::new(4 * MIB);
    assert_eq!(read_parts(&budget, 16).await.unwrap().len(), MIB);
    let too_much = read_parts(&budget, 64).await;
    assert!(matches!(too_much, Err(WebError::MemoryFull)));
    assert_eq!(budget.held_bytes(), 0, "what was given up is free again");
    let wide = BodyBudget::new(64 * MIB);
    assert!(matches!(
        read_parts(&wide, 1_000).await,
        Err(WebError::TooLarge { .. })
    ));
}

/// Guards against small bodies that are refused since a few large ones fill the memory.
#[tokio::test]
async fn read_body_small_beside_large() {
    let budget = BodyBudget::new(4 * MIB);
    let _large = read_sized(&budget, 3 * MIB).await.unwrap();
    let more = read_sized(&budget, 128 * 1024).await;
    assert!(matches!(more, Err(WebError::MemoryFull)));
    let mut small = Vec::new();
    for _ in 0..16 {
        small.push(read_sized(&budget, 64 * 1024).await.unwrap());
    }
    let full = read_sized(&budget, 1).await;
    assert!(matches!(full, Err(WebError::MemoryFull)));
}
