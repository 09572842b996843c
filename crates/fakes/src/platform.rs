//! The platform's lagging list of instances.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use hyper::StatusCode;
use store::InstanceRecord;
use tokio::time::Instant;
use web::json_reply;

use crate::server::{
    ServerHandle,
    start, //
};

/// A list of instances on loopback that shows changes after a lag.
#[derive(Debug)]
pub struct FakePlatform {
    server: ServerHandle,
    shared: Arc<Mutex<ListState>>,
}

#[derive(Debug)]
struct ListState {
    shown: Vec<InstanceRecord>,
    pending: Vec<(Instant, Vec<InstanceRecord>)>,
    lag: Duration,
}

fn lock(shared: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

impl ListState {
    fn show(&mut self, now: Instant) -> &[InstanceRecord] {
        let due = self.pending.iter().filter(|(at, _)| *at <= now).count();
        if let Some((_, records)) = self.pending.drain(..due).next_back() {
            self.shown = records;
        }
        &self.shown
    }
}

impl FakePlatform {
    /// Starts the list with a lag.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let shown = Vec::new();
        let pending = Vec::new();
        let shared = Arc::new(Mutex::new(ListState {
            shown,
            pending,
            lag,
        }));
        let list = shared.clone();
        let handler = move |_request| {
            let body = serde_json::to_vec(lock(&list).show(Instant::now()));
            async move { json_reply(StatusCode::OK, body.unwrap_or_default()) }
        };
        let server = start(address, handler).await?;
        Ok(Self { server, shared })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list; callers see it after the lag.
    pub fn set(&self, records: Vec<InstanceRecord>) {
        let mut state = lock(&self.shared);
        let at = Instant::now() + state.lag;
        state.pending.push((at, records));
    }

    /// Replaces the list at once.
    pub fn set_now(&self, records: Vec<InstanceRecord>) {
        let mut state = lock(&self.shared);
        state.pending.clear();
        state.shown = records;
    }
}
