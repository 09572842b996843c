//! The load that heartbeats carry.

use conf::BackendKind;
use policy::CostModel;
use units::TokenCount;
use wire::{
    FrameKind,
    Heartbeat,
    LoadStatus, //
};

use crate::state::SideShared;

impl SideShared {
    /// The heartbeat to send now.
    pub(crate) fn heartbeat(&self) -> FrameKind {
        let state = self.lock();
        let report = state.scheduler.report();
        let cost = CostModel::from_profile(&state.profile);
        let service = match &self.settings.kind {
            BackendKind::Service { name } => name.to_string(),
            BackendKind::Engine { .. } => String::new(),
        };
        let accepting = if self.is_engine() {
            report.accepting
        } else {
            !state.is_leaving()
        };
        let load = LoadStatus {
            role: report.role.to_string(),
            models: report.models.iter().map(ToString::to_string).collect(),
            wait: report.wait.iter().map(|(_, wait)| wait.0).collect(),
            running: report.running.0,
            streams: report.streams,
            used: report.used.0,
            pieces: report.pieces.0,
            accepting,
            stamp_ms: self.clock.stamp().0.as_millis() as u64,
            service,
            prefill_seconds: cost.prefill_work(TokenCount(1)).0,
            decode_seconds: cost.decode_work(TokenCount(1)).0,
            piece_tokens: state.profile.piece_tokens,
            prefill_total: report.prefill_total.0,
            decode_total: report.decode_total.0,
            changing: state.guard.is_busy(),
            role_change_seconds: state.profile.role_change_seconds,
        };
        FrameKind::Heartbeat(Heartbeat {
            config_version: state.keeper.version().0,
            load: Some(load),
        })
    }
}
