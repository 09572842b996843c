//! Chooses the backend server for each stage of a request.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    DataCentre,
    InstanceId,
    ServiceName, //
};

use crate::fleet::BackendView;
use crate::{
    BackendFleet,
    EngineStage,
    PromptLayout,
    QueuePosition, //
};

/// Time of a plain answer before any was seen.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Score of a hop to another data centre, in milliseconds: its delay both ways and its traffic.
const REMOTE_PENALTY_MS: f64 = 6.0;
/// Score of moving a KV cache to another data centre, in milliseconds for each thousand tokens.
const REMOTE_TRANSFER_MS_PER_1000_TOKENS: f64 = 30.0;
/// Score of a share of failed answers, in milliseconds for all answers failing.
const FAILURE_PENALTY_MS: f64 = 400.0;
/// Share of a part that the engine of highest weight for it is thought to keep, as other entries
/// send it there too.
const PREFERRED_CACHED_SHARE: f64 = 0.8;
/// Score of reading a shared part again that another engine keeps, in milliseconds for each thousand
/// tokens: engines' time that other prompts wait for.
const RECOMPUTE_MS_PER_1000_TOKENS: f64 = 400.0;
/// Prompt tokens to read up to which a decode engine always reads the prompt itself.
const INLINE_PREFILL_LIMIT_TOKENS: u32 = 100;
/// Score of each stream that a decode engine runs, in milliseconds.
const STREAM_PENALTY_MS: f64 = 3.0;
/// Score of a full KV memory, in milliseconds.
const KV_CACHE_PENALTY_MS: f64 = 400.0;

/// Share of the time of less urgent prompts by which they delay a new one: some are under way.
const LOWER_PRIORITY_SHARE: f64 = 0.3;

/// A choice and the scores behind it, best first, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendSelection {
    /// Backend server chosen.
    pub instance: InstanceId,
    /// Time until the work starts there, as predicted.
    pub expected_wait: Duration,
    /// Prompt tokens that it has to read.
    pub uncached_tokens: u32,
    /// Backend servers looked at with their scores.
    pub considered: Vec<(InstanceId, u32)>,
}

/// What a placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Data centre from which it is sent.
    pub centre: &'a DataCentre,
    /// Backend servers that were tried already.
    pub excluded: &'a BTreeSet<InstanceId>,
}

struct Candidate<'a> {
    view: &'a BackendView,
    score: f64,
    wait_ms: f64,
    uncached_tokens: u32,
}

fn candidate_views<'a>(
    fleet: &'a BackendFleet,
    now: Instant,
    request: SelectionRequest<'a>,
    stage: Option<EngineStage>,
) -> Vec<&'a BackendView> {
    let usable = fleet.usable(now, request.service, stage);
    let untried = usable
        .into_iter()
        .filter(|view| !request.excluded.contains(&view.record.instance));
    untried.collect()
}

fn select_lowest_score<'a>(
    scored: impl Iterator<Item = Candidate<'a>>,
) -> Option<BackendSelection> {
    let mut scored: Vec<Candidate<'a>> = scored.collect();
    scored.sort_by(|a, b| a.score.total_cmp(&b.score));
    let considered = scored.iter().take(4);
    let considered = considered.map(|c| (c.view.record.instance.clone(), c.score as u32));
    let best = scored.first()?;
    Some(BackendSelection {
        instance: best.view.record.instance.clone(),
        expected_wait: Duration::from_secs_f64(best.wait_ms.max(0.0) / 1_000.0),
        uncached_tokens: best.uncached_tokens,
        considered: considered.collect(),
    })
}

fn remote_penalty_ms(view: &BackendView, centre: &DataCentre) -> f64 {
    if view.record.centre == *centre {
        0.0
    } else {
        REMOTE_PENALTY_MS
    }
}

/// The backend server of a plain service with the least expected time.
pub fn select_plain_server(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, None);
    let default = fastest_response_time(&views).unwrap_or(DEFAULT_RESPONSE_TIME);
    let scored = views.into_iter().map(|view| {
        let response_ms = view.mean_response_time().unwrap_or(default);
        let response_ms = response_ms.as_secs_f64() * 1_000.0;
        let load = f64::from(view.total_load().requests) / f64::from(view.record.slots.max(1));
        let wait_ms = load * response_ms;
        let failure_ms = view.health.failure_rate() * FAILURE_PENALTY_MS;
        Candidate {
            view,
            score: wait_ms + response_ms + failure_ms + remote_penalty_ms(view, request.centre),
            wait_ms,
            uncached_tokens: 0,
        }
    });
    select_lowest_score(scored)
}

/// Time of answers of the fastest backend server. A new one is taken to be like it, or it would get
/// no work beside the others.
fn fastest_response_time(views: &[&BackendView]) -> Option<Duration> {
    views
        .iter()
        .filter_map(|view| view.mean_response_time())
        .min()
}

/// Speeds of a service's engines, as learned from their answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens that a decode engine reads in a millisecond.
    pub inline_tokens_per_ms: f64,
    /// Tokens of one engine's KV memory.
    pub kv_cache_tokens: u64,
}

impl EngineCapacity {
    /// Time in which a prefill engine reads some prompt tokens.
    pub fn prefill_time(self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_ms / 1_000.0)
    }
}

/// The prefill engine that has read the prompt soonest.
pub fn select_prefill_engine(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
    layout: &PromptLayout,
    position: QueuePosition,
    capacity: EngineCapacity,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, Some(EngineStage::Prefill));
    let preferred = affinity_engine(&views, layout);
    let scored = views.into_iter().map(|view| {
        let uncached_tokens = uncached_tokens(view, layout, preferred.as_ref());
        let backlog = view.total_load().prefill_backlog;
        let tokens_ahead = backlog.tokens_ahead(position);
        let wait_ms = tokens_ahead as f64 / capacity.prefill_tokens_per_ms;
        let lower_priority_ms = (backlog.total_tokens() - tokens_ahead) as f64
            * LOWER_PRIORITY_SHARE
            / capacity.prefill_tokens_per_ms;
        let prefill_ms = f64::from(uncached_tokens) / capacity.prefill_tokens_per_ms;
        let recompute_ms = recompute_penalty_ms(layout, uncached_tokens);
        let failure_ms = view.health.failure_rate() * FAILURE_PENALTY_MS;
        Candidate {
            view,
            score: wait_ms
                + lower_priority_ms
                + prefill_ms
                + recompute_ms
                + failure_ms
                + remote_penalty_ms(view, request.centre),
            wait_ms,
            uncached_tokens,
        }
    });
    select_lowest_score(scored)
}

/// The decode engine that slows a stream least, given where its KV cache lies.
pub fn select_decode_engine(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
    layout: &PromptLayout,
    capacity: EngineCapacity,
    cache_centre: Option<&DataCentre>,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, Some(EngineStage::Decode));
    let preferred = affinity_engine(&views, layout).filter(|_| cache_centre.is_none());
    let scored = views.into_iter().map(|view| {
        let load = view.total_load();
        let uncached_tokens = match cache_centre {
            Some(_) => 0,
            None => uncached_tokens(view, layout, preferred.as_ref()),
        };
        let wait_ms = load.prefill_backlog.total_tokens() as f64 / capacity.inline_tokens_per_ms;
        let prefill_ms = f64::from(uncached_tokens) / capacity.inline_tokens_per_ms;
        let recompute_ms = recompute_penalty_ms(layout, uncached_tokens);
        let stream_ms = f64::from(load.requests) * STREAM_PENALTY_MS;
        let cache_use = load.kv_cache_tokens as f64 / capacity.kv_cache_tokens.max(1) as f64;
        let transfer_ms = match cache_centre {
            Some(centre) if *centre != view.record.centre => {
                f64::from(layout.tokens()) / 1_000.0 * REMOTE_TRANSFER_MS_PER_1000_TOKENS
            }
            _ => 0.0,
        };
        let failure_ms = view.health.failure_rate() * FAILURE_PENALTY_MS;
        let remote_ms = remote_penalty_ms(view, request.centre);
        Candidate {
            view,
            score: wait_ms
                + prefill_ms
                + recompute_ms
                + stream_ms
                + cache_use * KV_CACHE_PENALTY_MS
                + transfer_ms
                + failure_ms
                + remote_ms,
            wait_ms,
            uncached_tokens,
        }
    });
    select_lowest_score(scored)
}

/// Whether a decode engine reads a prompt itself: only short remainders, since each chunk that it
/// reads holds up all of its streams.
pub fn prefers_inline_prefill(inline: &BackendSelection) -> bool {
    inline.uncached_tokens <= INLINE_PREFILL_LIMIT_TOKENS
}

/// Tokens that an engine has to read of a prompt, as far as is known of what it keeps.
fn uncached_tokens(
    view: &BackendView,
    layout: &PromptLayout,
    preferred: Option<&InstanceId>,
) -> u32 {
    let mut cached = view.cache.cached_tokens(layout);
    if preferred == Some(&view.record.instance) {
        let shared_tokens = layout.tokens() - private_tokens(layout);
        cached = cached.max((f64::from(shared_tokens) * PREFERRED_CACHED_SHARE) as u32);
    }
    layout.tokens().saturating_sub(cached)
}

/// Score of the shared parts among the tokens to read.
fn recompute_penalty_ms(layout: &PromptLayout, uncached_tokens: u32) -> f64 {
    let shared_tokens = uncached_tokens.saturating_sub(private_tokens(layout));
    f64::from(shared_tokens) / 1_000.0 * RECOMPUTE_MS_PER_1000_TOKENS
}

fn private_tokens(layout: &PromptLayout) -> u32 {
    layout
        .segments()
        .last()
        .map_or(0, |segment| segment.tokens.0)
}

/// The engine of highest weight for the chain's last shared part, the same on every entry.
fn affinity_engine(views: &[&BackendView], layout: &PromptLayout) -> Option<InstanceId> {
    let segment = layout.affinity_segment()?;
    let weight = |view: &&&BackendView| {
        XxHash3_64::oneshot_with_seed(segment.0, view.record.instance.as_str().as_bytes())
    };
    let engine = views.iter().max_by_key(weight)?;
    Some(engine.record.instance.clone())
}
