//! Tests that the handshake authenticates both processes on every connection.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use policy::SharedSecret;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use units::IncarnationId;
use wire::{
    FrameLink,
    LinkTimeouts,
    PeerIdentity,
    WireError,
    accept_link,
    connect_link, //
};

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId(3),
    }
}

fn secret() -> SharedSecret {
    SharedSecret::new(*b"a secret of the test")
}

async fn accept_one(listener: &TcpListener) -> Result<FrameLink, WireError> {
    let (stream, _) = listener.accept().await.unwrap();
    accept_link(
        stream,
        &secret(),
        &identity("side"),
        LinkTimeouts::default(),
    )
    .await
}

/// Relays one connection to `target` and returns the bytes sent by the connecting process.
async fn record_connector(listener: TcpListener, target: SocketAddr) -> Vec<u8> {
    let (mut inner, _) = listener.accept().await.unwrap();
    let mut outer = TcpStream::connect(target).await.unwrap();
    let mut sent = Vec::new();
    let (mut up, mut down) = ([0; 4_096], [0; 4_096]);
    loop {
        tokio::select! {
            read = inner.read(&mut up) => match read {
                Ok(count) if count > 0 => {
                    sent.extend_from_slice(&up[..count]);
                    outer.write_all(&up[..count]).await.unwrap();
                }
                _ => return sent,
            },
            read = outer.read(&mut down) => match read {
                Ok(count) if count > 0 => inner.write_all(&down[..count]).await.unwrap(),
                _ => return sent,
            },
        }
    }
}

#[tokio::test(start_paused = true)]
async fn accept_replayed_hello() {
    // The bytes of a recorded handshake must not authenticate another connection.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let tap = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let tap_address = tap.local_addr().unwrap();
    let recording = tokio::spawn(record_connector(tap, address));
    let connecting = tokio::spawn(async move {
        connect_link(
            tap_address,
            &secret(),
            &identity("entry"),
            LinkTimeouts::default(),
        )
        .await
    });
    let genuine = accept_one(&listener).await.unwrap();
    assert_eq!(genuine.peer.instance.as_str(), "entry");
    drop(connecting.await.unwrap().unwrap());
    drop(genuine);
    let recorded = recording.await.unwrap();
    assert!(!recorded.is_empty());
    let mut replay = TcpStream::connect(address).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    let refused = accept_one(&listener).await;
    assert!(
        matches!(refused, Err(WireError::Unauthenticated)),
        "{refused:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn connect_unauthenticated_acceptor() {
    // An acceptor without the shared secret must not be taken for a side process.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let wrong = SharedSecret::new(*b"not the same secret");
        accept_link(stream, &wrong, &identity("side"), LinkTimeouts::default()).await
    });
    let connected = connect_link(
        address,
        &secret(),
        &identity("entry"),
        LinkTimeouts::default(),
    )
    .await;
    assert!(connected.is_err());
    assert!(matches!(
        accepting.await.unwrap(),
        Err(WireError::Unauthenticated)
    ));
}
