//! Role change orders that a fake engine accepted, and a check for conflicts between them.

use tokio::time::Instant;
use units::EpochNumber;

use policy::EngineRole;

/// A role change order that an engine accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AcceptedOrder {
    /// Time when the order arrived.
    pub received_at: Instant,
    /// Fencing number of the order.
    pub epoch: EpochNumber,
    /// Role that the order asks for.
    pub role: EngineRole,
    /// Time when the role change completes.
    pub completed_at: Instant,
}

/// Checks that epochs never decrease and that no order arrives during an earlier role change.
///
/// # Errors
///
/// Returns a description of the first pair of conflicting orders.
pub fn check_order_history(orders: &[AcceptedOrder]) -> Result<(), String> {
    for pair in orders.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        if second.epoch < first.epoch {
            return Err(format!(
                "epoch decreased from {} to {}",
                first.epoch, second.epoch
            ));
        }
        if second.received_at < first.completed_at {
            return Err(format!(
                "order for role {} arrived during the change to role {}",
                second.role, first.role
            ));
        }
    }
    Ok(())
}
