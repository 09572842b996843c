//! Limit on the bytes of all bodies that a process holds.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::WebError;

/// Size up to which a body may use the whole budget. Larger ones leave a part of it to those.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Bytes that all bodies in memory may have together. Clones share the budget.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    limit_bytes: usize,
    held: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Creates a budget.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held: Arc::default(),
        }
    }

    /// Returns the number of bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Reads a complete body, up to a maximum size and within a timeout. A body that does not fit into the
    /// budget is given up at once, before it is read if its length is known. The bytes count as held until
    /// the last clone of the result is dropped.
    pub async fn read_body<B>(
        &self,
        body: B,
        limit_bytes: usize,
        time_limit: Duration,
    ) -> Result<Bytes, WebError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let reading = self.read_without_timeout(body, limit_bytes);
        let read = timeout(time_limit, reading).await;
        read.unwrap_or(Err(WebError::Timeout))
    }

    async fn read_without_timeout<B>(&self, body: B, limit_bytes: usize) -> Result<Bytes, WebError>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let mut hold = BudgetHold {
            budget: self.clone(),
            bytes: 0,
        };
        let expected = body.size_hint().exact().unwrap_or_default();
        let expected = usize::try_from(expected).unwrap_or(usize::MAX);
        // A length beyond the limit may be that of a body without end.
        if expected <= limit_bytes {
            hold.grow(expected)?;
        }
        let mut data = BytesMut::with_capacity(hold.bytes);
        tokio::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|source| WebError::Exchange { source })?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            let size = data.len() + part.len();
            if size > limit_bytes {
                return Err(WebError::TooLarge { limit_bytes });
            }
            hold.grow(size)?;
            data.extend_from_slice(&part);
        }
        Ok(Bytes::from_owner(HeldBody { data, _hold: hold }))
    }
}

/// Share of one body in the budget, returned when dropped.
#[derive(Debug)]
struct BudgetHold {
    budget: BodyBudget,
    bytes: usize,
}

impl BudgetHold {
    /// Raises the share to a number of bytes if the budget has room.
    fn grow(&mut self, bytes: usize) -> Result<(), WebError> {
        let Some(more) = bytes.checked_sub(self.bytes) else {
            return Ok(());
        };
        let limit = self.budget.limit_bytes;
        let limit = if bytes > SMALL_BODY_BYTES {
            limit / 4 * 3
        } else {
            limit
        };
        let add = |held: usize| held.checked_add(more).filter(|sum| *sum <= limit);
        let held = &self.budget.held;
        let grown = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        grown.map_err(|_| WebError::MemoryFull)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Data of a body with its share in the budget.
struct HeldBody {
    data: BytesMut,
    _hold: BudgetHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
