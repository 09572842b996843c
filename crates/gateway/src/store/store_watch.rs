//! Keeps the configuration, the backend servers and the gateways current by a single watch on the
//! platform's store.

use std::sync::Arc;
use std::time::Duration;

use platform::{
    BACKEND_PREFIX,
    CONFIG_KEY,
    KeyChange,
    KeyRange,
    PlatformError,
    StoreRevision, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::StoreEra;

use crate::servers::backend_entries::{
    apply_backend_change,
    replace_backends, //
};
use crate::shared::GatewayShared;
use crate::store::config_change::{
    ConfigSource,
    apply_config, //
};
use crate::store::membership::{
    GATEWAY_PREFIX,
    apply_member_change,
    replace_members, //
};
use crate::store::store_call::{
    CallPurpose,
    check_era,
    track_store_call, //
};
use crate::store::store_era::next_load;
use crate::suspects::suspect_record::SUSPECT_PREFIX;
use crate::suspects::suspect_store::{
    apply_suspect_change,
    replace_suspects, //
};
use crate::versions::origin_reader::{
    apply_origin_change,
    record_position,
    replace_origins, //
};
use crate::versions::origin_store::{
    STREAM_PREFIX,
    VERSION_PREFIX, //
};

/// Maximum wait of one watch request. A short outage of the store can leave a request hanging for
/// this long, and a change accepted during the outage must be in effect two seconds after the
/// platform considers the instances reachable again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay after a change, so that changes in quick succession are fetched by one watch request.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Revision up to which changes are applied, and the time of the latest load of all keys.
#[derive(Debug, Clone, Copy)]
struct WatchPosition {
    revision: StoreRevision,
    loaded_at: Instant,
}

/// Keeps the gateway's copy of the store's keys current, until aborted.
pub(crate) async fn watch_store(shared: Arc<GatewayShared>) {
    let mut eras = shared.eras.subscribe();
    let mut position = None;
    loop {
        eras.mark_unchanged();
        let known = position.filter(|position| is_current(&shared, position));
        let result = match known {
            None => load_all(&shared).await,
            // A watch of an earlier era may be left without a response.
            Some(known) => tokio::select! {
                result = watch_changes(&shared, known) => result,
                _ = eras.changed() => Err(PlatformError::EraEnded),
            },
        };
        match result {
            Ok(next) => position = Some(next),
            Err(PlatformError::HistoryGone | PlatformError::EraEnded) => position = None,
            // All keys are read in pages.
            Err(PlatformError::TooLarge) if known.is_some() => position = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns whether the watch may continue from a position, and no new load of all keys is due.
fn is_current(shared: &GatewayShared, position: &WatchPosition) -> bool {
    let state = shared.lock();
    let next_load = next_load(&state.store_health, position.loaded_at);
    state.era.is_current(position.revision.era) && next_load.is_none_or(|at| Instant::now() < at)
}

/// Loads all keys and returns the position from which to watch. Its revision is that of the first
/// read, so that the watch returns every change made between the reads.
async fn load_all(shared: &GatewayShared) -> Result<WatchPosition, PlatformError> {
    let loaded_at = Instant::now();
    // Without the suspects, a new gateway would run a request that others refuse; it serves none
    // before it has a configuration.
    let members = load_range(shared, GATEWAY_PREFIX).await?;
    replace_members(shared, &members.items);
    replace_suspects(shared, &members.items);
    replace_origins(shared, &members.items);
    record_position(shared, members.revision);
    let config = load_range(shared, CONFIG_KEY).await?;
    let items = config.items.iter();
    for item in items.filter(|item| item.key == CONFIG_KEY) {
        apply_config(shared, item, config.revision.era, ConfigSource::Store);
    }
    let backends = load_range(shared, BACKEND_PREFIX).await?;
    replace_backends(shared, &backends.items);
    shared.loaded.send_replace(true);
    Ok(WatchPosition {
        revision: members.revision,
        loaded_at,
    })
}

async fn load_range(shared: &GatewayShared, prefix: &str) -> Result<KeyRange, PlatformError> {
    let range = track_store_call(shared, CallPurpose::Load, shared.store.range(prefix)).await?;
    check_era(shared, range.revision)?;
    Ok(range)
}

/// Waits for changes after a position, applies them and returns the position from which to continue.
async fn watch_changes(
    shared: &GatewayShared,
    position: WatchPosition,
) -> Result<WatchPosition, PlatformError> {
    let next_load = next_load(&shared.lock().store_health, position.loaded_at);
    let until_load = next_load.map(|at| at.saturating_duration_since(Instant::now()));
    let wait = until_load.map_or(WATCH_TIMEOUT, |time| time.min(WATCH_TIMEOUT));
    let watch = shared.store.watch("", position.revision, wait);
    let updates = track_store_call(shared, CallPurpose::Watch, watch).await?;
    check_era(shared, updates.revision)?;
    let is_empty = updates.changes.is_empty();
    for change in updates.changes {
        apply_change(shared, change, updates.revision.era);
    }
    record_position(shared, updates.revision);
    if !is_empty {
        sleep(BATCH_DELAY).await;
    }
    Ok(WatchPosition {
        revision: updates.revision.max(position.revision),
        ..position
    })
}

fn apply_change(shared: &GatewayShared, change: KeyChange, era: Option<StoreEra>) {
    let key = change.key();
    if key.starts_with(BACKEND_PREFIX) {
        apply_backend_change(shared, change);
    } else if key.starts_with(SUSPECT_PREFIX) {
        apply_suspect_change(shared, &change);
    } else if key.starts_with(STREAM_PREFIX) || key.starts_with(VERSION_PREFIX) {
        apply_origin_change(shared, &change);
    } else if key.starts_with(GATEWAY_PREFIX) {
        apply_member_change(shared, &change);
    } else if let KeyChange::Written(item) = &change
        && key == CONFIG_KEY
    {
        apply_config(shared, item, era, ConfigSource::Store);
    }
}
