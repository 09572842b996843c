//! Peers that only maintain their links, so that the cost of one daemon can be measured alone.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use conf::HexSecret;
use fakes::FakePlatform;
use policy::SharedSecret;
use store::{
    InstanceRecord,
    InstanceState,
    ProcessKind, //
};
use tokio::net::TcpListener;
use tokio::time::sleep;
use units::IncarnationId;
use wire::{
    BackendDescription,
    FrameKind,
    Heartbeat,
    LinkTimeouts,
    LoadStatus,
    PeerIdentity,
    accept_link,
    connect_link, //
};

const DATA_CENTRE_COUNT: usize = 12;
const MODEL_COUNT: usize = 9;
const SIDE_HEARTBEAT_PERIOD: Duration = Duration::from_millis(900);
const ENTRY_HEARTBEAT_PERIOD: Duration = Duration::from_millis(900);
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

type AnyError = Box<dyn Error + Send + Sync>;

fn read_secret(text: &str) -> Result<SharedSecret, AnyError> {
    let secret = HexSecret::try_from(text.to_owned())?;
    Ok(SharedSecret::new(secret.as_bytes()))
}

fn load(clock_ms: u64) -> LoadStatus {
    LoadStatus {
        wait_seconds: vec![0.1, 0.2, 0.3],
        running_seconds: 12.5,
        running_streams: 20,
        used_pieces: 3_000,
        accepting: true,
        clock_ms,
        prefill_total_seconds: 1_000.0 + clock_ms as f64,
        decode_total_seconds: 3_000.0 + clock_ms as f64,
        changing_role: false,
    }
}

fn backend(number: usize) -> BackendDescription {
    BackendDescription {
        role: "mixed".into(),
        models: vec![format!("model-{}", number % MODEL_COUNT)],
        service: String::new(),
        pieces: 4_000,
        piece_tokens: 16,
        prefill_seconds: 0.000_05,
        decode_seconds: 0.000_6,
        role_change_seconds: 4.0,
    }
}

async fn serve_side(
    listener: TcpListener,
    secret: SharedSecret,
    identity: PeerIdentity,
    number: usize,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let accepted = accept_link(stream, &secret, &identity, LinkTimeouts::default()).await;
        let Ok(mut link) = accepted else {
            continue;
        };
        let sender = link.sender.clone();
        tokio::spawn(async move { while link.receiver.recv().await.is_some() {} });
        tokio::spawn(async move {
            let mut heartbeat = Heartbeat {
                config_version: 1,
                load: Some(load(0)),
                backend: Some(backend(number)),
            };
            let mut clock_ms = 0;
            while sender.send(FrameKind::Heartbeat(heartbeat)) {
                sleep(SIDE_HEARTBEAT_PERIOD).await;
                clock_ms += SIDE_HEARTBEAT_PERIOD.as_millis() as u64;
                heartbeat = Heartbeat {
                    config_version: 1,
                    load: Some(load(clock_ms)),
                    backend: None,
                };
            }
        });
    }
}

/// Runs fake side processes and the instance list that contains them until the process is killed.
pub(crate) async fn host_sides(
    list: SocketAddr,
    count: usize,
    secret: &str,
) -> Result<(), AnyError> {
    let secret = read_secret(secret)?;
    let platform = FakePlatform::start(list, Duration::ZERO).await?;
    let mut records = Vec::new();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let identity = PeerIdentity {
            instance: format!("engine-{number}").parse()?,
            incarnation: IncarnationId(number as u64 + 1),
        };
        records.push(InstanceRecord {
            instance: identity.instance.clone(),
            data_centre: format!("dc-{}", number % DATA_CENTRE_COUNT).parse()?,
            address: listener.local_addr()?,
            kind: ProcessKind::Side,
            state: InstanceState::Live,
        });
        tokio::spawn(serve_side(listener, secret.clone(), identity, number));
    }
    platform.set_instances(records);
    println!("{count} side processes, list on {}", platform.address());
    std::future::pending().await
}

/// Runs fake entries linked to one side process until the process is killed.
pub(crate) async fn host_entries(
    side: SocketAddr,
    count: usize,
    secret: &str,
) -> Result<(), AnyError> {
    let secret = read_secret(secret)?;
    for number in 0..count {
        let identity = PeerIdentity {
            instance: format!("entry-{number}").parse()?,
            incarnation: IncarnationId(number as u64 + 1),
        };
        tokio::spawn(keep_entry(side, secret.clone(), identity));
    }
    println!("{count} entries");
    std::future::pending().await
}

async fn keep_entry(side: SocketAddr, secret: SharedSecret, identity: PeerIdentity) {
    loop {
        let connected = connect_link(side, &secret, &identity, LinkTimeouts::default()).await;
        if let Ok(mut link) = connected {
            let sender = link.sender.clone();
            tokio::spawn(async move { while link.receiver.recv().await.is_some() {} });
            let heartbeat = Heartbeat {
                config_version: 1,
                load: None,
                backend: None,
            };
            while sender.send(FrameKind::Heartbeat(heartbeat.clone())) {
                sleep(ENTRY_HEARTBEAT_PERIOD).await;
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}
