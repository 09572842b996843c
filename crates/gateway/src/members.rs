//! Membership of the gateways, by leased keys in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyPut,
    LeaseId,
    PlatformError,
    WriteReply, //
};
use tokio::time::sleep;

use crate::follow::counted;
use crate::shared::GatewayShared;

/// Start of the keys of gateways; the instance follows.
const MEMBER_PREFIX: &str = "galenarail/members/";
/// Time for which a gateway counts as a member without renewing its lease.
const MEMBER_LIFETIME: Duration = Duration::from_secs(20);
/// Pause between renewals and looks at the other members.
const MEMBER_PAUSE: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the gateway's own key and the count of all, until aborted.
pub(crate) async fn follow_members(shared: Arc<GatewayShared>) {
    let mut lease = None;
    loop {
        let pause = match keep_member(&shared, &mut lease).await {
            Ok(()) => MEMBER_PAUSE,
            Err(_) => RETRY_PAUSE,
        };
        sleep(pause).await;
    }
}

async fn keep_member(
    shared: &GatewayShared,
    lease: &mut Option<LeaseId>,
) -> Result<(), PlatformError> {
    match *lease {
        Some(held) if counted(shared, shared.store.renew_lease(held)).await? => {}
        _ => *lease = Some(join(shared).await?),
    }
    let page = counted(shared, shared.store.range(MEMBER_PREFIX)).await?;
    let count = page.items.len();
    let before = std::mem::replace(&mut shared.lock().entries, count);
    if before != count {
        let record = DecisionRecord::new(DecisionKind::Member, "count of gateways changed");
        let record = record.input("before", before).input("now", count);
        shared.log.decide(record.input("revision", page.revision));
    }
    Ok(())
}

async fn join(shared: &GatewayShared) -> Result<LeaseId, PlatformError> {
    let lease = counted(shared, shared.store.open_lease(MEMBER_LIFETIME)).await?;
    let put = KeyPut {
        key: format!("{MEMBER_PREFIX}{}", shared.settings.instance),
        value: Bytes::from(shared.settings.exchange.to_string()),
        lease: Some(lease),
    };
    let write = shared.store.write(Vec::new(), vec![put], Vec::new());
    match counted(shared, write).await? {
        WriteReply::Done(_) => Ok(lease),
        WriteReply::Conflict | WriteReply::LeaseEnded => Err(PlatformError::HistoryGone),
    }
}
