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
    PromptChain,
    QueuePosition, //
};

/// Time of a plain answer before any was seen.
const ANSWER_PRIOR: Duration = Duration::from_millis(50);
/// Score of a hop to another data centre, in milliseconds: its delay both ways and its traffic.
const REMOTE_MS: f64 = 6.0;
/// Score of moving a KV cache to another data centre, in milliseconds for each thousand tokens.
const REMOTE_MOVE_MS: f64 = 30.0;
/// Score of a share of failed answers, in milliseconds for all answers failing.
const FAILURE_MS: f64 = 400.0;
/// Share of a part that the engine of highest weight for it is thought to keep, as other entries
/// send it there too.
const AGREED_SHARE: f64 = 0.8;
/// Score of reading a shared part again that another engine keeps, in milliseconds for each thousand
/// tokens: engines' time that other prompts wait for.
const REREAD_MS: f64 = 400.0;
/// Prompt tokens to read up to which a decode engine always reads the prompt itself.
const INLINE_TOKENS: u32 = 100;
/// Score of each stream that a decode engine runs, in milliseconds.
const STREAM_MS: f64 = 3.0;
/// Score of a full KV memory, in milliseconds.
const MEMORY_MS: f64 = 400.0;

/// Share of the time of less urgent prompts by which they delay a new one: some are under way.
const BEHIND_SHARE: f64 = 0.3;

/// A choice and the scores behind it, best first, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Backend server chosen.
    pub instance: InstanceId,
    /// Time until the work starts there, as predicted.
    pub wait: Duration,
    /// Prompt tokens that it has to read.
    pub uncached: u32,
    /// Backend servers looked at with their scores.
    pub considered: Vec<(InstanceId, u32)>,
}

/// What a placement needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementNeed<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Data centre from which it is sent.
    pub centre: &'a DataCentre,
    /// Backend servers that were tried already.
    pub avoid: &'a BTreeSet<InstanceId>,
}

struct Candidate<'a> {
    view: &'a BackendView,
    score: f64,
    wait: f64,
    uncached: u32,
}

fn candidates<'a>(
    fleet: &'a BackendFleet,
    now: Instant,
    need: PlacementNeed<'a>,
    stage: Option<EngineStage>,
) -> Vec<&'a BackendView> {
    let usable = fleet.usable(now, need.service, stage);
    let fresh = usable
        .into_iter()
        .filter(|view| !need.avoid.contains(&view.record.instance));
    fresh.collect()
}

fn choose<'a>(scored: impl Iterator<Item = Candidate<'a>>) -> Option<Placement> {
    let mut scored: Vec<Candidate<'a>> = scored.collect();
    scored.sort_by(|a, b| a.score.total_cmp(&b.score));
    let considered = scored.iter().take(4);
    let considered = considered.map(|c| (c.view.record.instance.clone(), c.score as u32));
    let best = scored.first()?;
    Some(Placement {
        instance: best.view.record.instance.clone(),
        wait: Duration::from_secs_f64(best.wait.max(0.0) / 1_000.0),
        uncached: best.uncached,
        considered: considered.collect(),
    })
}

fn hop_ms(view: &BackendView, centre: &DataCentre) -> f64 {
    if view.record.centre == *centre {
        0.0
    } else {
        REMOTE_MS
    }
}

/// The backend server of a plain service with the least expected time.
pub fn place_call(
    fleet: &BackendFleet,
    now: Instant,
    need: PlacementNeed<'_>,
) -> Option<Placement> {
    let views = candidates(fleet, now, need, None);
    let prior = least_answer(&views).unwrap_or(ANSWER_PRIOR);
    let scored = views.into_iter().map(|view| {
        let answer = view.answer_time().unwrap_or(prior);
        let answer = answer.as_secs_f64() * 1_000.0;
        let load = f64::from(view.total_load().requests) / f64::from(view.record.slots.max(1));
        let wait = load * answer;
        let failures = view.health.failure_share() * FAILURE_MS;
        Candidate {
            view,
            score: wait + answer + failures + hop_ms(view, need.centre),
            wait,
            uncached: 0,
        }
    });
    choose(scored)
}

/// Time of answers of the fastest backend server. A new one is taken to be like it, or it would get
/// no work beside the others.
fn least_answer(views: &[&BackendView]) -> Option<Duration> {
    views.iter().filter_map(|view| view.answer_time()).min()
}

/// Speeds of a service's engines, as learned from their answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens that a prefill engine reads in a millisecond.
    pub prefill: f64,
    /// Prompt tokens that a decode engine reads in a millisecond.
    pub inline: f64,
    /// Tokens of one engine's KV memory.
    pub memory_tokens: u64,
}

impl EngineSpeed {
    /// Time in which a prefill engine reads some prompt tokens.
    pub fn read_time(self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill / 1_000.0)
    }
}

/// The prefill engine that has read the prompt soonest.
pub fn place_prefill(
    fleet: &BackendFleet,
    now: Instant,
    need: PlacementNeed<'_>,
    chain: &PromptChain,
    position: QueuePosition,
    speed: EngineSpeed,
) -> Option<Placement> {
    let views = candidates(fleet, now, need, Some(EngineStage::Prefill));
    let agreed = agreed_place(&views, chain);
    let scored = views.into_iter().map(|view| {
        let uncached = uncached_tokens(view, chain, agreed.as_ref());
        let backlog = view.total_load().prefill_backlog;
        let tokens_ahead = backlog.tokens_ahead(position);
        let wait = tokens_ahead as f64 / speed.prefill;
        let behind = (backlog.total_tokens() - tokens_ahead) as f64 * BEHIND_SHARE / speed.prefill;
        let read = f64::from(uncached) / speed.prefill;
        let reread = reread_ms(chain, uncached);
        let failures = view.health.failure_share() * FAILURE_MS;
        Candidate {
            view,
            score: wait + behind + read + reread + failures + hop_ms(view, need.centre),
            wait,
            uncached,
        }
    });
    choose(scored)
}

/// The decode engine that slows a stream least, given where its KV cache lies.
pub fn place_decode(
    fleet: &BackendFleet,
    now: Instant,
    need: PlacementNeed<'_>,
    chain: &PromptChain,
    speed: EngineSpeed,
    source: Option<&DataCentre>,
) -> Option<Placement> {
    let views = candidates(fleet, now, need, Some(EngineStage::Decode));
    let agreed = agreed_place(&views, chain).filter(|_| source.is_none());
    let scored = views.into_iter().map(|view| {
        let load = view.total_load();
        let uncached = match source {
            Some(_) => 0,
            None => uncached_tokens(view, chain, agreed.as_ref()),
        };
        let wait = load.prefill_backlog.total_tokens() as f64 / speed.inline;
        let read = f64::from(uncached) / speed.inline;
        let reread = reread_ms(chain, uncached);
        let crowd = f64::from(load.requests) * STREAM_MS;
        let memory = load.kv_cache_tokens as f64 / speed.memory_tokens.max(1) as f64;
        let moved = match source {
            Some(centre) if *centre != view.record.centre => {
                f64::from(chain.tokens()) / 1_000.0 * REMOTE_MOVE_MS
            }
            _ => 0.0,
        };
        let failures = view.health.failure_share() * FAILURE_MS;
        let hop = hop_ms(view, need.centre);
        Candidate {
            view,
            score: wait + read + reread + crowd + memory * MEMORY_MS + moved + failures + hop,
            wait,
            uncached,
        }
    });
    choose(scored)
}

/// Whether a decode engine reads a prompt itself: only short remainders, since each chunk that it
/// reads holds up all of its streams.
pub fn reads_inline(inline: &Placement) -> bool {
    inline.uncached <= INLINE_TOKENS
}

/// Tokens that an engine has to read of a prompt, as far as is known of what it keeps.
fn uncached_tokens(view: &BackendView, chain: &PromptChain, agreed: Option<&InstanceId>) -> u32 {
    let mut cached = view.parts.cached_tokens(chain);
    if agreed == Some(&view.record.instance) {
        let shared = chain.tokens() - own_tokens(chain);
        cached = cached.max((f64::from(shared) * AGREED_SHARE) as u32);
    }
    chain.tokens().saturating_sub(cached)
}

/// Score of the shared parts among the tokens to read.
fn reread_ms(chain: &PromptChain, uncached: u32) -> f64 {
    let shared = uncached.saturating_sub(own_tokens(chain));
    f64::from(shared) / 1_000.0 * REREAD_MS
}

fn own_tokens(chain: &PromptChain) -> u32 {
    chain.parts().last().map_or(0, |part| part.tokens.0)
}

/// The engine of highest weight for the chain's last shared part, the same on every entry.
fn agreed_place(views: &[&BackendView], chain: &PromptChain) -> Option<InstanceId> {
    let part = chain.affinity()?;
    let weight = |view: &&&BackendView| {
        XxHash3_64::oneshot_with_seed(part.0, view.record.instance.as_str().as_bytes())
    };
    let first = views.iter().max_by_key(weight)?;
    Some(first.record.instance.clone())
}
