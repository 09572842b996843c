//! Regular queries of the engine's state.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::engine_client::EngineInfo;
use crate::state::SideShared;

/// Interval of queries while the engine is in service.
const ENGINE_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Polls the engine's state and updates the scheduler.
///
/// Orders are refused until the first response without a role change in progress, which also gives
/// the highest epoch that the engine has accepted.
pub(crate) async fn watch_engine(shared: Arc<SideShared>) {
    shared.lock().validator.set_busy();
    loop {
        if let Some(info) = shared.engine.fetch_info().await
            && info.away_ms == 0
        {
            shared.apply_engine_info(info);
            shared.lock().validator.finish();
            break;
        }
        sleep(ENGINE_POLL_PERIOD / 5).await;
    }
    shared.update_scheduler();
    loop {
        sleep(ENGINE_POLL_PERIOD).await;
        match shared.engine.fetch_info().await {
            Some(info) => shared.apply_engine_info(info),
            None => shared.lock().engine_up = false,
        }
        shared.update_scheduler();
    }
}

impl SideShared {
    /// Applies the engine's description of itself.
    pub(crate) fn apply_engine_info(&self, info: EngineInfo) {
        let mut state = self.lock();
        state.engine_up = info.away_ms == 0;
        state.profile = info.profile;
        state.validator.raise_epoch(info.highest_epoch);
        let models = info.models.into_iter().collect();
        state
            .scheduler
            .update_engine(info.profile, info.role, models);
    }

    /// Updates whether jobs are accepted, and sends heartbeats at once if that has changed.
    fn update_scheduler(self: &Arc<Self>) {
        let mut state = self.lock();
        let accepted_before = state.scheduler.is_accepting();
        state.update_accepting();
        let accepts_now = state.scheduler.is_accepting();
        self.run_scheduler(&mut state);
        drop(state);
        if accepted_before != accepts_now {
            self.send_heartbeats();
        }
    }
}
