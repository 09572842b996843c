//! Bodies whose chunks are sent through a channel.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http_body_util::BodyExt;
use web::abortable_body;

/// Guards against a part of a response that looks complete because its sender was lost.
#[tokio::test]
async fn abortable_body_sender_lost() {
    let (sender, mut body) = abortable_body(1);
    assert!(sender.send(Bytes::from_static(b"part")).await);
    assert!(body.frame().await.unwrap().is_ok());
    drop(sender);
    assert!(body.frame().await.unwrap().is_err());
}

#[tokio::test]
async fn abortable_body_finished() {
    let (sender, body) = abortable_body(2);
    assert!(sender.send(Bytes::from_static(b"whole")).await);
    sender.finish().await;
    assert_eq!(body.collect().await.unwrap().to_bytes(), "whole");
}
