//! Verdicts on suspects.

use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    FingerprintId,
    SegmentId,
    SuspectId, //
};

use super::EVIDENCE_RETENTION;
use super::SuspectRegistry;
use super::crash::{
    CONFIRMATION_TIME,
    CrashState,
    ServerCrash, //
};
use super::ends::{
    count_shared,
    distinct_ends,
    is_near, //
};
use super::record::SuspectRecord;
use super::verdict::SuspectVerdict;

/// Quarantine before each trial run of a suspect.
const QUARANTINES: [Duration; 3] = [
    Duration::from_secs(600),
    Duration::from_secs(3_600),
    Duration::from_secs(4 * 3_600),
];
/// Quarantine before each trial run of a suspect whose crashes have another likely cause.
const CONTESTED_QUARANTINES: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Number of crashes from which those count too whose process has answered, though too early to show
/// that it lives on.
const ANSWERED_CRASH_LIMIT: usize = 6;
/// Time between the turns of processes that may start the same trial, so that each learns of the
/// trials of those before it.
const TRIAL_TURN: Duration = Duration::from_secs(1);

impl SuspectRegistry {
    /// Returns the number of crashes that count against a suspect.
    pub fn crash_count(&self, suspect: impl Into<SuspectId>) -> usize {
        let record = self.records.get(&suspect.into());
        record.map_or(0, |record| self.ends_of(record).len())
    }

    /// Returns the presumed crashes of a suspect whose state a probe should find out. Once the suspect
    /// reaches the crash limit, these include the crashes of others in the same time, which may point
    /// to another cause.
    pub fn unconfirmed_crashes(&self, suspect: impl Into<SuspectId>) -> Vec<ServerCrash> {
        let Some(record) = self.records.get(&suspect.into()) else {
            return Vec::new();
        };
        let ends = self.ends_of(record);
        if ends.len() < 2 {
            return Vec::new();
        }
        let at_limit = ends.len() >= self.limits.crash_limit;
        let is_relevant = |crash: &&ServerCrash| {
            let is_own = record.crashes.contains(&crash.id);
            crash.state == CrashState::Presumed && (is_own || at_limit && is_near(crash, &ends))
        };
        self.crashes.values().filter(is_relevant).cloned().collect()
    }

    /// Returns the restrictions under which a suspect may run at `now`.
    ///
    /// `turn` is the number of processes that may start a trial of the suspect before this one.
    pub fn verdict(
        &self,
        now: Instant,
        suspect: impl Into<SuspectId>,
        turn: u32,
    ) -> SuspectVerdict {
        let suspect = suspect.into();
        let Some(record) = self.records.get(&suspect) else {
            return SuspectVerdict::Unrestricted;
        };
        let ends = self.ends_of(record);
        let mut counted = self.counted_crashes(record);
        let Some(last_end) = counted.clone().map(|crash| crash.at).max() else {
            return SuspectVerdict::Unrestricted;
        };
        if !self.is_current(record, now) {
            return SuspectVerdict::Unrestricted;
        }
        let firm = counted.clone();
        let firm = distinct_ends(firm.filter(|crash| !self.answered.contains(&crash.id)));
        if firm.len() < self.limits.crash_limit && ends.len() < ANSWERED_CRASH_LIMIT {
            return if self.limits.isolates {
                SuspectVerdict::Isolated
            } else {
                SuspectVerdict::Unrestricted
            };
        }
        if suspect.is_shared_segment() && self.is_explained(suspect, &ends) {
            return SuspectVerdict::Unrestricted;
        }
        if counted.any(|crash| crash.is_pending(now)) {
            return SuspectVerdict::Quarantined(CONFIRMATION_TIME);
        }
        let last = record.trial_at.map_or(last_end, |at| at.max(last_end));
        let due = last + self.quarantine(suspect, record, &ends) + TRIAL_TURN * turn;
        if now < due {
            SuspectVerdict::Quarantined(due - now)
        } else {
            SuspectVerdict::Trial
        }
    }

    /// Returns whether it may still turn out that a process has outlived a crash of a suspect.
    pub fn awaits_outcome(&self, now: Instant, suspect: impl Into<SuspectId>) -> bool {
        let record = self.records.get(&suspect.into());
        record.is_some_and(|record| {
            let mut counted = self.counted_crashes(record);
            counted.any(|crash| crash.is_pending(now))
        })
    }

    /// Returns the strictest verdict on what a request holds, with the suspect that it is about.
    ///
    /// `held` are the request and its segments; those for which `is_exempt` holds are left out.
    pub fn strictest_verdict(
        &self,
        now: Instant,
        held: &[SuspectId],
        is_exempt: impl Fn(SuspectId) -> bool,
        turn: impl Fn(SuspectId) -> u32,
    ) -> Option<(SuspectId, SuspectVerdict)> {
        let mut strictest: Option<(SuspectId, SuspectVerdict)> = None;
        for suspect in held.iter().copied() {
            if !self.records.contains_key(&suspect) || is_exempt(suspect) {
                continue;
            }
            let verdict = self.verdict(now, suspect, turn(suspect));
            let is_restricted = verdict > SuspectVerdict::Isolated;
            if is_restricted && self.met_foreign_segment(suspect, held) {
                continue;
            }
            if strictest.is_none_or(|(_, known)| verdict > known) {
                strictest = Some((suspect, verdict));
            }
        }
        strictest
    }

    /// Returns whether a segment that the request does not hold was there in all crashes of a suspect,
    /// and in enough to be refused itself.
    fn met_foreign_segment(&self, suspect: SuspectId, held: &[SuspectId]) -> bool {
        let Some(record) = self.records.get(&suspect) else {
            return false;
        };
        if self.limits.isolates {
            return false;
        }
        let ends = self.ends_of(record);
        let segments = self
            .records
            .iter()
            .take_while(|(id, _)| id.is_shared_segment());
        let mut foreign = segments.filter(|(id, _)| !held.contains(id));
        foreign.any(|(_, segment)| {
            let may_cover = segment.crashes.len() >= ends.len();
            let segment_ends = may_cover.then(|| self.ends_of(segment));
            segment_ends.is_some_and(|segment_ends| {
                segment_ends.len() >= self.limits.crash_limit
                    && count_shared(&ends, &segment_ends) == ends.len()
            })
        })
    }

    /// Records a trial of those suspects in a request that are at the crash limit, and returns them.
    pub fn record_trials(&mut self, now: Instant, suspects: &[SuspectId]) -> Vec<SuspectId> {
        let at_limit = |suspect: &&SuspectId| {
            let count = self.crash_count(**suspect);
            count >= self.limits.crash_limit
        };
        let tried: Vec<SuspectId> = suspects.iter().filter(at_limit).copied().collect();
        for suspect in &tried {
            self.record_trial(now, *suspect);
        }
        tried
    }

    /// Returns the quarantine after the latest crash or trial of a suspect at the crash limit.
    fn quarantine(
        &self,
        suspect: SuspectId,
        record: &SuspectRecord,
        ends: &[&ServerCrash],
    ) -> Duration {
        let extra_crashes = ends.len() - self.limits.crash_limit;
        let trials = record.trials as usize;
        let is_contested = self.has_other_cause(suspect, ends);
        // A segment in most prompts is in more ends than those that it may have caused.
        let position = if is_contested && suspect.is_shared_segment() {
            trials
        } else {
            extra_crashes.max(trials)
        };
        let quarantines = if is_contested {
            CONTESTED_QUARANTINES
        } else {
            QUARANTINES
        };
        let quarantine = quarantines.get(position).copied();
        quarantine.unwrap_or(EVIDENCE_RETENTION)
    }

    /// Returns whether the crashes of a suspect have another likely cause: as many servers crashed
    /// without it in the same time, or another suspect of the same kind was there in all of its
    /// crashes, or, for a segment, in as many as make one suspect. A request and its own segments would
    /// excuse each other. A request that ran in isolation has no other cause.
    fn has_other_cause(&self, suspect: SuspectId, ends: &[&ServerCrash]) -> bool {
        if self.limits.isolates {
            return false;
        }
        let others = self.crashes.values().filter(|crash| {
            crash.state == CrashState::Confirmed
                && is_near(crash, ends)
                && !ends.iter().any(|end| end.is_same_end(crash))
        });
        let needed = if suspect.is_shared_segment() {
            self.limits.crash_limit
        } else {
            ends.len()
        };
        distinct_ends(others).len() >= ends.len()
            || self
                .others_of_kind(suspect)
                .any(|other| count_shared(ends, &self.ends_of(other)) >= needed)
    }

    /// Returns whether another segment was there in all crashes of a segment and in more: one that
    /// crashes servers is in each of its crashes.
    fn is_explained(&self, segment: SuspectId, ends: &[&ServerCrash]) -> bool {
        self.others_of_kind(segment).any(|other| {
            let may_cover = other.crashes.len() > ends.len();
            let other_ends = may_cover.then(|| self.ends_of(other));
            other_ends.is_some_and(|other| {
                other.len() > ends.len() && count_shared(ends, &other) == ends.len()
            })
        })
    }

    /// Returns the records of the other requests, sessions or shared segments.
    fn others_of_kind(&self, suspect: SuspectId) -> impl Iterator<Item = &SuspectRecord> {
        let first_session = SuspectId::Session(SegmentId(0));
        let first_request = SuspectId::Request(FingerprintId(0));
        let bounds = match suspect {
            SuspectId::Segment(_) => (Bound::Unbounded, Bound::Excluded(first_session)),
            SuspectId::Session(_) => (
                Bound::Included(first_session),
                Bound::Excluded(first_request),
            ),
            SuspectId::Request(_) => (Bound::Included(first_request), Bound::Unbounded),
        };
        let records = self.records.range(bounds);
        let others = records.filter(move |(other, _)| **other != suspect);
        others.map(|(_, record)| record)
    }

    /// Returns the distinct ends of servers that count against a suspect.
    fn ends_of<'a>(&'a self, record: &'a SuspectRecord) -> Vec<&'a ServerCrash> {
        distinct_ends(self.counted_crashes(record))
    }

    /// Returns the observations behind these ends.
    fn counted_crashes<'a>(
        &'a self,
        record: &'a SuspectRecord,
    ) -> impl Iterator<Item = &'a ServerCrash> + Clone {
        let crashes = record.crashes.iter().filter_map(|id| self.crashes.get(id));
        crashes.filter(|crash| crash.counts())
    }
}
