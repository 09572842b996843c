//! Finds out which software version began a stream that a caller takes up.

use std::time::Duration;

use logs::DecisionKind;
use policy::{
    KnownVersions,
    StreamOrigin,
    StreamStart,
    VersionRule,
    stream_key, //
};
use tokio::time::{
    Instant,
    sleep,
    sleep_until,
    timeout, //
};
use units::{
    ServiceName,
    SoftwareVersion,
    StreamKey, //
};
use wire::StreamQuestion;

use crate::origin_messages::{
    ask_gateways,
    tell_gateways, //
};
use crate::origin_state::{
    OriginState,
    origin_expiry, //
};
use crate::origin_store::read_streams;
use crate::request::RequestContext;
use crate::shared::GatewayShared;

/// Time for which other gateways are asked.
const ASK_TIME: Duration = Duration::from_millis(150);
/// Interval after which those that have not answered are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the store is asked.
const STORE_TIME: Duration = Duration::from_millis(400);
/// Time without an answer of the store from which on the entries of backend servers are out of date.
const FRESH_TIME: Duration = Duration::from_secs(4);
/// Time for which the entries of a version are awaited that another gateway knows.
const ENTRY_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for these entries.
const ENTRY_INTERVAL: Duration = Duration::from_millis(20);

/// Version that may go on with a stream, and how it was learned.
#[derive(Debug)]
struct OriginVerdict {
    rule: VersionRule,
    source: &'static str,
    age: Duration,
}

impl OriginVerdict {
    fn from_origin(origin: &StreamOrigin) -> Self {
        Self {
            rule: VersionRule::begun_by(origin.version.as_ref()),
            source: origin.source.as_str(),
            age: origin.learned_at.elapsed(),
        }
    }
}

/// Returns which versions may serve a request for a stream, or `None` if it takes up a stream that
/// more than one may have begun.
pub(crate) async fn find_version(context: &RequestContext) -> Option<VersionRule> {
    let key = match &context.metadata.stream_start {
        StreamStart::New => return Some(VersionRule::Any),
        StreamStart::Named(name) => Some(stream_key(&context.service, name)),
        StreamStart::Unknown => None,
    };
    let verdict = find_verdict(&context.shared, &context.service, key).await;
    log_verdict(context, verdict.as_ref());
    let verdict = verdict?;
    if let (Some(key), Some(version)) = (key, verdict.rule.required()) {
        record_origin(context, key, Some(version));
        await_entry(context, version).await;
    }
    Some(verdict.rule)
}

/// Records the version that began the request's stream, before the caller gets its first event.
pub(crate) fn record_first_event(context: &RequestContext, version: Option<&SoftwareVersion>) {
    if let StreamStart::Named(name) = StreamStart::named(&context.metadata.request_id) {
        record_origin(context, stream_key(&context.service, &name), version);
    }
}

fn record_origin(context: &RequestContext, key: StreamKey, version: Option<&SoftwareVersion>) {
    let shared = &context.shared;
    let timeout = context.metadata.timeout.unwrap_or(context.rule.timeout);
    let expires_at = origin_expiry(context.started, timeout);
    let (is_told, is_full) =
        shared
            .origins
            .record_own(&context.service, key, version.cloned(), expires_at);
    shared.metrics.dropped_origins.inc_by(is_full.into());
    if is_told {
        tell_gateways(shared, &[key]);
    }
}

async fn find_verdict(
    shared: &GatewayShared,
    service: &ServiceName,
    key: Option<StreamKey>,
) -> Option<OriginVerdict> {
    if let Some(verdict) = key.and_then(|key| known_origin(&shared.origins, key)) {
        return Some(verdict);
    }
    let key_or_none = key.unwrap_or_default();
    let (versions, is_answered) = ask(shared, service, key_or_none).await;
    if let Some(verdict) = key.and_then(|key| known_origin(&shared.origins, key)) {
        return Some(verdict);
    }
    let candidates = candidates(shared, service, versions);
    if candidates.len() > 1 && key.is_some() {
        // The watch on the store lags, and may be cut.
        let arrived = Instant::now();
        let _ = timeout(STORE_TIME, read_streams(shared, arrived)).await;
    }
    if let Some(verdict) = key.and_then(|key| known_origin(&shared.origins, key)) {
        return Some(verdict);
    }
    let mut candidates = candidates.into_iter();
    match (candidates.next(), candidates.next()) {
        (Some(only), None) if is_answered || is_fresh(shared) => Some(OriginVerdict {
            rule: VersionRule::begun_by(only.as_ref()),
            source: "single",
            age: Duration::ZERO,
        }),
        // Without engines, no engine is selected.
        (None, _) => Some(OriginVerdict {
            rule: VersionRule::Unmatched,
            source: "single",
            age: Duration::ZERO,
        }),
        _ => None,
    }
}

fn known_origin(origins: &OriginState, key: StreamKey) -> Option<OriginVerdict> {
    let tables = origins.lock();
    let origin = tables.streams.get(Instant::now(), key)?;
    Some(OriginVerdict::from_origin(origin))
}

/// Returns the versions that may have begun a stream, according to this gateway and the answers.
fn candidates(
    shared: &GatewayShared,
    service: &ServiceName,
    answered: KnownVersions,
) -> KnownVersions {
    let recent = shared
        .origins
        .lock()
        .history
        .recent(Instant::now(), service);
    recent.into_iter().chain(answered).collect()
}

/// Returns whether the entries of backend servers are those of the last seconds.
fn is_fresh(shared: &GatewayShared) -> bool {
    let state = shared.lock();
    state.members.len() <= 1
        || state
            .store_health
            .has_answered_within(Instant::now(), FRESH_TIME)
}

/// Asks other gateways about a stream until one knows it or all have answered. Returns the versions
/// that they know of, and whether any has answered.
async fn ask(
    shared: &GatewayShared,
    service: &ServiceName,
    key: StreamKey,
) -> (KnownVersions, bool) {
    let origins = &shared.origins;
    let question = StreamQuestion {
        number: rand::random(),
        stream: key.0,
        service: service.to_string(),
    };
    let number = question.number;
    origins.lock().questions.entry(number).or_default();
    let guard = QuestionGuard { origins, number };
    let until = Instant::now() + ASK_TIME;
    while Instant::now() < until {
        let asked = ask_gateways(shared, question.clone());
        let is_last = asked.is_empty();
        if let Some(open) = origins.lock().questions.get_mut(&number) {
            open.asked.extend(asked);
        }
        let round_end = (Instant::now() + ASK_INTERVAL).min(until);
        if is_last || await_answers(shared, service, number, key, round_end).await {
            break;
        }
    }
    let open = origins.lock().questions.remove(&number).unwrap_or_default();
    drop(guard);
    let is_answered = !open.answered.is_empty();
    (open.versions, is_answered)
}

/// Removes a question whose request was given up.
struct QuestionGuard<'a> {
    origins: &'a OriginState,
    number: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.origins.lock().questions.remove(&self.number);
    }
}

/// Waits until a question is settled. Returns whether it is.
async fn await_answers(
    shared: &GatewayShared,
    service: &ServiceName,
    number: u64,
    key: StreamKey,
    until: Instant,
) -> bool {
    let origins = &shared.origins;
    loop {
        let answered = origins.answers.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        if is_settled(shared, service, number, key) {
            return true;
        }
        tokio::select! {
            () = answered => {}
            () = sleep_until(until) => return false,
        }
    }
}

/// Returns whether a stream is known, all gateways have answered, or no answer can matter since there
/// is a single version.
fn is_settled(shared: &GatewayShared, service: &ServiceName, number: u64, key: StreamKey) -> bool {
    let versions = {
        let tables = shared.origins.lock();
        let Some(open) = tables.questions.get(&number) else {
            return true;
        };
        let is_known = tables.streams.get(Instant::now(), key).is_some();
        if is_known || open.asked.is_subset(&open.answered) {
            return true;
        }
        if open.answered.is_empty() {
            return false;
        }
        open.versions.clone()
    };
    candidates(shared, service, versions).len() <= 1 && is_fresh(shared)
}

/// Waits a little for the entry of an engine with a version that this gateway has never seen, as after
/// a time without the store.
async fn await_entry(context: &RequestContext, version: &SoftwareVersion) {
    let shared = &context.shared;
    let until = context.deadline.min(Instant::now() + ENTRY_TIME);
    let is_unseen = || {
        let tables = shared.origins.lock();
        !tables.history.contains(&context.service, version)
    };
    while is_unseen() && Instant::now() < until {
        sleep(ENTRY_INTERVAL).await;
    }
}

fn log_verdict(context: &RequestContext, verdict: Option<&OriginVerdict>) {
    let source = verdict.map_or("unknown", |verdict| verdict.source);
    let resumes = &context.shared.metrics.resumes;
    resumes.with_label_values(&[source]).inc();
    let stream = match &context.metadata.stream_start {
        StreamStart::Named(name) => Some(String::from_utf8_lossy(name).into_owned()),
        StreamStart::New | StreamStart::Unknown => None,
    };
    let version = verdict.and_then(|verdict| verdict.rule.required());
    let record = context
        .record(DecisionKind::Resume, "caller takes up a stream")
        .input("stream", stream)
        .input("last_event", context.metadata.last_event_id)
        .input("version", version.map(SoftwareVersion::as_str))
        .input("source", source)
        .input(
            "age_ms",
            verdict.map(|verdict| verdict.age.as_millis() as u64),
        );
    let record = if version.is_some() {
        record
    } else {
        record.failure()
    };
    context.shared.log.write(record);
}
