//! Watches the operators' configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use store::StoreKey;
use tokio::time::sleep;
use units::ConfigVersion;

use crate::state::EntryShared;

/// Entries of a data centre that watch the store; the others learn from side processes.
const WATCHERS: usize = 2;
/// Wait of one watch; also the time after which a watch that hangs in an outage is given up.
const WATCH_TIME: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date, until aborted.
pub(crate) async fn watch_config(shared: Arc<EntryShared>) {
    let key = StoreKey::config();
    let mut index = 0;
    loop {
        let known = shared.lock().latest_config.version() > ConfigVersion(0);
        if known && !shared.has_duty("config-watch", WATCHERS) {
            sleep(IDLE_PAUSE).await;
            continue;
        }
        match shared.store.watch(&key, index, WATCH_TIME).await {
            Ok(Some(value)) => {
                shared.note_store(true);
                index = value.index;
                let book = conf::SystemConfig::from_json(&value.data);
                let version = book.map_or(ConfigVersion(0), |book| book.version);
                shared.take_config(version, value.data);
            }
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(_) => {
                shared.note_store(false);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
