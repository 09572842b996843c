//! Claims of idempotency keys: binds keys to tickets in the store, in batches.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use policy::{
    ClaimRequest,
    ClaimShard,
    ClaimVerdict, //
};
use store::{
    StoreError,
    StoreKey,
    StoredValue,
    SwapRequest, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use crate::state::EntryShared;

/// Time for which claims are collected into one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Maximum number of claims in a batch. Their shards fit into one store transaction.
const MAX_BATCH_CLAIMS: usize = 64;
const QUEUE_CAPACITY: usize = 1_024;
/// Time after which a batch is given up whose write may have taken effect.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(2);
const ERROR_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of a claim.
#[derive(Debug, Clone)]
pub(crate) enum ClaimResult {
    /// The claim was decided by the store.
    Decided(ClaimVerdict),
    /// The claim was not written to the store and binds no key.
    NoEffect,
    /// The write may have taken effect.
    Unknown,
}

/// Sender of claims to the claim writer.
pub(crate) type ClaimSender = mpsc::Sender<PendingClaim>;

/// Queued claim with the receiver of its result.
pub(crate) struct PendingClaim {
    request: ClaimRequest,
    response: oneshot::Sender<ClaimResult>,
}

/// Creates the queue of the claim writer.
pub(crate) fn claim_queue() -> (ClaimSender, mpsc::Receiver<PendingClaim>) {
    mpsc::channel(QUEUE_CAPACITY)
}

impl EntryShared {
    /// Binds a key, or returns the ticket that it is already bound to.
    pub(crate) async fn claim(&self, request: ClaimRequest) -> ClaimResult {
        self.metrics.claims.inc();
        let (response, result) = oneshot::channel();
        if self
            .claim_sender
            .try_send(PendingClaim { request, response })
            .is_err()
        {
            return ClaimResult::NoEffect;
        }
        result.await.unwrap_or(ClaimResult::Unknown)
    }
}

/// Collects queued claims into batches and commits them, until aborted.
pub(crate) async fn write_claims(
    shared: Arc<EntryShared>,
    mut queue: mpsc::Receiver<PendingClaim>,
) {
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        let deadline = Instant::now() + BATCH_WINDOW;
        while batch.len() < MAX_BATCH_CLAIMS {
            match timeout_at(deadline, queue.recv()).await {
                Ok(Some(pending_claim)) => batch.push(pending_claim),
                _ => break,
            }
        }
        let requests: Vec<ClaimRequest> = batch
            .iter()
            .map(|pending_claim| pending_claim.request.clone())
            .collect();
        let results = commit_batch(&shared, &requests).await;
        for (pending_claim, result) in batch.into_iter().zip(results) {
            // The caller may have disconnected.
            let _ = pending_claim.response.send(result);
        }
    }
}

/// Commits a batch and retries after conflicting writes and after errors that leave the outcome of
/// a write unknown.
async fn commit_batch(shared: &EntryShared, requests: &[ClaimRequest]) -> Vec<ClaimResult> {
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    let mut may_have_written = false;
    if shared.is_store_down() {
        return vec![ClaimResult::NoEffect; requests.len()];
    }
    loop {
        match try_commit(shared, requests, &mut may_have_written).await {
            Ok(Some(verdicts)) => {
                shared.record_store_result(true);
                return verdicts.into_iter().map(ClaimResult::Decided).collect();
            }
            Ok(None) => sleep(CONFLICT_RETRY_DELAY).await,
            Err(_) => {
                shared.record_store_result(false);
                if !may_have_written {
                    return vec![ClaimResult::NoEffect; requests.len()];
                }
                if Instant::now() >= deadline {
                    return vec![ClaimResult::Unknown; requests.len()];
                }
                sleep(ERROR_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the shards of a batch in one transaction and writes the changed ones in another.
///
/// Returns `None` if a concurrent write changed one of the shards. Sets `may_have_written` before a
/// write is sent.
async fn try_commit(
    shared: &EntryShared,
    requests: &[ClaimRequest],
    may_have_written: &mut bool,
) -> Result<Option<Vec<ClaimVerdict>>, StoreError> {
    let shards: BTreeSet<u32> = requests.iter().map(|request| request.key.shard()).collect();
    let shards: Vec<u32> = shards.into_iter().collect();
    let keys: Vec<StoreKey> = shards.iter().copied().map(StoreKey::claims).collect();
    let values = shared.store.get_many(&keys).await?;
    let mut verdicts: Vec<Option<ClaimVerdict>> = vec![None; requests.len()];
    let mut swaps = Vec::new();
    for ((shard, key), value) in shards.iter().zip(keys).zip(values) {
        let mut claims = parse_shard(&value)?;
        let request_indexes: Vec<usize> = (0..requests.len())
            .filter(|request_index| requests[*request_index].key.shard() == *shard)
            .collect();
        let shard_requests: Vec<ClaimRequest> = request_indexes
            .iter()
            .map(|request_index| requests[*request_index].clone())
            .collect();
        let unchanged = claims.is_unchanged_by(&shard_requests);
        for (request_index, verdict) in request_indexes
            .into_iter()
            .zip(claims.apply(unix_time_ms(), &shard_requests))
        {
            verdicts[request_index] = Some(verdict);
        }
        if !unchanged {
            let data = serde_json::to_vec(&claims).unwrap_or_default().into();
            let expected_index = value.index;
            swaps.push(SwapRequest {
                key,
                expected_index,
                data,
            });
        }
    }
    if !swaps.is_empty() {
        *may_have_written = true;
        if !shared.store.compare_and_swap_many(&swaps).await? {
            return Ok(None);
        }
    }
    Ok(verdicts.into_iter().collect())
}

fn parse_shard(value: &StoredValue) -> Result<ClaimShard, StoreError> {
    if value.index == 0 {
        return Ok(ClaimShard::default());
    }
    let claims = serde_json::from_slice(&value.data);
    claims.map_err(|error| StoreError::InvalidReply {
        reason: error.to_string(),
    })
}

/// Returns the time since the Unix epoch, in milliseconds.
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
