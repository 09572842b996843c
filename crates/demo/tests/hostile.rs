//! Unauthenticated peers have no effect, and malformed input neither stops a process nor exhausts
//! its memory.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

use conf::AccountConfig;
use demo::{
    ClusterOptions,
    DemoCluster,
    sample_config, //
};
use policy::SharedSecret;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use testutils::TestCaller;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    timeout, //
};
use units::{
    IncarnationId,
    KeyDigest, //
};
use wire::{
    LinkTimeouts,
    PeerIdentity,
    WireError,
    connect_link, //
};

const SEED: u64 = 20_261_204;
const ROUNDS: usize = 200;

static PANICS: AtomicUsize = AtomicUsize::new(0);

fn count_panics() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        PANICS.fetch_add(1, Ordering::Relaxed);
    }));
}

async fn small_cluster() -> DemoCluster {
    let options = ClusterOptions {
        data_centres: 1,
        engines: 2,
        services: 1,
        entries: 1,
        log_in_memory: true,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start(options).await.unwrap();
    cluster.wait_ready().await;
    cluster
}

async fn check_serving(cluster: &DemoCluster) {
    let caller = TestCaller::new(cluster.entry_address(0).unwrap());
    assert_eq!(caller.complete("kiosk", "still there", 5).await.status, 200);
    assert_eq!(caller.order("menu", None, "list").await.status, 200);
}

/// Sends bytes and reads until the peer closes the connection or a timeout expires.
async fn send_bytes(address: SocketAddr, data: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    // The peer may close the connection during the write.
    let _ = stream.write_all(data).await;
    let mut sink = vec![0; 4_096];
    let reading = async { while matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {} };
    let _ = timeout(Duration::from_millis(50), reading).await;
}

#[tokio::test(start_paused = true)]
async fn ports_random_bytes() {
    count_panics();
    let cluster = small_cluster().await;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let side = cluster.sides.values().next().unwrap().settings.listen;
    let entry = cluster.entry_address(0).unwrap();
    for round in 0..ROUNDS {
        let length = rng.random_range(1..2_000);
        let mut data: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        match round % 4 {
            // A frame whose length exceeds the limit, and a truncated frame.
            1 => data[..1].fill(0xff),
            2 => data
                .splice(..0, (length as u32 + 100).to_be_bytes())
                .for_each(drop),
            3 => data
                .splice(..0, *b"POST /v1/completions HTTP/1.1\r\n")
                .for_each(drop),
            _ => {}
        }
        send_bytes(if round % 2 == 0 { side } else { entry }, &data).await;
    }
    check_serving(&cluster).await;
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn entry_slow_senders() {
    let cluster = small_cluster().await;
    let address = cluster.entry_address(0).unwrap();
    let mut held = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
            .await
            .unwrap();
        held.push(stream);
    }
    check_serving(&cluster).await;
    sleep(Duration::from_secs(6)).await;
    for mut stream in held {
        let mut answer = Vec::new();
        // The entry has closed the connection, so the read ends.
        let read = timeout(Duration::from_secs(1), stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok(), "a slow sender must not hold its connection");
    }
}

#[tokio::test(start_paused = true)]
async fn entry_bad_input() {
    let cluster = small_cluster().await;
    let caller = TestCaller::new(cluster.entry_address(0).unwrap());
    let big = "x".repeat(1_100_000);
    let cases = [
        ("/v1/completions", "{", 400, "malformed_json"),
        (
            "/v1/completions",
            r#"{"model":"none","prompt":"a"}"#,
            404,
            "unknown_model",
        ),
        (
            "/v1/completions",
            r#"{"model":"assistant","prompt":""}"#,
            400,
            "empty_prompt",
        ),
        (
            "/v1/completions",
            r#"{"model":"assistant","prompt":"a","max_tokens":0}"#,
            400,
            "bad_max_tokens",
        ),
        ("/v1/completions", big.as_str(), 413, "bad_body"),
        ("/v1/services/orders/none", "{}", 404, "unknown_call"),
        ("/v1/services/orders/place", "{}", 400, "missing_key"),
        ("/v1/nothing", "{}", 404, "not_found"),
    ];
    for (path, body, status, code) in cases {
        let reply = caller.send(path, body.to_owned()).await;
        assert_eq!(reply.status, status, "{path} {code}: {reply:?}");
        assert_eq!(reply.code(), code);
        assert!(reply.reports_not_run());
    }
    let unknown = caller.complete("no-such-class", "a", 5).await;
    assert_eq!((unknown.status, unknown.code()), (400, "unknown_class"));
    let prompt = "long ".repeat(60_000);
    let long = caller.complete("kiosk", &prompt, 5).await;
    assert_eq!((long.status, long.code()), (400, "prompt_too_long"));
}

#[tokio::test(start_paused = true)]
async fn link_wrong_secret() {
    let cluster = small_cluster().await;
    let process = cluster.sides.values().next().unwrap();
    let identity = PeerIdentity {
        instance: "entry-1".parse().unwrap(),
        incarnation: IncarnationId(1),
    };
    let wrong = SharedSecret::new(*b"another secret entirely");
    let timeouts = LinkTimeouts::default();
    let refused = connect_link(process.settings.listen, &wrong, &identity, timeouts).await;
    assert!(matches!(
        refused,
        Err(WireError::Closed | WireError::Io { .. })
    ));
    let lines = process.log.take_lines();
    assert!(
        lines
            .iter()
            .any(|line| line.contains("\"kind\":\"intruder\"")),
        "{lines:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn accounts_isolated() {
    let mut config = sample_config();
    for (name, key) in [("till-1", "secret-1"), ("till-2", "secret-2")] {
        let rule = AccountConfig {
            key_sha256: KeyDigest::from_key(key.as_bytes()),
            requests_per_second: 1.0,
            burst: 5,
        };
        config.accounts.insert(name.parse().unwrap(), rule);
    }
    let options = ClusterOptions {
        data_centres: 1,
        engines: 1,
        entries: 1,
        ..ClusterOptions::default()
    };
    let cluster = DemoCluster::start_with_config(options, config)
        .await
        .unwrap();
    cluster.wait_ready().await;
    let address = cluster.entry_address(0).unwrap();
    let nobody = TestCaller::new(address).complete("kiosk", "hello", 3).await;
    assert_eq!((nobody.status, nobody.code()), (401, "unknown_account"));
    let first = TestCaller::new(address).bearer("secret-1");
    let second = TestCaller::new(address).bearer("secret-2");
    // A ticket is bound to its account, and equal idempotency keys of two accounts are distinct.
    let ticket = first.ticket("charge").await.unwrap();
    let stolen = second.order("charge", Some(&ticket), "sum").await;
    assert_eq!((stolen.status, stolen.code()), (403, "forged_ticket"));
    assert_eq!(first.order("place", Some("same"), "pie").await.status, 200);
    assert_eq!(second.order("place", Some("same"), "pie").await.status, 200);
    // An account that exceeds its rate limit does not reduce the rate of another account.
    let mut limited = 0;
    for _ in 0..10 {
        let reply = first.complete("kiosk", "again", 2).await;
        limited += u32::from(reply.status == 429 && reply.reports_not_run());
    }
    assert!(limited > 0);
    assert_eq!(second.complete("kiosk", "hello", 2).await.status, 200);
}
