//! Snapshots of complete sessions: bytes sent and received by the caller, frames between processes
//! and logged decisions.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use demo::{
    ClusterOptions,
    DemoCluster, //
};
use fakes::EngineFaults;
use testutils::FrameRecorder;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::sleep;
use units::InstanceId;

struct Session {
    cluster: DemoCluster,
    taps: Vec<FrameRecorder>,
    text: String,
}

impl Session {
    async fn start(engines: usize, services: usize) -> Self {
        let options = ClusterOptions {
            data_centres: 1,
            engines,
            services,
            entries: 1,
            log_in_memory: true,
            ..ClusterOptions::default()
        };
        let mut cluster = DemoCluster::start(options).await.unwrap();
        let mut taps = Vec::new();
        let names: Vec<InstanceId> = cluster.sides.keys().cloned().collect();
        for name in names {
            let target = cluster.sides[&name].settings.listen;
            let tap = FrameRecorder::start(name.as_str(), target).await.unwrap();
            cluster.set_listed_address(&name, tap.address());
            taps.push(tap);
        }
        sleep(Duration::from_secs(4)).await;
        cluster.wait_ready().await;
        let mut session = Self {
            cluster,
            taps,
            text: String::new(),
        };
        // Frames and decisions of the startup are not part of the session.
        session.take_records();
        session
    }

    fn take_records(&mut self) -> (Vec<String>, Vec<String>) {
        let frames = self.taps.iter().flat_map(|tap| tap.take_lines()).collect();
        let mut decisions = self.cluster.entry_logs[0].take_lines();
        for process in self.cluster.sides.values() {
            decisions.extend(process.log.take_lines());
        }
        (frames, decisions)
    }

    /// Sends a request and records the response, the frames and the decisions that follow from it.
    async fn send(&mut self, request: &str, headers: &str, body: &str) {
        let address: SocketAddr = self.cluster.entry_address(0).unwrap();
        let length = body.len();
        let head = format!("POST {request} HTTP/1.1\r\nhost: entry\r\n{headers}");
        let bytes = format!("{head}connection: close\r\ncontent-length: {length}\r\n\r\n{body}");
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        let reply = String::from_utf8_lossy(&reply).replace("\r\n", "\n");
        let (frames, decisions) = self.take_records();
        self.text += &format!("=== caller sends\n{}\n", bytes.replace("\r\n", "\n"));
        self.text += &format!("=== caller receives\n{reply}\n");
        self.text += &format!("=== frames\n{}\n", frames.join("\n"));
        self.text += &format!("=== decisions\n{}\n\n", decisions.join("\n"));
    }

    /// Returns the recorded text with values that differ between runs replaced by placeholders.
    fn normalised(&self) -> String {
        let lines: Vec<String> = self.text.lines().map(normalise_line).collect();
        let text = lines.join("\n");
        let mut names: BTreeMap<String, String> = BTreeMap::new();
        let replace = |word: &str| -> String {
            let hex = word.len() >= 16 && word.chars().all(|c| c.is_ascii_hexdigit());
            if hex {
                let next = format!("[id-{}]", names.len() + 1);
                return names.entry(word.to_owned()).or_insert(next).clone();
            }
            word.to_owned()
        };
        split_words(&text).into_iter().map(replace).collect()
    }
}

fn normalise_line(line: &str) -> String {
    if line.starts_with("date: ") {
        return "date: [date]".to_owned();
    }
    let labels = [
        "\"created\":",
        "attempt: ",
        "fingerprint: ",
        "fingerprints: [",
        "crash: ",
    ];
    let line = labels
        .iter()
        .fold(line.to_owned(), |line, label| mask_number(&line, label));
    // The request id is printed as a byte string.
    match (line.find("request: b\""), line.find("\", class: ")) {
        (Some(start), Some(end)) => format!("{}request: [id]{}", &line[..start], &line[end + 1..]),
        _ => line,
    }
}

/// Splits a text into alternating runs of alphanumeric and other characters.
fn split_words(text: &str) -> Vec<&str> {
    let mut words = Vec::new();
    let mut start = 0;
    let mut inside = false;
    for (index, character) in text.char_indices() {
        if character.is_ascii_alphanumeric() != inside {
            words.push(&text[start..index]);
            start = index;
            inside = !inside;
        }
    }
    words.push(&text[start..]);
    words
}

/// Replaces the digits after each occurrence of a label by a placeholder.
fn mask_number(line: &str, label: &str) -> String {
    let mut parts = line.split(label);
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text += label;
        text += "[number]";
        text += part.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    text
}

const JSON: &str = "content-type: application/json\r\n";

#[tokio::test(start_paused = true)]
async fn session_streamed_answer() {
    let mut session = Session::start(1, 0).await;
    let body =
        r#"{"model":"assistant","prompt":"Which pies are warm?","max_tokens":3,"stream":true}"#;
    let headers = format!("{JSON}x-request-class: kiosk\r\n");
    session.send("/v1/completions", &headers, body).await;
    insta::assert_snapshot!(session.normalised());
}

#[tokio::test(start_paused = true)]
async fn session_call_sent_twice() {
    let mut session = Session::start(0, 1).await;
    let headers = format!("{JSON}idempotency-key: order-17\r\n");
    for _ in 0..2 {
        session
            .send("/v1/services/orders/place", &headers, r#"{"pie":"cherry"}"#)
            .await;
    }
    insta::assert_snapshot!(session.normalised());
}

#[tokio::test(start_paused = true)]
async fn session_poison_refused() {
    let mut session = Session::start(1, 0).await;
    let engine = session.cluster.engines.values().next().unwrap();
    engine.set_faults(EngineFaults {
        poison_text: Some("cursed".into()),
        restart_time: Duration::from_millis(200),
        stall_streams: false,
    });
    let body = r#"{"model":"assistant","prompt":"cursed","max_tokens":3}"#;
    session.send("/v1/completions", JSON, body).await;
    session.send("/v1/completions", JSON, body).await;
    insta::assert_snapshot!(session.normalised());
}
