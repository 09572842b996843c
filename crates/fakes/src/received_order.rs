//! What an engine stand-in was ordered, and the check that no two orders conflict.

use tokio::time::Instant;
use units::EpochNumber;

use policy::EngineRole;

/// One order that reached an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReceivedOrder {
    /// When it came.
    pub received_at: Instant,
    /// Fencing number that came with it.
    pub epoch: EpochNumber,
    /// Role ordered.
    pub role: EngineRole,
    /// When the change was over.
    pub completed_at: Instant,
}

/// Checks a history of orders: epochs never fall, and no order comes during another's change.
pub fn check_order_history(orders: &[ReceivedOrder]) -> Result<(), String> {
    for pair in orders.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        if second.epoch < first.epoch {
            return Err(format!(
                "epoch fell from {} to {}",
                first.epoch, second.epoch
            ));
        }
        if second.received_at < first.completed_at {
            return Err(format!(
                "{} came during the change to {}",
                second.role, first.role
            ));
        }
    }
    Ok(())
}
