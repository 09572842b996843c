//! Binds callers' keys to tickets in the store, many in one write.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use policy::{
    ClaimShard,
    ClaimVerdict,
    ClaimWish, //
};
use store::{
    StoreError,
    StoreKey, //
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
const BATCH_LIMIT: usize = 256;
const QUEUE_DEPTH: usize = 1_024;
/// Time after which a claim without an answer is given up.
const CLAIM_TIME: Duration = Duration::from_secs(4);
const CONFLICT_PAUSE: Duration = Duration::from_millis(2);

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
    wish: ClaimWish,
    reply: oneshot::Sender<ClaimResult>,
}

/// Makes the queue of the claim writer.
pub(crate) fn claim_queue() -> (ClaimSender, mpsc::Receiver<ClaimOrder>) {
    mpsc::channel(QUEUE_DEPTH)
}

impl EntryShared {
    /// Binds a key, or learns what it is bound to.
    pub(crate) async fn claim(&self, wish: ClaimWish) -> ClaimResult {
        self.metrics.claims.inc();
        let (reply, answer) = oneshot::channel();
        if self.claims.try_send(ClaimOrder { wish, reply }).is_err() {
            return ClaimResult::NoEffect;
        }
        answer.await.unwrap_or(ClaimResult::Unknown)
    }
}

/// Collects wishes by shard and writes each shard's together, until aborted.
pub(crate) async fn write_claims(shared: Arc<EntryShared>, mut queue: mpsc::Receiver<ClaimOrder>) {
    let mut writers: BTreeMap<u32, mpsc::Sender<ClaimOrder>> = BTreeMap::new();
    while let Some(order) = queue.recv().await {
        let shard = order.wish.key.shard();
        let writer = writers.entry(shard).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_DEPTH);
            tokio::spawn(write_shard(shared.clone(), shard, receiver));
            sender
        });
        // A full queue drops the order, whose claim then counts as unknown.
        let _ = writer.try_send(order);
    }
}

async fn write_shard(shared: Arc<EntryShared>, shard: u32, mut queue: mpsc::Receiver<ClaimOrder>) {
    let mut writer = ShardWriter {
        shared,
        key: StoreKey::claims(shard),
        known: None,
    };
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        let until = Instant::now() + COLLECT_TIME;
        while batch.len() < BATCH_LIMIT {
            match timeout_at(until, queue.recv()).await {
                Ok(Some(order)) => batch.push(order),
                _ => break,
            }
        }
        writer.commit(batch).await;
    }
}

struct ShardWriter {
    shared: Arc<EntryShared>,
    key: StoreKey,
    /// The shard as it was last read or written, with its index.
    known: Option<(u64, ClaimShard)>,
}

impl ShardWriter {
    async fn commit(&mut self, batch: Vec<ClaimOrder>) {
        let wishes: Vec<ClaimWish> = batch.iter().map(|order| order.wish.clone()).collect();
        let results = self.decide(&wishes).await;
        for (order, result) in batch.into_iter().zip(results) {
            // The caller may be gone.
            let _ = order.reply.send(result);
        }
    }

    async fn decide(&mut self, wishes: &[ClaimWish]) -> Vec<ClaimResult> {
        let until = Instant::now() + CLAIM_TIME;
        let mut wrote = false;
        loop {
            match self.try_commit(wishes, &mut wrote).await {
                Ok(Some(verdicts)) => {
                    return verdicts.into_iter().map(ClaimResult::Decided).collect();
                }
                Ok(None) => sleep(CONFLICT_PAUSE).await,
                Err(error) => {
                    self.known = None;
                    self.shared.metrics.store_errors.inc();
                    wrote |= !error.had_no_effect();
                    if Instant::now() >= until || !wrote {
                        let result = if wrote {
                            ClaimResult::Unknown
                        } else {
                            ClaimResult::NoEffect
                        };
                        return vec![result; wishes.len()];
                    }
                    sleep(CONFLICT_PAUSE * 25).await;
                }
            }
        }
    }

    /// One read where needed and one write; nothing when another writer was first.
    async fn try_commit(
        &mut self,
        wishes: &[ClaimWish],
        wrote: &mut bool,
    ) -> Result<Option<Vec<ClaimVerdict>>, StoreError> {
        let (index, mut claims) = match self.known.take() {
            Some(known) => known,
            None => self.read(*wrote).await?,
        };
        let settled = claims.is_settled(wishes);
        let verdicts = claims.apply(now_ms(), wishes);
        if settled {
            self.known = Some((index, claims));
            return Ok(Some(verdicts));
        }
        let data = serde_json::to_vec(&claims).unwrap_or_default();
        let store = &self.shared.store;
        *wrote = true;
        if !store
            .compare_and_swap(&self.key, index, data.into())
            .await?
        {
            return Ok(None);
        }
        // The index after the write is not told; the next commit reads it.
        Ok(Some(verdicts))
    }

    async fn read(&self, wrote: bool) -> Result<(u64, ClaimShard), StoreError> {
        let read = self.shared.store.get(&self.key).await;
        let value = match read {
            Ok(value) => value,
            // A read has no effect; only an earlier write leaves the outcome open.
            Err(error) if wrote => return Err(error),
            Err(error) => {
                return Err(StoreError::Unsent {
                    reason: error.to_string(),
                });
            }
        };
        let Some(value) = value else {
            return Ok((0, ClaimShard::default()));
        };
        let claims = serde_json::from_slice(&value.data);
        let claims = claims.map_err(|e| StoreError::Shape {
            reason: e.to_string(),
        })?;
        Ok((value.index, claims))
    }
}

pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
