//! Heartbeats to entries, with the load report and the description of the backend server.

use std::time::Duration;

use conf::BackendKind;
use policy::{
    CostModel,
    LoadReport, //
};
use units::TokenCount;
use wire::{
    BackendDescription,
    FrameKind,
    Heartbeat,
    LinkSender,
    LoadStatus, //
};

use crate::state::{
    EntryLink,
    SideShared,
    SideState, //
};

/// Shortest period, which applies while few entries are connected.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Longest period, short enough that entries do not consider the process unresponsive.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_millis(900);
/// Increase of the period per connected entry, so that the bytes sent grow more slowly than the
/// number of entries.
const HEARTBEAT_PERIOD_PER_ENTRY: Duration = Duration::from_millis(60);

impl SideShared {
    /// Returns the time until the next heartbeats.
    pub(crate) fn heartbeat_period(&self) -> Duration {
        let entry_count = self.lock().links.len() as u32;
        (HEARTBEAT_PERIOD_PER_ENTRY * entry_count).clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD)
    }

    /// Sends a heartbeat to every entry, with the backend description if it has changed since the
    /// last one to that entry.
    pub(crate) fn send_heartbeats(&self) {
        let mut state = self.lock();
        let report = state.scheduler.report();
        let heartbeat = self.build_heartbeat(&state, &report);
        let backend = self.describe_backend(&state, &report);
        for link in state.links.values_mut() {
            send_heartbeat(link, heartbeat.clone(), &backend);
        }
    }

    /// Sends the first heartbeat on a link.
    pub(crate) fn send_first_heartbeat(&self, link_id: u64) {
        let mut state = self.lock();
        let report = state.scheduler.report();
        let heartbeat = self.build_heartbeat(&state, &report);
        let backend = self.describe_backend(&state, &report);
        if let Some(link) = state.links.get_mut(&link_id) {
            send_heartbeat(link, heartbeat, &backend);
        }
    }

    fn build_heartbeat(&self, state: &SideState, report: &LoadReport) -> Heartbeat {
        let accepting = if self.is_engine() {
            report.accepting
        } else {
            !state.is_draining()
        };
        let load = LoadStatus {
            wait_seconds: report
                .expected_wait
                .iter()
                .map(|(_, wait)| wait.0 as f32)
                .collect(),
            running_seconds: report.remaining_decode.0 as f32,
            running_streams: report.running_streams,
            used_pieces: report.used_pieces.0,
            accepting,
            clock_ms: self.clock.timestamp().0.as_millis() as u64,
            prefill_total_seconds: report.requested_prefill.0,
            decode_total_seconds: report.requested_decode.0,
            changing_role: state.validator.is_busy(),
        };
        Heartbeat {
            config_version: state.latest_config.version().0,
            load: Some(load),
            backend: None,
        }
    }

    fn describe_backend(&self, state: &SideState, report: &LoadReport) -> BackendDescription {
        let cost = CostModel::from_profile(&state.profile);
        let service = match &self.settings.kind {
            BackendKind::Service { name } => name.to_string(),
            BackendKind::Engine { .. } => String::new(),
        };
        BackendDescription {
            role: report.role.to_string(),
            models: report.models.iter().map(ToString::to_string).collect(),
            service,
            pieces: report.total_pieces.0,
            piece_tokens: state.profile.piece_tokens,
            prefill_seconds: cost.prefill_work(TokenCount(1)).0,
            decode_seconds: cost.decode_work(TokenCount(1)).0,
            role_change_seconds: state.profile.role_change_seconds,
        }
    }
}

/// Sends a heartbeat, with the backend description if it has changed on this link.
fn send_heartbeat(link: &mut EntryLink, mut heartbeat: Heartbeat, backend: &BackendDescription) {
    if link.sent_description.as_ref() != Some(backend) {
        heartbeat.backend = Some(backend.clone());
    }
    let sender: &LinkSender = &link.sender;
    if sender.send(FrameKind::Heartbeat(heartbeat)) {
        link.sent_description = Some(backend.clone());
    }
}
