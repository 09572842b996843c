//! Reports of the requests whose streams broke in an engine crash.

use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CrashId,
    JobKey,
    RefusalReason,
    ServerCrash,
    SuspectVerdict, //
};
use tokio::time::Instant;
use units::{
    FingerprintId,
    InstanceId, //
};
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

/// Time after the first broken stream of a crash within which further ones count as the same crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

impl SideShared {
    /// Records that the engine crashed during a job, and notifies the entries.
    ///
    /// Must precede the end frame of the job, so that an entry has the notice before it retries.
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
        let server = self.identity.instance.clone();
        let server_crash = ServerCrash::confirmed(crash, server, now);
        state
            .suspects
            .record_crash(now, server_crash, &[fingerprint]);
        self.metrics.crashes.inc();
        let notice = CrashNotice {
            crash: crash.0,
            fingerprints: vec![fingerprint.0],
            instance: self.identity.instance.to_string(),
        };
        for link in state.links.values() {
            // Other entries and side processes relay the notice to an entry whose link is closed.
            let _ = link.sender.send(FrameKind::CrashNotice(notice.clone()));
        }
        let record = DecisionRecord::new(
            DecisionKind::Suspect,
            "stream from the engine broke; counted as an engine crash",
        )
        .request(hex::encode(&job.request.request))
        .class(&job.request.class)
        .chosen(job.attempt());
        self.log.write(record);
    }

    /// Refuses the waiting jobs whose fingerprints have been quarantined since they were queued.
    pub(crate) fn refuse_quarantined_jobs(&self, state: &mut SideState) {
        let now = Instant::now();
        let is_quarantined = |job: &SideJob| {
            let verdict = state.suspects.verdict(now, job.fingerprint(), 0);
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

    /// Records a crash notice from an entry, and forwards the notice to the other entries the first
    /// time it arrives.
    pub(crate) fn relay_crash_notice(&self, sender_link_id: u64, notice: CrashNotice) {
        let Ok(server) = notice.instance.parse::<InstanceId>() else {
            return;
        };
        let now = Instant::now();
        let crash = ServerCrash::confirmed(CrashId(notice.crash), server, now);
        let mut state = self.lock();
        let fingerprints: Vec<FingerprintId> = notice
            .fingerprints
            .iter()
            .map(|fingerprint| FingerprintId(*fingerprint))
            .collect();
        if !state.suspects.record_crash(now, crash, &fingerprints) {
            return;
        }
        for (link_id, link) in &state.links {
            if *link_id != sender_link_id {
                let _ = link.sender.send(FrameKind::CrashNotice(notice.clone()));
            }
        }
    }
}
