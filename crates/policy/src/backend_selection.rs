//! Backend selection for each stage of a request: every candidate gets a score in milliseconds, and
//! the lowest score wins.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    DataCentre,
    InstanceId,
    ServiceName,
    SoftwareVersion, //
};

use crate::fleet::BackendView;
use crate::{
    BackendFleet,
    EngineStage,
    PromptLayout,
    QueuePosition,
    ServerFilter,
    VersionRule, //
};

/// Response time of a plain service before the first response.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Penalty for a plain server that gets all requests, as a share of its response time; smaller shares of
/// the requests count in proportion. Servers that are about equally fast share the load, so that gateways
/// with the same view do not all send to the fastest one, and know the speed of the others.
const SHARE_PENALTY: f64 = 0.5;
/// Minimum of this penalty, for servers whose response times are mostly those of connections.
const MIN_SHARE_PENALTY_MS: f64 = 3.0;
/// Maximum of this penalty, below that for another data centre.
const MAX_SHARE_PENALTY_MS: f64 = 5.0;
/// Penalty for a backend server in another data centre: network delay in both directions and the
/// cost of the traffic.
const REMOTE_PENALTY_MS: f64 = 6.0;
/// Penalty per 1,000 tokens for the transfer of a KV cache to another data centre.
const REMOTE_TRANSFER_MS_PER_1000_TOKENS: f64 = 30.0;
/// Penalty for a backend server of another version than the preferred one.
const OTHER_VERSION_PENALTY_MS: f64 = 30.0;
/// Penalty at a failure rate of 1; lower rates count in proportion.
const FAILURE_PENALTY_MS: f64 = 400.0;
/// Share of the shared segments expected in the cache of the preferred engine, since other gateways
/// send prompts with the same prefix there too.
const PREFERRED_CACHED_SHARE: f64 = 0.8;
/// Penalty per 1,000 tokens for prefilling a shared segment that another engine may have cached,
/// because other prompts wait for that engine time.
const RECOMPUTE_MS_PER_1000_TOKENS: f64 = 400.0;
/// Maximum number of uncached tokens of a prompt for inline prefill.
const INLINE_PREFILL_LIMIT_TOKENS: u32 = 100;
/// Penalty for each in-flight request of a decode engine.
const STREAM_PENALTY_MS: f64 = 3.0;
/// Penalty for a full KV cache memory; lower use counts in proportion.
const KV_CACHE_PENALTY_MS: f64 = 400.0;

/// Preference for a server whose limit may have ended, so that some request finds out.
const LIMIT_ASK_BONUS_MS: f64 = 50.0;

/// Share of the prefill time of less urgent prompts that counts as delay of a new prompt, since
/// some of them are already being prefilled.
const LOWER_PRIORITY_SHARE: f64 = 0.3;

/// The selected backend server with the scores of the best candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendSelection {
    /// Selected backend server.
    pub instance: InstanceId,
    /// Version of its software, if its entry states one.
    pub version: Option<SoftwareVersion>,
    /// Expected time until the request starts to run there.
    pub expected_wait: Duration,
    /// Number of prompt tokens to prefill there.
    pub uncached_tokens: u32,
    /// Best candidates with their scores in milliseconds, best first.
    pub considered: Vec<(InstanceId, u32)>,
    /// Number of backend servers that were no candidates for lack of a token.
    pub without_token: usize,
}

/// Criteria for the backend selection of a request.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Data centre of the gateway that sends the request.
    pub centre: &'a DataCentre,
    /// Backend servers that are not candidates, since they were already tried.
    pub excluded: &'a BTreeSet<InstanceId>,
    /// Software versions that may serve the request.
    pub version: &'a VersionRule,
    /// Version that is preferred, since the KV cache or the stream is of it.
    pub preferred_version: Option<&'a SoftwareVersion>,
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
    let filter = ServerFilter {
        service: request.service,
        stage,
        version: request.version,
        excluded: request.excluded,
    };
    fleet.usable(now, filter)
}

fn select_lowest_score<'a>(
    now: Instant,
    scored: impl Iterator<Item = Candidate<'a>>,
) -> Option<BackendSelection> {
    let mut scored: Vec<Candidate<'a>> = scored.collect();
    for candidate in &mut scored {
        if candidate.view.limit.is_due_to_be_asked(now) {
            candidate.score -= LIMIT_ASK_BONUS_MS;
        }
    }
    scored.sort_by(|a, b| a.score.total_cmp(&b.score));
    let considered = scored.iter().take(4);
    let considered = considered.map(|c| (c.view.record.instance.clone(), c.score as u32));
    let best = scored.first()?;
    Some(BackendSelection {
        instance: best.view.record.instance.clone(),
        version: best.view.record.version.clone(),
        expected_wait: Duration::from_secs_f64(best.wait_ms.max(0.0) / 1_000.0),
        uncached_tokens: best.uncached_tokens,
        considered: considered.collect(),
        without_token: 0,
    })
}

fn version_penalty_ms(view: &BackendView, request: SelectionRequest<'_>) -> f64 {
    let preferred = request.preferred_version;
    if preferred.is_none() || preferred == view.record.version.as_ref() {
        0.0
    } else {
        OTHER_VERSION_PENALTY_MS
    }
}

fn remote_penalty_ms(view: &BackendView, centre: &DataCentre) -> f64 {
    if view.record.centre == *centre {
        0.0
    } else {
        REMOTE_PENALTY_MS
    }
}

/// Selects the backend server of a plain service with the least expected response time.
pub fn select_plain_server(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, None);
    let default = fastest_response_time(&views).unwrap_or(DEFAULT_RESPONSE_TIME);
    let rates = views.iter().map(|view| view.sent_rate.per_ms(now));
    let total_rate: f64 = rates.sum::<f64>().max(f64::MIN_POSITIVE);
    let scored = views.into_iter().map(|view| {
        let response_ms = view.mean_response_time().unwrap_or(default);
        let response_ms = response_ms.as_secs_f64() * 1_000.0;
        let load = f64::from(view.total_load().requests) / f64::from(view.record.slots.max(1));
        let wait_ms = load * response_ms;
        let failure_ms = view.health.failure_rate() * FAILURE_PENALTY_MS;
        let sent_share = view.sent_rate.per_ms(now) / total_rate;
        let full_share_ms =
            (response_ms * SHARE_PENALTY).clamp(MIN_SHARE_PENALTY_MS, MAX_SHARE_PENALTY_MS);
        let share_ms = sent_share * full_share_ms;
        let remote_ms = remote_penalty_ms(view, request.centre);
        Candidate {
            view,
            score: wait_ms + response_ms + failure_ms + share_ms + remote_ms,
            wait_ms,
            uncached_tokens: 0,
        }
    });
    select_lowest_score(now, scored)
}

/// Returns the mean response time of the fastest backend server. It is the estimate for new backend
/// servers, which would otherwise get no requests beside the others.
fn fastest_response_time(views: &[&BackendView]) -> Option<Duration> {
    views
        .iter()
        .filter_map(|view| view.mean_response_time())
        .min()
}

/// Observed speeds and the configured memory of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens per millisecond of a prefill engine.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens per millisecond of inline prefill on a decode engine.
    pub inline_tokens_per_ms: f64,
    /// Number of tokens that fit in one engine's KV cache memory.
    pub kv_cache_tokens: u64,
}

impl EngineCapacity {
    /// Returns the expected time of a prefill engine for a number of prompt tokens.
    pub fn prefill_time(self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_ms / 1_000.0)
    }
}

/// Selects the prefill engine that is expected to finish the prompt first.
pub fn select_prefill_engine(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
    layout: &PromptLayout,
    position: QueuePosition,
    capacity: EngineCapacity,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, Some(EngineStage::Prefill));
    let preferred = preferred_engine(&views, layout);
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
                + version_penalty_ms(view, request)
                + remote_penalty_ms(view, request.centre),
            wait_ms,
            uncached_tokens,
        }
    });
    select_lowest_score(now, scored)
}

/// Selects the decode engine on which a stream is expected to run fastest. `cache_centre` is the
/// data centre that holds the prompt's KV cache; with `None`, the decode engine prefills inline.
pub fn select_decode_engine(
    fleet: &BackendFleet,
    now: Instant,
    request: SelectionRequest<'_>,
    layout: &PromptLayout,
    capacity: EngineCapacity,
    cache_centre: Option<&DataCentre>,
) -> Option<BackendSelection> {
    let views = candidate_views(fleet, now, request, Some(EngineStage::Decode));
    let preferred = preferred_engine(&views, layout).filter(|_| cache_centre.is_none());
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
                + version_penalty_ms(view, request)
                + remote_ms,
            wait_ms,
            uncached_tokens,
        }
    });
    select_lowest_score(now, scored)
}

/// Returns whether the selected decode engine should prefill the prompt inline. Only short uncached
/// remainders qualify, because each prefill chunk delays all streams of the engine.
pub fn prefers_inline_prefill(selection: &BackendSelection) -> bool {
    selection.uncached_tokens <= INLINE_PREFILL_LIMIT_TOKENS
}

/// Returns the number of prompt tokens expected to be missing from an engine's prefix cache.
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

/// Returns the penalty for the shared segments among the uncached tokens.
fn recompute_penalty_ms(layout: &PromptLayout, uncached_tokens: u32) -> f64 {
    let shared_tokens = uncached_tokens.saturating_sub(private_tokens(layout));
    f64::from(shared_tokens) / 1_000.0 * RECOMPUTE_MS_PER_1000_TOKENS
}

/// Returns the number of tokens of the last segment, which is not shared.
fn private_tokens(layout: &PromptLayout) -> u32 {
    layout
        .segments()
        .last()
        .map_or(0, |segment| segment.tokens.0)
}

/// Returns the preferred engine for the last shared segment by rendezvous hashing, so that all
/// gateways agree on it without communication.
fn preferred_engine(views: &[&BackendView], layout: &PromptLayout) -> Option<InstanceId> {
    let segment = layout.affinity_segment()?;
    let weight = |view: &&&BackendView| {
        XxHash3_64::oneshot_with_seed(segment.0, view.record.instance.as_str().as_bytes())
    };
    let engine = views.iter().max_by_key(weight)?;
    Some(engine.record.instance.clone())
}
