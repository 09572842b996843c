//! Binds callers' keys to tickets in the store, many in one write.

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

/// Time for which wishes are collected into one write.
const COLLECT_TIME: Duration = Duration::from_millis(4);
/// Wishes in one commit; their shards fit into one transaction.
const BATCH_LIMIT: usize = 64;
const QUEUE_DEPTH: usize = 1_024;
/// Time after which a claim without an answer is given up.
const CLAIM_TIME: Duration = Duration::from_secs(4);
const CONFLICT_PAUSE: Duration = Duration::from_millis(2);
const LOST_PAUSE: Duration = Duration::from_millis(50);

/// What is known of a claim.
#[derive(Debug, Clone)]
pub(crate) enum ClaimResult {
    Decided(ClaimVerdict),
    /// The store took no part in it; the key is not bound by it.
    NoEffect,
    /// The write may have taken effect.
    Unknown,
}

/// Queues a wish for the claim writer.
pub(crate) type ClaimSender = mpsc::Sender<ClaimOrder>;

/// A wish with where its result goes.
pub(crate) struct ClaimOrder {
    request: ClaimRequest,
    reply: oneshot::Sender<ClaimResult>,
}

/// Makes the queue of the claim writer.
pub(crate) fn claim_queue() -> (ClaimSender, mpsc::Receiver<ClaimOrder>) {
    mpsc::channel(QUEUE_DEPTH)
}

impl EntryShared {
    /// Binds a key, or learns what it is bound to.
    pub(crate) async fn claim(&self, request: ClaimRequest) -> ClaimResult {
        self.metrics.claims.inc();
        let (reply, answer) = oneshot::channel();
        if self.claims.try_send(ClaimOrder { request, reply }).is_err() {
            return ClaimResult::NoEffect;
        }
        answer.await.unwrap_or(ClaimResult::Unknown)
    }
}

/// Collects wishes and commits those of one moment together, until aborted.
pub(crate) async fn write_claims(shared: Arc<EntryShared>, mut queue: mpsc::Receiver<ClaimOrder>) {
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        let until = Instant::now() + COLLECT_TIME;
        while batch.len() < BATCH_LIMIT {
            match timeout_at(until, queue.recv()).await {
                Ok(Some(order)) => batch.push(order),
                _ => break,
            }
        }
        let requests: Vec<ClaimRequest> = batch.iter().map(|order| order.request.clone()).collect();
        let results = decide(&shared, &requests).await;
        for (order, result) in batch.into_iter().zip(results) {
            // The caller may be gone.
            let _ = order.reply.send(result);
        }
    }
}

/// Commits a batch; tries again while conflicts and lost answers leave it open.
async fn decide(shared: &EntryShared, requests: &[ClaimRequest]) -> Vec<ClaimResult> {
    let until = Instant::now() + CLAIM_TIME;
    let mut wrote = false;
    if shared.is_store_down() {
        return vec![ClaimResult::NoEffect; requests.len()];
    }
    loop {
        match try_commit(shared, requests, &mut wrote).await {
            Ok(Some(verdicts)) => {
                shared.note_store(true);
                return verdicts.into_iter().map(ClaimResult::Decided).collect();
            }
            Ok(None) => sleep(CONFLICT_PAUSE).await,
            Err(_) => {
                shared.note_store(false);
                if !wrote {
                    return vec![ClaimResult::NoEffect; requests.len()];
                }
                if Instant::now() >= until {
                    return vec![ClaimResult::Unknown; requests.len()];
                }
                sleep(LOST_PAUSE).await;
            }
        }
    }
}

/// Reads the shards of a batch in one call and writes those that change in another; nothing when
/// another writer was first. `wrote` turns true once a write may have taken effect.
async fn try_commit(
    shared: &EntryShared,
    requests: &[ClaimRequest],
    wrote: &mut bool,
) -> Result<Option<Vec<ClaimVerdict>>, StoreError> {
    let shards: BTreeSet<u32> = requests.iter().map(|request| request.key.shard()).collect();
    let shards: Vec<u32> = shards.into_iter().collect();
    let keys: Vec<StoreKey> = shards.iter().copied().map(StoreKey::claims).collect();
    let values = shared.store.get_many(&keys).await?;
    let mut verdicts: Vec<Option<ClaimVerdict>> = vec![None; requests.len()];
    let mut swaps = Vec::new();
    for ((shard, key), value) in shards.iter().zip(keys).zip(values) {
        let mut claims = read_shard(&value)?;
        let numbers: Vec<usize> = (0..requests.len())
            .filter(|number| requests[*number].key.shard() == *shard)
            .collect();
        let own: Vec<ClaimRequest> = numbers
            .iter()
            .map(|number| requests[*number].clone())
            .collect();
        let unchanged = claims.is_unchanged_by(&own);
        for (number, verdict) in numbers.into_iter().zip(claims.apply(now_ms(), &own)) {
            verdicts[number] = Some(verdict);
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
        *wrote = true;
        if !shared.store.compare_and_swap_many(&swaps).await? {
            return Ok(None);
        }
    }
    Ok(verdicts.into_iter().collect())
}

fn read_shard(value: &StoredValue) -> Result<ClaimShard, StoreError> {
    if value.index == 0 {
        return Ok(ClaimShard::default());
    }
    let claims = serde_json::from_slice(&value.data);
    claims.map_err(|error| StoreError::InvalidReply {
        reason: error.to_string(),
    })
}

pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
