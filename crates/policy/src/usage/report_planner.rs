//! Decides what the holder of the planner lease does next about the reports of usage.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::{
    EpochNumber,
    InstanceId,
    StoreEra,
    UsageWindow, //
};

use crate::{
    AccountUsage,
    FixedReports,
    TrueTime,
    UsageCollector, //
};

/// Time after the end of a window in which the last requests that began in it become known.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Part of the time that a report has, after which it no longer waits for gateways that are silent.
const WAITING_SHARE: f64 = 0.4;
/// Delay before a report that was not confirmed is sent again, or a key read again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of reports that are fixed and not confirmed.
const MAX_UNCONFIRMED: usize = 4;
/// Time by which the clocks of gateways may disagree on when the store came back.
const RESTORE_MARGIN: Duration = Duration::from_secs(1);

/// What the platform asks of reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportRules {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub late: Duration,
    /// Least time between two calls.
    pub call_interval: Duration,
}

/// What the planner goes by.
#[derive(Debug, Clone, Copy)]
pub struct ReportView<'a> {
    /// Time by the runtime's clock.
    pub at: Instant,
    /// True time.
    pub now: TrueTime,
    /// Epoch of the planner lease, if this gateway may act under it now.
    pub epoch: Option<EpochNumber>,
    /// Era of the store, as far as known.
    pub era: Option<StoreEra>,
    /// When this gateway learned of the era.
    pub era_since: TrueTime,
    /// What all gateways have counted.
    pub collector: &'a UsageCollector,
    /// Gateways that are registered.
    pub members: &'a BTreeSet<InstanceId>,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportStep {
    /// Nothing for now.
    Wait,
    /// Reads the store's key.
    Load,
    /// Writes the store's key, if it still has this revision. 0 stands for a key that does not exist.
    Fix {
        /// Revision.
        revision: u64,
        /// Window whose counts are new.
        window: UsageWindow,
        /// What to write.
        reports: FixedReports,
    },
    /// Reports a window.
    Send {
        /// Window.
        window: UsageWindow,
        /// Its counts.
        usage: AccountUsage,
        /// Epoch under which it may be sent.
        epoch: EpochNumber,
    },
}

#[derive(Debug, Clone)]
struct KnownReports {
    revision: u64,
    fixed: FixedReports,
}

/// State of the reports under one epoch of the planner lease.
#[derive(Debug, Clone)]
pub struct ReportPlanner {
    rules: ReportRules,
    term: Option<(EpochNumber, Option<StoreEra>)>,
    known: Option<KnownReports>,
    confirmed: BTreeSet<UsageWindow>,
    next_sends: BTreeMap<UsageWindow, Instant>,
    /// When the key may be read or written again after a failure.
    next_access: Option<Instant>,
    next_call: Option<Instant>,
    /// Windows that ended without a report since the last call of [`Self::take_skipped`].
    skipped: Vec<(UsageWindow, &'static str)>,
    /// Latest window that is fixed or was skipped.
    passed: Option<UsageWindow>,
}

impl ReportPlanner {
    /// Creates a planner of a gateway that does not hold the lease.
    pub fn new(rules: ReportRules) -> Self {
        Self {
            rules,
            term: None,
            known: None,
            confirmed: BTreeSet::new(),
            next_sends: BTreeMap::new(),
            next_access: None,
            next_call: None,
            skipped: Vec::new(),
            passed: None,
        }
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, view: ReportView<'_>) -> ReportStep {
        let term = view.epoch.map(|epoch| (epoch, view.era));
        if term != self.term {
            // Another gateway may have written the key meanwhile.
            self.term = term;
            self.known = None;
            self.next_access = None;
            self.next_sends.clear();
            self.confirmed.clear();
            self.passed = None;
        }
        let Some((epoch, _)) = term else {
            return ReportStep::Wait;
        };
        let has_access = self.next_access.is_none_or(|at| view.at >= at);
        let Some(known) = self.known.clone() else {
            return if has_access {
                ReportStep::Load
            } else {
                ReportStep::Wait
            };
        };
        if let Some((window, usage)) = self.due_send(&view, &known.fixed) {
            return ReportStep::Send {
                window,
                usage,
                epoch,
            };
        }
        if !has_access {
            return ReportStep::Wait;
        }
        match self.due_window(&view, &known.fixed) {
            Some(window) => self.fix(&view, known, window),
            None => ReportStep::Wait,
        }
    }

    /// Returns a report that is fixed and to be sent now.
    fn due_send(
        &mut self,
        view: &ReportView<'_>,
        fixed: &FixedReports,
    ) -> Option<(UsageWindow, AccountUsage)> {
        if self.next_call.is_some_and(|at| view.at < at) {
            return None;
        }
        for (window, usage) in &fixed.reports {
            if self.confirmed.contains(window) {
                continue;
            }
            if self.is_overdue(view.now, *window) {
                self.confirmed.insert(*window);
                // An earlier holder may have reported what this one has not sent.
                if self.next_sends.contains_key(window) {
                    self.skipped.push((*window, "not_confirmed"));
                }
                continue;
            }
            let next_send = self.next_sends.get(window);
            if next_send.is_none_or(|at| view.at >= *at) {
                return Some((*window, usage.clone()));
            }
        }
        None
    }

    fn is_overdue(&self, now: TrueTime, window: UsageWindow) -> bool {
        now > TrueTime::window_end(window, self.rules.window).after(self.rules.late)
    }

    /// Returns the next window to fix, if its counts are known.
    fn due_window(&mut self, view: &ReportView<'_>, fixed: &FixedReports) -> Option<UsageWindow> {
        let length = self.rules.window;
        let oldest = view.now.before(self.rules.late + length).window(length);
        let following = |window: UsageWindow| UsageWindow(window.0.saturating_add(1));
        let passed = fixed.newest.max(self.passed);
        let mut window = passed.map_or(oldest, following).max(oldest);
        loop {
            let end = TrueTime::window_end(window, length);
            let settled = end.after(SETTLE_TIME);
            if view.now < settled {
                return None;
            }
            let waits = view.now < end.after(self.rules.late.mul_f64(WAITING_SHARE));
            let start = TrueTime::window_start(window, length);
            let reason = if self.is_overdue(view.now, window) {
                "overdue"
            } else if fixed.era != view.era && end <= view.era_since.after(RESTORE_MARGIN) {
                // The key may be an earlier copy, made before the window was fixed.
                "store_restored"
            } else if waits && self.awaits_counts(view, start, settled) {
                return None;
            } else if view.collector.has_counted(start, end) {
                return Some(window);
            } else if waits {
                return None;
            } else {
                "not_counted"
            };
            self.passed = Some(window);
            self.skipped.push((window, reason));
            window = following(window);
        }
    }

    /// Returns whether some gateway may still tell of requests that began between two times.
    fn awaits_counts(&self, view: &ReportView<'_>, start: TrueTime, end: TrueTime) -> bool {
        let awaited = view.collector.awaited(view.members, start, end);
        !awaited.is_empty()
    }

    /// Returns the step that fixes a window.
    fn fix(
        &mut self,
        view: &ReportView<'_>,
        known: KnownReports,
        window: UsageWindow,
    ) -> ReportStep {
        let usage = view.collector.usage(window);
        let mut reports = known.fixed.reports;
        reports.retain(|window, _| !self.confirmed.contains(window));
        reports.insert(window, usage);
        while reports.len() > MAX_UNCONFIRMED {
            let dropped = reports.pop_first().map(|(window, _)| (window, "too_many"));
            self.skipped.extend(dropped);
        }
        ReportStep::Fix {
            revision: known.revision,
            window,
            reports: FixedReports {
                era: view.era,
                newest: Some(window),
                reports,
            },
        }
    }

    /// Records the content of the key at a revision.
    pub fn record_loaded(&mut self, revision: u64, fixed: FixedReports) {
        self.next_access = None;
        self.known = Some(KnownReports { revision, fixed });
    }

    /// Records that the key could not be read or written, or that it is not known whether it was written.
    pub fn record_unknown(&mut self, at: Instant) {
        self.known = None;
        self.next_access = Some(at + RETRY_DELAY);
    }

    /// Records that a report is sent.
    pub fn record_sent(&mut self, at: Instant, window: UsageWindow) {
        self.next_call = Some(at + self.rules.call_interval);
        self.next_sends.insert(window, at + RETRY_DELAY);
    }

    /// Records that the platform has a report, or will not take it.
    pub fn record_confirmed(&mut self, window: UsageWindow) {
        self.confirmed.insert(window);
        self.next_sends.remove(&window);
    }

    /// Returns the windows that were given up since the last call, with the reasons.
    pub fn take_skipped(&mut self) -> Vec<(UsageWindow, &'static str)> {
        std::mem::take(&mut self.skipped)
    }
}
