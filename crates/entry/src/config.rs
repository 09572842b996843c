//! Watches the configuration document in the store.

use std::sync::Arc;
use std::time::Duration;

use store::StoreKey;
use tokio::time::sleep;
use units::ConfigVersion;

use crate::state::EntryShared;

/// Number of entries in a data centre that watch the store. The others receive new versions from
/// side processes.
const WATCHER_COUNT: usize = 2;
/// Maximum duration of one watch request, which also limits how long a watch hangs in an outage.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Applies new versions of the configuration, until aborted.
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
