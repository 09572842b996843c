//! Estimates and state that a gateway derives from observed requests and its peers' reports.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use policy::{BackendLoad, DecodeSpeed, OfferedRate, PeerLoads, PrefillSpeed};
use tokio::time::Instant;
use units::{
    IncarnationId, //
};

#[test]
fn prefill_speed_unknown_queue_waits() {
    let mut speed = PrefillSpeed::default();
    for sample in 0..400_u32 {
        let tokens = 2_000 + sample * 17 % 9_000;
        // Half of the prompts waited behind prompts of other gateways, unknown to this gateway.
        let queue_ms = if sample % 2 == 0 { 0.0 } else { 150.0 };
        let millis = f64::from(tokens) / 56.0 + queue_ms;
        speed.add_sample(tokens, Duration::from_secs_f64(millis / 1_000.0));
    }
    let estimate = speed.tokens_per_ms();
    assert!((45.0..60.0).contains(&estimate), "{estimate} of 56");
}

/// Network delay dominates the time of short prompts, which must not lower the estimate.
#[test]
fn prefill_speed_short_prompts() {
    let mut speed = PrefillSpeed::default();
    for sample in 0..2_000_u32 {
        let tokens = if sample % 4 == 0 { 8_000 } else { 300 };
        let millis = 25.0 + f64::from(tokens) / 56.0;
        speed.add_sample(tokens, Duration::from_secs_f64(millis / 1_000.0));
    }
    let estimate = speed.tokens_per_ms();
    assert!((40.0..60.0).contains(&estimate), "{estimate} of 48");
}

/// An engine observed only with many streams must not get an estimate near or below zero for one
/// stream.
#[test]
fn decode_speed_extrapolation() {
    let mut speed = DecodeSpeed::default();
    for sample in 0..2_000_u32 {
        let streams = 40 + sample % 24;
        let millis = f64::from(streams) - 30.0;
        speed.add_sample(streams, 100.0, Duration::from_secs_f64(millis * 0.1));
    }
    let ms_per_token = speed.ms_per_token(1.0);
    assert!(ms_per_token > 1.0, "{ms_per_token} ms per token");
}

#[test]
fn decode_speed_many_streams() {
    let mut speed = DecodeSpeed::default();
    for sample in 0..2_000_u32 {
        let streams = 5 + sample % 30;
        let millis = 4.0 + 0.1 * f64::from(streams);
        speed.add_sample(streams, 100.0, Duration::from_secs_f64(millis * 0.1));
    }
    let rate = speed.tokens_per_ms(20.0);
    assert!(
        (3.0..3.6).contains(&rate),
        "{rate} of 3.33 tokens per millisecond"
    );
}

#[test]
fn offered_rate_steady_work() {
    let start = Instant::now();
    let mut rate = OfferedRate::default();
    assert!(rate.has_no_samples());
    for step in 0..300 {
        rate.add(start + Duration::from_millis(step * 100), 500.0);
    }
    let now = start + Duration::from_secs(30);
    let estimate = rate.per_ms(now);
    assert!(
        (4.5..5.5).contains(&estimate),
        "{estimate} of 5 per millisecond"
    );
    assert!(rate.per_ms(now + Duration::from_secs(60)) < 0.1);
}

fn backend_load(requests: u32) -> BackendLoad {
    BackendLoad {
        requests,
        ..BackendLoad::NONE
    }
}

#[test]
fn peer_loads_scaled_to_all_peers() {
    let now = Instant::now();
    let mut peers = PeerLoads::default();
    for (peer, requests) in [("g-1", 4), ("g-2", 6)] {
        let loads = BTreeMap::from([(7, backend_load(requests))]);
        peers.apply(now, peer.parse().unwrap(), IncarnationId(1), 1, loads);
    }
    assert_eq!(peers.load_at(7, 2).requests, 10);
    assert_eq!(peers.load_at(7, 10).requests, 50);
    assert_eq!(peers.load_at(8, 10), BackendLoad::NONE);
}

#[test]
fn peer_loads_out_of_order() {
    let now = Instant::now();
    let mut peers = PeerLoads::default();
    let mut apply = |incarnation, sequence, requests| {
        let loads = BTreeMap::from([(7, backend_load(requests))]);
        peers.apply(
            now,
            "g-1".parse().unwrap(),
            IncarnationId(incarnation),
            sequence,
            loads,
        )
    };
    assert!(apply(1, 5, 3));
    assert!(!apply(1, 4, 9), "older report of the same incarnation");
    assert!(apply(2, 1, 1), "first report of a new incarnation");
}

#[test]
fn peer_loads_expired_report() {
    let now = Instant::now();
    let mut peers = PeerLoads::default();
    let loads = BTreeMap::from([(7, backend_load(4))]);
    peers.apply(now, "g-1".parse().unwrap(), IncarnationId(1), 1, loads);
    assert_eq!(peers.expire(now + Duration::from_secs(3)), 0);
    assert_eq!(peers.load_at(7, 1), BackendLoad::NONE);
}
