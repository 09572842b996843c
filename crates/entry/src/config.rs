//! Watches the operators' configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use store::StoreKey;
use tokio::time::sleep;
use units::ConfigVersion;

use crate::state::EntryShared;

/// Entries of a data centre that watch the store; the others learn from side processes.
const WATCHER_COUNT: usize = 2;
/// Wait of one watch; also the time after which a watch that hangs in an outage is given up.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date, until aborted.
pub(crate) async fn watch_config(shared: Arc<EntryShared>) {
    let key = StoreKey::config();
    let mut index = 0;
    loop {
        let has_config = shared.lock().latest_config.version() > ConfigVersion(0);
        if has_config && !shared.is_chosen_for("config-watch", WATCHER_COUNT) {
            sleep(DUTY_CHECK_INTERVAL).await;
            continue;
        }
        match shared.store.watch(&key, index, WATCH_TIMEOUT).await {
            Ok(Some(value)) => {
                shared.record_store_result(true);
                index = value.index;
                let book = conf::SystemConfig::from_json(&value.data);
                let version = book.map_or(ConfigVersion(0), |book| book.version);
                shared.apply_config(version, value.data);
            }
            Ok(None) => sleep(WATCH_RETRY_DELAY).await,
            Err(_) => {
                shared.record_store_result(false);
                sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}
