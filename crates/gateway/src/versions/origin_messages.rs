//! Datagrams by which gateways tell and ask each other which software versions began streams.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    OriginSource,
    choose_members, //
};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use units::{
    InstanceId,
    SoftwareVersion,
    StreamKey, //
};
use wire::{
    StreamAnswer,
    StreamMessage,
    StreamQuestion, //
};

use crate::shared::GatewayShared;
use crate::versions::origin_state::OriginState;

/// Number of gateways that are told of a stream.
const TOLD_GATEWAYS: usize = 3;
/// Number of gateways that are asked about a stream, more than are told since members come and go.
const ASKED_GATEWAYS: usize = 5;
/// Maximum number of streams in one datagram.
const MAX_STREAMS_PER_DATAGRAM: usize = 80;

/// Returns the gateways that know a stream, by rendezvous hashing.
fn choose_gateways(
    shared: &GatewayShared,
    members: &BTreeMap<InstanceId, SocketAddr>,
    key: StreamKey,
    count: usize,
) -> BTreeSet<InstanceId> {
    let own = &shared.settings.instance;
    let others = members.keys().filter(|member| *member != own);
    let Ok(name) = key.to_string().parse() else {
        return BTreeSet::new();
    };
    choose_members(&name, others, count)
}

/// Tells other gateways of streams that this one has begun. Runs before the first event reaches the
/// caller, and waits for nothing.
pub(crate) fn tell_gateways(shared: &GatewayShared, keys: &[StreamKey]) {
    let Some(socket) = shared.exchange_socket.get() else {
        return;
    };
    let members = shared.lock().members.clone();
    let mut told: BTreeMap<InstanceId, Vec<StreamKey>> = BTreeMap::new();
    for key in keys {
        for gateway in choose_gateways(shared, &members, *key, TOLD_GATEWAYS) {
            told.entry(gateway).or_default().push(*key);
        }
    }
    for (gateway, keys) in told {
        for keys in keys.chunks(MAX_STREAMS_PER_DATAGRAM) {
            let message = StreamMessage {
                instance: shared.settings.instance.to_string(),
                begun: shared.origins.describe(keys),
                ..StreamMessage::default()
            };
            send(socket, &message, members[&gateway]);
        }
    }
}

/// Asks other gateways which version began a stream, again if they were asked before. Returns those
/// that were asked.
pub(crate) fn ask_gateways(
    shared: &GatewayShared,
    question: StreamQuestion,
) -> BTreeSet<InstanceId> {
    let Some(socket) = shared.exchange_socket.get() else {
        return BTreeSet::new();
    };
    let members = shared.lock().members.clone();
    let key = StreamKey(question.stream);
    let chosen = choose_gateways(shared, &members, key, ASKED_GATEWAYS);
    let message = StreamMessage {
        instance: shared.settings.instance.to_string(),
        question: Some(question),
        ..StreamMessage::default()
    };
    for gateway in &chosen {
        send(socket, &message, members[gateway]);
    }
    chosen
}

fn send(socket: &UdpSocket, message: &StreamMessage, address: SocketAddr) {
    // A datagram that cannot be sent is as good as lost: there are other receivers, and the store.
    let _ = socket.try_send_to(&message.encode_to_vec(), address);
}

/// Applies a message about streams, if `data` is one. Returns whether it is.
pub(crate) fn accept_stream_message(
    shared: &GatewayShared,
    sender: SocketAddr,
    data: &[u8],
) -> bool {
    let Ok(message) = StreamMessage::decode(data) else {
        return false;
    };
    let Ok(peer) = message.instance.parse::<InstanceId>() else {
        return false;
    };
    if shared.lock().members.get(&peer).map(SocketAddr::ip) != Some(sender.ip()) {
        return true;
    }
    let origins = &shared.origins;
    let dropped: usize = message
        .begun
        .iter()
        .map(|begun| origins.merge(begun, OriginSource::Peer))
        .sum();
    shared.metrics.dropped_origins.inc_by(dropped as u64);
    if let Some(question) = &message.question {
        answer_question(shared, sender, question);
    }
    if let Some(answer) = &message.answer {
        accept_answer(origins, peer, answer);
    }
    true
}

fn answer_question(shared: &GatewayShared, sender: SocketAddr, question: &StreamQuestion) {
    let (Some(socket), Ok(service)) = (shared.exchange_socket.get(), question.service.parse())
    else {
        return;
    };
    let described = shared.origins.describe(&[StreamKey(question.stream)]);
    let recent = shared
        .origins
        .lock()
        .history
        .recent(Instant::now(), &service);
    let versions = recent.iter().map(|version| {
        let version = version.as_ref();
        version.map_or_else(String::new, SoftwareVersion::to_string)
    });
    let message = StreamMessage {
        instance: shared.settings.instance.to_string(),
        answer: Some(StreamAnswer {
            number: question.number,
            origin: described.into_iter().next(),
            versions: versions.collect(),
        }),
        ..StreamMessage::default()
    };
    send(socket, &message, sender);
    let record = DecisionRecord::new(DecisionKind::Member, "asked which version began a stream")
        .input("stream", StreamKey(question.stream).to_string())
        .input(
            "known",
            message.answer.is_some_and(|answer| answer.origin.is_some()),
        );
    shared.log.write(record);
}

fn accept_answer(origins: &OriginState, peer: InstanceId, answer: &StreamAnswer) {
    if let Some(origin) = &answer.origin {
        origins.merge(origin, OriginSource::Peer);
    }
    if let Some(question) = origins.lock().questions.get_mut(&answer.number) {
        question.answered.insert(peer);
    }
    origins.answers.notify_waiters();
}
