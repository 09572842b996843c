//! Finds out which software version began a stream that a caller takes up.

use std::time::Duration;

use logs::DecisionKind;
use policy::{
    BaseVersion,
    CallKind,
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

use crate::request::RequestContext;
use crate::shared::GatewayShared;
use crate::versions::origin_messages::{
    ask_gateways,
    tell_gateways, //
};
use crate::versions::origin_reader::read_changes;
use crate::versions::origin_state::{
    OriginState,
    RecordNeed,
    origin_expiry, //
};

/// Time for which other gateways are asked.
const ASK_TIME: Duration = Duration::from_millis(150);
/// Interval after which those that have not answered are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the store is asked.
const STORE_TIME: Duration = Duration::from_millis(800);
/// Time for which the first event of a stream waits until the store has its record, without which the
/// stream would be taken for one of the base.
const RECORD_TIME: Duration = Duration::from_millis(1_000);
/// Time for which it waits where nothing is concluded from a stream without a record.
const OPTIONAL_RECORD_TIME: Duration = Duration::from_millis(100);
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

/// Why the version that began a stream is not known for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnknownOrigin {
    /// The store did not answer, and no other gateway that answered knows the stream.
    StoreUnread,
    /// Streams of several versions may be without a record.
    BaseUndecided,
    /// Records were dropped since the table was full.
    TableIncomplete,
    /// Several versions serve, and the caller names no stream that it may take up.
    Unnamed,
}

impl UnknownOrigin {
    /// Returns the cause's name in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::StoreUnread => "store_unread",
            Self::BaseUndecided => "base_undecided",
            Self::TableIncomplete => "table_incomplete",
            Self::Unnamed => "unnamed",
        }
    }
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

/// Returns which versions may serve a request for a stream, or `None` if it takes up a stream whose
/// version is not known for certain.
pub(crate) async fn find_version(context: &RequestContext) -> Option<VersionRule> {
    let key = match &context.metadata.stream_start {
        StreamStart::New => return Some(begin_rule(context)),
        StreamStart::Named(name) if has_records(context) => {
            Some(stream_key(&context.service, name)) //
        }
        StreamStart::Named(_) | StreamStart::Unknown => None,
    };
    let verdict = find_verdict(&context.shared, &context.service, key).await;
    log_verdict(context, &verdict);
    let verdict = verdict.ok()?;
    if let (Some(key), Some(version)) = (key, verdict.rule.required()) {
        // A stream that has not been told by now is one of the base.
        let _ = record_origin(context, key, Some(version));
        await_entry(context, version).await;
    }
    Some(verdict.rule)
}

/// Returns whether the versions of the route's streams are recorded, since callers may take them up.
fn has_records(context: &RequestContext) -> bool {
    context.rule.kind == CallKind::ResumableStream
}

/// Records the version that began the request's stream, before the caller gets its first event. Returns
/// false if the event has to be held back, since others could take the stream for one of another version.
pub(crate) async fn record_first_event(
    context: &RequestContext,
    version: Option<&SoftwareVersion>,
) -> bool {
    let StreamStart::Named(name) = StreamStart::named(&context.metadata.request_id) else {
        return true;
    };
    if !has_records(context) {
        return true;
    }
    let key = stream_key(&context.service, &name);
    let need = record_origin(context, key, version);
    let wait = match need {
        RecordNeed::None => return true,
        RecordNeed::Told if !takes_records(&context.shared) => Duration::ZERO,
        RecordNeed::Told => OPTIONAL_RECORD_TIME,
        RecordNeed::Stored => RECORD_TIME,
    };
    let origins = &context.shared.origins;
    let until = context.deadline.min(Instant::now() + wait);
    let recording = origins.await_record(&context.service, key, version, until);
    recording.await || need == RecordNeed::Told
}

/// Returns whether the store takes records, as far as known.
fn takes_records(shared: &GatewayShared) -> bool {
    shared.origins.is_writable() && !shared.lock().store_health.is_down()
}

/// Returns the versions at which a new stream may begin. While the store takes no records, that is only
/// the version which needs none, whether or not it has room: its engines may be free again when callers
/// take up streams that are without a record.
fn begin_rule(context: &RequestContext) -> VersionRule {
    if !has_records(context) || takes_records(&context.shared) {
        return VersionRule::Any;
    }
    let tables = context.shared.origins.lock();
    let Some(saved) = tables.saved.get(&context.service) else {
        return VersionRule::Any;
    };
    match &saved.list.base {
        BaseVersion::Undecided => VersionRule::Any,
        BaseVersion::Decided(None) if saved.list.is_single() => VersionRule::Any,
        BaseVersion::Decided(base) => VersionRule::begun_by(base.as_ref()),
    }
}

fn record_origin(
    context: &RequestContext,
    key: StreamKey,
    version: Option<&SoftwareVersion>,
) -> RecordNeed {
    let shared = &context.shared;
    let timeout = context.metadata.timeout.unwrap_or(context.rule.timeout);
    let expires_at = origin_expiry(context.started, timeout);
    let (need, is_full) =
        shared
            .origins
            .record_own(&context.service, key, version.cloned(), expires_at);
    shared.metrics.dropped_origins.inc_by(is_full.into());
    if need != RecordNeed::None {
        tell_gateways(shared, &[key]);
    }
    need
}

/// Asks the store, and the other gateways beside it unless they are expected to know nothing more. What
/// the store says after the request has arrived is certain; what others do not know proves nothing.
async fn find_verdict(
    shared: &GatewayShared,
    service: &ServiceName,
    key: Option<StreamKey>,
) -> Result<OriginVerdict, UnknownOrigin> {
    let known = || key.and_then(|key| known_origin(&shared.origins, key));
    if let Some(verdict) = known() {
        return Ok(verdict);
    }
    let arrived = Instant::now();
    let reading = async {
        let read = timeout(STORE_TIME, read_changes(shared, arrived)).await;
        read.is_ok_and(|read| read.is_ok())
    };
    let asking = async {
        if let Some(key) = key {
            ask(shared, service, key).await;
        }
    };
    tokio::pin!(reading, asking);
    let is_read = if knows_all(shared, service) {
        reading.await
    } else {
        tokio::select! {
            is_read = &mut reading => is_read,
            () = &mut asking => match known() {
                Some(verdict) => return Ok(verdict),
                None => {
                    let is_read = reading.await;
                    return certain_verdict(shared, service, known(), key, is_read);
                }
            },
        }
    };
    let verdict = certain_verdict(shared, service, known(), key, is_read);
    if verdict.is_ok() {
        return verdict;
    }
    asking.await;
    certain_verdict(shared, service, known(), key, is_read)
}

/// Returns whether the store is expected to answer, and other gateways to know nothing more: all streams
/// are of one version.
fn knows_all(shared: &GatewayShared, service: &ServiceName) -> bool {
    if shared.lock().store_health.is_down() {
        return false;
    }
    let tables = shared.origins.lock();
    let saved = tables.saved.get(service);
    saved.is_some_and(|saved| saved.list.is_single())
}

/// Returns the version of a stream that is known, or that follows from the store if it was read.
fn certain_verdict(
    shared: &GatewayShared,
    service: &ServiceName,
    known: Option<OriginVerdict>,
    key: Option<StreamKey>,
    is_read: bool,
) -> Result<OriginVerdict, UnknownOrigin> {
    match known {
        Some(verdict) => Ok(verdict),
        None if is_read => base_verdict(shared, service, key),
        None => Err(UnknownOrigin::StoreUnread),
    }
}

/// Returns the version of a stream without a record, after list and records were read.
fn base_verdict(
    shared: &GatewayShared,
    service: &ServiceName,
    key: Option<StreamKey>,
) -> Result<OriginVerdict, UnknownOrigin> {
    let tables = shared.origins.lock();
    let list = tables.saved.get(service).map(|saved| &saved.list);
    let Some((list, BaseVersion::Decided(base))) = list.map(|list| (list, &list.base)) else {
        return Err(UnknownOrigin::BaseUndecided);
    };
    if !list.is_single() && key.is_none() {
        return Err(UnknownOrigin::Unnamed);
    }
    if !list.is_single() && !tables.is_complete(Instant::now()) {
        return Err(UnknownOrigin::TableIncomplete);
    }
    Ok(OriginVerdict {
        rule: VersionRule::begun_by(base.as_ref()),
        source: "base",
        age: Duration::ZERO,
    })
}

fn known_origin(origins: &OriginState, key: StreamKey) -> Option<OriginVerdict> {
    let tables = origins.lock();
    let origin = tables.streams.get(Instant::now(), key)?;
    Some(OriginVerdict::from_origin(origin))
}

/// Asks other gateways about a stream until one knows it or all have answered.
async fn ask(shared: &GatewayShared, service: &ServiceName, key: StreamKey) {
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
        if is_last || await_answers(origins, number, key, round_end).await {
            break;
        }
    }
    drop(guard);
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
async fn await_answers(origins: &OriginState, number: u64, key: StreamKey, until: Instant) -> bool {
    loop {
        let answered = origins.answers.notified();
        tokio::pin!(answered);
        answered.as_mut().enable();
        if is_settled(origins, number, key) {
            return true;
        }
        tokio::select! {
            () = answered => {}
            () = sleep_until(until) => return false,
        }
    }
}

/// Returns whether a stream is known or all gateways have answered.
fn is_settled(origins: &OriginState, number: u64, key: StreamKey) -> bool {
    let tables = origins.lock();
    let Some(open) = tables.questions.get(&number) else {
        return true;
    };
    let is_known = tables.streams.get(Instant::now(), key).is_some();
    is_known || open.asked.is_subset(&open.answered)
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

fn log_verdict(context: &RequestContext, verdict: &Result<OriginVerdict, UnknownOrigin>) {
    let cause = verdict.as_ref().err().map(|cause| cause.as_str());
    let verdict = verdict.as_ref().ok();
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
        .input("cause", cause)
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
