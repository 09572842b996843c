//! Mutual authentication by the shared secret.
//!
//! Each process contributes a nonce to every signature, so a recorded handshake cannot be replayed.

use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use units::{
    IncarnationId,
    InstanceId, //
};

use crate::error::{
    ClosedSnafu,
    InvalidIdentitySnafu,
    UnauthenticatedSnafu,
    UnexpectedFrameSnafu,
    VersionMismatchSnafu, //
};
use crate::frame::{
    Challenge,
    Hello,
    Welcome, //
};
use crate::{
    Frame,
    FrameCodec,
    FrameKind,
    WireError, //
};
use policy::SharedSecret;

/// Version of the protocol between entries and side processes.
pub const PROTOCOL_VERSION: u32 = 1;

const NONCE_BYTES: usize = 16;
/// Labels of the two directions, so that a proof cannot be reflected to its sender.
const CONNECTOR_LABEL: &[u8] = b"galenarail connector";
const ACCEPTOR_LABEL: &[u8] = b"galenarail acceptor";

/// Identity of a process on its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Instance on which the process runs.
    pub instance: InstanceId,
    /// Incarnation of the process, which changes with a restart.
    pub incarnation: IncarnationId,
}

pub(crate) type FramedStream = Framed<TcpStream, FrameCodec>;

fn make_nonce() -> Bytes {
    Bytes::copy_from_slice(&rand::random::<[u8; NONCE_BYTES]>())
}

async fn next_kind(framed: &mut FramedStream) -> Result<FrameKind, WireError> {
    let Some(frame) = framed.next().await else {
        return ClosedSnafu.fail();
    };
    frame?.kind.ok_or(WireError::UnexpectedFrame)
}

fn check_version(peer: u32) -> Result<(), WireError> {
    if peer != PROTOCOL_VERSION {
        let local = PROTOCOL_VERSION;
        return VersionMismatchSnafu { peer, local }.fail();
    }
    Ok(())
}

fn parse_identity(instance: &str, incarnation: u64) -> Result<PeerIdentity, WireError> {
    Ok(PeerIdentity {
        instance: instance.parse().context(InvalidIdentitySnafu)?,
        incarnation: IncarnationId(incarnation),
    })
}

fn sign_identity(
    secret: &SharedSecret,
    label: &[u8],
    nonces: [&[u8]; 2],
    identity: &PeerIdentity,
) -> Bytes {
    let incarnation = identity.incarnation.0.to_be_bytes();
    let name = identity.instance.as_str().as_bytes();
    secret
        .sign(&[label, nonces[0], nonces[1], name, &incarnation])
        .into()
}

fn verify_identity(
    secret: &SharedSecret,
    label: &[u8],
    nonces: [&[u8]; 2],
    identity: &PeerIdentity,
    proof: &[u8],
) -> Result<(), WireError> {
    let incarnation = identity.incarnation.0.to_be_bytes();
    let name = identity.instance.as_str().as_bytes();
    if !secret.verify(&[label, nonces[0], nonces[1], name, &incarnation], proof) {
        return UnauthenticatedSnafu.fail();
    }
    Ok(())
}

/// Runs the handshake of the connecting process and returns the identity of the peer.
pub(crate) async fn connect_handshake(
    framed: &mut FramedStream,
    secret: &SharedSecret,
    local: &PeerIdentity,
) -> Result<PeerIdentity, WireError> {
    let FrameKind::Challenge(challenge) = next_kind(framed).await? else {
        return UnexpectedFrameSnafu.fail();
    };
    check_version(challenge.version)?;
    let nonce = make_nonce();
    let nonces = [&challenge.nonce[..], &nonce[..]];
    let hello = Hello {
        version: PROTOCOL_VERSION,
        instance: local.instance.to_string(),
        incarnation: local.incarnation.0,
        nonce: nonce.clone(),
        proof: sign_identity(secret, CONNECTOR_LABEL, nonces, local),
    };
    framed.send(Frame::from(FrameKind::Hello(hello))).await?;
    let FrameKind::Welcome(welcome) = next_kind(framed).await? else {
        return UnexpectedFrameSnafu.fail();
    };
    let peer = parse_identity(&welcome.instance, welcome.incarnation)?;
    verify_identity(secret, ACCEPTOR_LABEL, nonces, &peer, &welcome.proof)?;
    Ok(peer)
}

/// Runs the handshake of the accepting process and returns the identity of the peer.
pub(crate) async fn accept_handshake(
    framed: &mut FramedStream,
    secret: &SharedSecret,
    local: &PeerIdentity,
) -> Result<PeerIdentity, WireError> {
    let local_nonce = make_nonce();
    let challenge = Challenge {
        version: PROTOCOL_VERSION,
        nonce: local_nonce.clone(),
    };
    framed
        .send(Frame::from(FrameKind::Challenge(challenge)))
        .await?;
    let FrameKind::Hello(hello) = next_kind(framed).await? else {
        return UnexpectedFrameSnafu.fail();
    };
    check_version(hello.version)?;
    let peer = parse_identity(&hello.instance, hello.incarnation)?;
    let nonces = [&local_nonce[..], &hello.nonce[..]];
    verify_identity(secret, CONNECTOR_LABEL, nonces, &peer, &hello.proof)?;
    let welcome = Welcome {
        instance: local.instance.to_string(),
        incarnation: local.incarnation.0,
        proof: sign_identity(secret, ACCEPTOR_LABEL, nonces, local),
    };
    framed
        .send(Frame::from(FrameKind::Welcome(welcome)))
        .await?;
    Ok(peer)
}
