//! Writes evidence on crash suspects to the platform's store, and reads that of the other gateways.
//!
//! No request waits for the store: it refuses or serves by what is known.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyChange,
    KeyPrecondition,
    KeyPut,
    KeyValue,
    PlatformError,
    WriteOutcome, //
};
use policy::member_turn;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};
use units::{
    StoreEra,
    SuspectId, //
};

use crate::clock::ClockReading;
use crate::shared::GatewayShared;
use crate::store::store_call::{
    CallPurpose,
    count_range,
    count_store_call, //
};
use crate::store::unreadable_entries::UnreadableKind;
use crate::store::unreadable_report::report_unreadable;
use crate::suspects::suspect_news::PendingWrite;
use crate::suspects::suspect_record::{
    SUSPECT_PREFIX,
    parse_record,
    parse_suspect_key,
    suspect_key,
    to_record, //
};
use crate::suspects::suspect_sharing::{
    log_merged,
    queue_write, //
};

/// Maximum number of records in one transaction. Each takes a precondition and a write of the 32
/// entries that the store allows.
const MAX_RECORDS: usize = 16;
/// Time between two transactions of one gateway.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between removals of records without effect.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);

/// Writes evidence as it is found and removes records without effect, until aborted.
pub(crate) async fn write_suspects(shared: Arc<GatewayShared>) {
    let mut cleaned_at = Instant::now();
    loop {
        wait_for_write(&shared).await;
        let mut result = write_batch(&shared).await;
        if result.is_ok() && cleaned_at.elapsed() >= CLEANUP_INTERVAL {
            cleaned_at = Instant::now();
            result = remove_expired(&shared).await;
        }
        sleep(if result.is_ok() {
            WRITE_INTERVAL
        } else {
            RETRY_DELAY
        })
        .await;
    }
}

/// Waits until evidence is to be written or records are to be removed.
async fn wait_for_write(shared: &GatewayShared) {
    let cleanup = Instant::now() + CLEANUP_INTERVAL;
    loop {
        let next = shared.lock().suspect_news.next_write();
        let due = next.map_or(cleanup, |next| next.min(cleanup));
        if timeout_at(due, shared.suspect_writes.notified())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Records to be written in one transaction.
struct RecordBatch {
    era: Option<StoreEra>,
    writes: Vec<(SuspectId, PendingWrite)>,
    preconditions: Vec<KeyPrecondition>,
    puts: Vec<KeyPut>,
}

/// Takes the suspects whose records lack evidence, as many as one transaction holds.
fn take_batch(shared: &GatewayShared) -> RecordBatch {
    let clock = ClockReading::take();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let registry = &state.suspects;
    let count = |suspect: SuspectId| registry.crash_count(suspect);
    let writes = state
        .suspect_news
        .take_unwritten(Instant::now(), MAX_RECORDS, count);
    let (mut preconditions, mut puts) = (Vec::new(), Vec::new());
    for (suspect, _) in &writes {
        let Some(evidence) = registry.evidence(*suspect) else {
            continue;
        };
        let key = suspect_key(*suspect);
        let revision = state.suspect_news.revision(*suspect);
        if evidence.crashes.is_empty() && revision == 0 {
            continue;
        }
        preconditions.push(KeyPrecondition {
            key: key.clone(),
            revision,
        });
        puts.push(KeyPut {
            key,
            value: Bytes::from(to_record(clock, &evidence)),
            lease: None,
        });
    }
    RecordBatch {
        era: state.era.era,
        writes,
        preconditions,
        puts,
    }
}

/// Writes the records of some suspects.
async fn write_batch(shared: &GatewayShared) -> Result<(), PlatformError> {
    let batch = take_batch(shared);
    if batch.puts.is_empty() {
        return Ok(());
    }
    let preconditions = batch.preconditions;
    let write = shared
        .store
        .write(batch.era, preconditions.clone(), batch.puts, Vec::new());
    let outcome = count_store_call(shared, CallPurpose::Suspects, write).await;
    if let Ok(WriteOutcome::Committed(revision)) = &outcome {
        let mut state = shared.lock();
        if state.era.is_current(revision.era) {
            for (suspect, _) in batch.writes {
                let number = revision.number;
                state.suspect_news.set_revision(suspect, number);
            }
            return Ok(());
        }
    }
    // The response may also have been lost after the write took effect.
    requeue(shared, &batch.writes);
    log_unwritten(shared, batch.writes.len(), &outcome);
    if let WriteOutcome::Conflict(items) = outcome? {
        merge_conflict(shared, &preconditions, &items);
        return Ok(());
    }
    reload_suspects(shared).await
}

/// Queues suspects again whose records were not written.
fn requeue(shared: &GatewayShared, writes: &[(SuspectId, PendingWrite)]) {
    let mut guard = shared.lock();
    let state = &mut *guard;
    for (suspect, write) in writes {
        if write.awaits_turn {
            queue_write(shared, state, *suspect, Duration::ZERO);
        } else {
            let write = PendingWrite::own(Instant::now());
            state.suspect_news.write(write, *suspect);
        }
    }
}

/// Merges the current records of a transaction that was not committed. Those that are missing were
/// removed.
fn merge_conflict(shared: &GatewayShared, preconditions: &[KeyPrecondition], items: &[KeyValue]) {
    let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let keys = preconditions.iter().map(|precondition| &precondition.key);
    for key in keys.filter(|key| !listed.contains(key.as_str())) {
        if let Some(suspect) = parse_suspect_key(key) {
            shared.lock().suspect_news.clear_revision(suspect);
        }
    }
    items.iter().for_each(|item| merge_record(shared, item));
}

fn log_unwritten(
    shared: &GatewayShared,
    count: usize,
    outcome: &Result<WriteOutcome, PlatformError>,
) {
    let reason = "evidence on crash suspects not written; it is written again";
    let cause = match outcome {
        Ok(WriteOutcome::Committed(_)) => PlatformError::EraEnded.to_string(),
        Ok(_) => "another gateway has written a record".to_owned(),
        Err(error) => error.to_string(),
    };
    let record = DecisionRecord::new(DecisionKind::Suspect, reason);
    let record = record.input("suspects", count).input("cause", cause);
    shared.log.write(record);
}

/// Reads all records again after a conflict.
async fn reload_suspects(shared: &GatewayShared) -> Result<(), PlatformError> {
    let range = count_range(shared, CallPurpose::Suspects, SUSPECT_PREFIX).await?;
    replace_suspects(shared, &range.items);
    Ok(())
}

/// Merges all records in the store. Records that are known and gone have expired.
pub(crate) fn replace_suspects(shared: &GatewayShared, items: &[KeyValue]) {
    let listed = items.iter().filter_map(|item| parse_suspect_key(&item.key));
    let listed: BTreeSet<SuspectId> = listed.collect();
    let recorded = shared.lock().suspect_news.recorded();
    for suspect in recorded.into_iter().filter(|f| !listed.contains(f)) {
        forget_record(shared, suspect);
    }
    items.iter().for_each(|item| merge_record(shared, item));
}

/// Applies a change of a record by any gateway.
pub(crate) fn apply_suspect_change(shared: &GatewayShared, change: &KeyChange) {
    match change {
        KeyChange::Written(item) => merge_record(shared, item),
        KeyChange::Removed(key) => {
            if let Some(suspect) = parse_suspect_key(key) {
                forget_record(shared, suspect);
            }
        }
    }
}

/// Writes a record again that was removed although its evidence still has an effect here.
fn forget_record(shared: &GatewayShared, suspect: SuspectId) {
    let now = Instant::now();
    let mut state = shared.lock();
    state.suspect_news.clear_revision(suspect);
    if state.suspects.is_expired(now, suspect) {
        state.suspects.remove(suspect);
    } else {
        queue_write(shared, &mut state, suspect, Duration::ZERO);
    }
}

fn merge_record(shared: &GatewayShared, item: &KeyValue) {
    let Some(suspect) = parse_suspect_key(&item.key) else {
        return;
    };
    let evidence = match parse_record(ClockReading::take(), suspect, &item.value) {
        Ok(evidence) => evidence,
        Err(error) => {
            let cause = error.to_string();
            return report_unreadable(shared, UnreadableKind::Suspect, item, &cause);
        }
    };
    let now = Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    state.suspect_news.set_revision(suspect, item.revision);
    let is_new = state.suspects.merge(now, &evidence);
    let count = state.suspects.crash_count(suspect);
    if state.suspects.adds_to(&evidence) {
        queue_write(shared, state, suspect, Duration::ZERO);
    } else {
        state.suspect_news.cancel_write(suspect);
    }
    drop(guard);
    if is_new {
        log_merged(shared, &evidence, "store", &item.key, count);
    }
}

/// Removes records without effect. One gateway does so for each record.
async fn remove_expired(shared: &GatewayShared) -> Result<(), PlatformError> {
    let (era, preconditions) = take_expired(shared);
    if preconditions.is_empty() {
        return Ok(());
    }
    let keys = preconditions
        .iter()
        .map(|precondition| precondition.key.clone());
    let keys = keys.collect();
    let removing = preconditions.clone();
    let write = shared.store.write(era, removing, Vec::new(), keys);
    match count_store_call(shared, CallPurpose::Suspects, write).await? {
        WriteOutcome::Committed(_) => Ok(()),
        WriteOutcome::Conflict(items) => {
            merge_conflict(shared, &preconditions, &items);
            Ok(())
        }
        WriteOutcome::LeaseEnded => reload_suspects(shared).await,
    }
}

/// Forgets suspects without a record in the store, and returns the records that this gateway removes.
fn take_expired(shared: &GatewayShared) -> (Option<StoreEra>, Vec<KeyPrecondition>) {
    let own_instance = &shared.settings.instance;
    let mut guard = shared.lock();
    let state = &mut *guard;
    let mut removals = Vec::new();
    for suspect in state.suspects.expired(Instant::now()) {
        let revision = state.suspect_news.revision(suspect);
        if revision == 0 {
            state.suspects.remove(suspect);
            continue;
        }
        let turn = member_turn(&suspect.to_string(), own_instance, state.members.keys());
        if turn == 0 && removals.len() < MAX_RECORDS {
            removals.push(KeyPrecondition {
                key: suspect_key(suspect),
                revision,
            });
        }
    }
    (state.era.era, removals)
}
