//! One request of a caller on its way through the gateway.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method,
    Uri, //
};
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    RequestFacts,
    SendFacts, //
};
use policy::RouteRule;
use tokio::time::Instant;
use units::{
    ConfigVersion,
    InstanceId,
    ServiceName, //
};

use crate::shared::GatewayShared;

/// Priorities between two ranks of the configuration, so that one may be raised within its rank.
const RANK_STRIDE: u8 = 3;

/// A request with the route that it takes.
pub(crate) struct CallContext {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) service: ServiceName,
    pub(crate) version: ConfigVersion,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) facts: RequestFacts,
    pub(crate) started: Instant,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
}

impl CallContext {
    /// The request's id as text.
    pub(crate) fn id(&self) -> String {
        String::from_utf8_lossy(&self.facts.id).into_owned()
    }

    /// Step of the priority within the rank: prompts that take most of their target to read would be
    /// late in any case, and go after those that they would make late.
    fn size_step(&self) -> u8 {
        let speed = self.shared.lock().speed(&self.service).prefill;
        let read_ms = f64::from(self.facts.chain.tokens()) / speed;
        let target_ms = self.rule.target.as_secs_f64() * 1_000.0;
        match read_ms / target_ms.max(1.0) {
            share if share < 0.25 => 0,
            share if share < 0.7 => 1,
            _ => 2,
        }
    }

    /// Tokens that are likely to be generated.
    pub(crate) fn output_tokens(&self) -> u32 {
        let limit = self.facts.output_limit.0;
        let guess = self.facts.output_guess.map_or(limit, |guess| guess.0);
        guess.min(limit.max(1))
    }

    /// Time left until the caller or the route gives up.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What a send to a backend server says beside the caller's headers.
    pub(crate) fn send_facts(&self, instance: &InstanceId) -> SendFacts {
        SendFacts {
            instance: instance.clone(),
            time_left: Some(self.time_left()),
            rank: self.rule.rank.saturating_mul(RANK_STRIDE) + self.size_step(),
            prefill_only: false,
            source: None,
            resume_after: None,
        }
    }

    /// A log record about this request.
    pub(crate) fn record(&self, kind: DecisionKind, reason: impl Into<String>) -> DecisionRecord {
        DecisionRecord::new(kind, reason)
            .request(self.id())
            .class(&self.rule.name)
    }
}

/// Sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct SendCount {
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// Sends that backend servers refused without running them.
    pub(crate) refused: u32,
    /// Backend servers that were out of reach.
    pub(crate) unreached: u32,
    /// Sends that only had the prompt read.
    pub(crate) reads: u32,
    /// Backend servers that are not tried again.
    pub(crate) avoid: BTreeSet<InstanceId>,
}

impl SendCount {
    /// Whether any send has arrived at a backend server; the first one is not a repeat.
    pub(crate) fn is_first(&self) -> bool {
        self.runs + self.refused == 0
    }
}
