//! Tells entries which requests ran when the engine broke its streams.

use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CrashId,
    JobKey,
    RefusalReason,
    SuspectVerdict, //
};
use tokio::time::Instant;
use units::FingerprintId;
use wire::{
    CrashNotice,
    FrameKind, //
};

use crate::dispatch::remove_job;
use crate::job::SideJob;
use crate::state::{
    SideShared,
    SideState, //
};

/// Streams that break within this time broke in one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

impl SideShared {
    /// Notes that a job's stream broke, before its end is sent.
    pub(crate) fn record_engine_crash(&self, state: &mut SideState, job: &SideJob) {
        let now = Instant::now();
        let is_same_crash = state
            .last_crash
            .is_some_and(|last| now < last + CRASH_WINDOW);
        if !is_same_crash {
            state.crash_count += 1;
            state.last_crash = Some(now);
        }
        let crash = CrashId(self.identity.incarnation.0 ^ state.crash_count.rotate_left(32));
        let fingerprint = job.fingerprint();
        state.suspects.record_crash(now, crash, &[fingerprint]);
        self.metrics.crashes.inc();
        let notice = CrashNotice {
            crash: crash.0,
            fingerprints: vec![fingerprint.0],
            instance: self.identity.instance.to_string(),
        };
        for link in state.links.values() {
            // A link that is gone learns of the crash from other entries.
            let _ = link.sender.send(FrameKind::CrashNotice(notice.clone()));
        }
        let record = DecisionRecord::new(DecisionKind::Suspect, "the engine broke its stream")
            .request(hex::encode(&job.request.request))
            .class(&job.request.class)
            .chosen(job.attempt());
        self.log.write(record);
    }

    /// Refuses what waits and is kept out by now.
    pub(crate) fn refuse_quarantined_jobs(&self, state: &mut SideState) {
        let now = Instant::now();
        let is_quarantined = |job: &SideJob| {
            let verdict = state.suspects.verdict(now, job.fingerprint());
            job.task.is_none() && matches!(verdict, SuspectVerdict::Quarantined(_))
        };
        let jobs = state.jobs.iter().filter(|(_, job)| is_quarantined(job));
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(job) = remove_job(state, key) {
                self.refuse_job(&job, RefusalReason::Quarantined);
            }
        }
    }

    /// Passes on what another process tells of a crash, once.
    pub(crate) fn relay_crash_notice(&self, sender_link_id: u64, notice: CrashNotice) {
        let mut state = self.lock();
        let fingerprints: Vec<FingerprintId> = notice
            .fingerprints
            .iter()
            .map(|fingerprint| FingerprintId(*fingerprint))
            .collect();
        if !state
            .suspects
            .record_crash(Instant::now(), CrashId(notice.crash), &fingerprints)
        {
            return;
        }
        for (link_id, link) in &state.links {
            if *link_id != sender_link_id {
                let _ = link.sender.send(FrameKind::CrashNotice(notice.clone()));
            }
        }
    }
}
