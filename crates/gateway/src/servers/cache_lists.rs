//! Learns from the engines which segments of prompts they have cached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use platform::list_cached_segments;
use tokio::task::JoinSet;
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    InstanceId,
    ServiceName, //
};

use crate::clock::ClockReading;
use crate::servers::server_notices::record_notices;
use crate::shared::GatewayShared;
use crate::tokens::server_limits::LimitQuestion;
use crate::tokens::token_ticket::charge_request;

/// Interval between checks whether the entries of the engines have been read.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks whether there are engines to ask.
const EMPTY_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a process from which its cache is worth a list.
const MIN_AGE: Duration = Duration::from_millis(1_500);
/// Shortest time in which each engine is asked again.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Factor of the square of the number of gateways, since both gateways and engines grow with a fleet, so
/// that all together ask no more often.
const LIST_INTERVAL_FACTOR: Duration = Duration::from_millis(550);
/// Timeout of one list.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of engines that are asked at once as the gateway starts.
const MAX_CONCURRENT_LISTS: usize = 8;

/// Engine that is asked for its cached segments.
#[derive(Debug, Clone)]
struct ListedEngine {
    instance: InstanceId,
    address: SocketAddr,
    service: ServiceName,
    started_unix_ms: Option<u64>,
}

/// Asks all engines as the gateway starts, and each again from time to time, until aborted.
pub(crate) async fn follow_caches(shared: Arc<GatewayShared>) {
    while !has_loaded(&shared) {
        sleep(CHECK_INTERVAL).await;
    }
    read_all(&shared, known_engines(&shared)).await;
    loop {
        let engines = known_engines(&shared);
        let step = list_interval(&shared) / engines.len().max(1) as u32;
        if engines.is_empty() {
            sleep(EMPTY_INTERVAL).await;
        }
        for engine in engines {
            sleep(step).await;
            read_list(&shared, &engine).await;
        }
    }
}

/// Returns whether the configuration and the entries of the backend servers have been read.
fn has_loaded(shared: &GatewayShared) -> bool {
    let state = shared.lock();
    state.table.is_some() && state.fleet.views().next().is_some()
}

/// Returns the time in which each engine is asked once.
fn list_interval(shared: &GatewayShared) -> Duration {
    let gateways = shared.lock().members.len() as u32;
    LIST_INTERVAL.max(LIST_INTERVAL_FACTOR.saturating_mul(gateways.saturating_mul(gateways)))
}

/// Asks engines, several at once.
async fn read_all(shared: &Arc<GatewayShared>, engines: Vec<ListedEngine>) {
    let mut lists = JoinSet::new();
    for engine in engines {
        if lists.len() >= MAX_CONCURRENT_LISTS {
            let _ = lists.join_next().await;
        }
        let shared = shared.clone();
        lists.spawn(async move { read_list(&shared, &engine).await });
    }
    while lists.join_next().await.is_some() {}
}

/// Returns the engines that may be asked. Gateways that start together ask them in different orders.
fn known_engines(shared: &GatewayShared) -> Vec<ListedEngine> {
    let now = Instant::now();
    let state = shared.lock();
    let engines = state.fleet.views().filter(|view| {
        view.record.stage.is_some()
            && view.limit.rate().is_none()
            && !state.fleet.is_resting(now, &view.record.instance)
            && !has_just_started(view.record.started_unix_ms)
    });
    let engines = engines.map(|view| ListedEngine {
        instance: view.record.instance.clone(),
        address: view.record.address,
        service: view.record.service.clone(),
        started_unix_ms: view.record.started_unix_ms,
    });
    let mut engines: Vec<ListedEngine> = engines.collect();
    if !engines.is_empty() {
        let first = rand::random_range(0..engines.len());
        engines.rotate_left(first);
    }
    engines
}

/// Returns whether an engine has had no time to cache much, if the clocks are right.
fn has_just_started(started_unix_ms: Option<u64>) -> bool {
    let now = ClockReading::take().unix_ms;
    let age = started_unix_ms.and_then(|started| now.checked_sub(started));
    age.is_some_and(|age| Duration::from_millis(age) < MIN_AGE)
}

/// Asks one engine, and replaces what is expected in its cache.
async fn read_list(shared: &GatewayShared, engine: &ListedEngine) {
    let started = engine.started_unix_ms;
    let asked_at_use = {
        let mut state = shared.lock();
        let view = state.fleet.process_mut(&engine.instance, started);
        view.map(|view| view.cache_uses())
    };
    let Some(asked_at_use) = asked_at_use else {
        return;
    };
    charge_request(shared, &engine.instance);
    let question = LimitQuestion::new(shared, &engine.instance);
    let observe = |notices| record_notices(shared, &question, notices);
    let listing = list_cached_segments(engine.address, &engine.instance, LIST_TIMEOUT, observe);
    let outcome = listing.await;
    let name = if outcome.is_ok() { "read" } else { "failed" };
    shared.metrics.cache_lists.with_label_values(&[name]).inc();
    let Ok(segments) = outcome else {
        return;
    };
    let mut state = shared.lock();
    let capacity_tokens = state.engine_capacity(&engine.service).kv_cache_tokens;
    if let Some(view) = state.fleet.process_mut(&engine.instance, started) {
        view.record_cached(&segments, asked_at_use, capacity_tokens);
    }
}
