//! What a gateway counts and knows of usage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use conf::GatewaySettings;
use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord,
    LogSink, //
};
use platform::parse_duty;
use policy::{
    BootTime,
    DutyKind,
    ReportRules,
    TrueClock,
    TrueTime,
    UsageCollector,
    UsageCounter,
    UsageSource, //
};
use units::{
    IncarnationId,
    InstanceId,
    ServiceName,
    UsageWindow, //
};

use crate::clock::ClockReading;
use crate::request::RequestContext;
use crate::shared::GatewayShared;

/// Counts, by this gateway and by those that tell it theirs.
#[derive(Debug, Default)]
pub(crate) struct UsageBooks {
    clock: TrueClock,
    pub(crate) counter: UsageCounter,
    pub(crate) collector: UsageCollector,
    /// Shortest response time of each plain service, which is about the time that a request runs.
    shortest_times: BTreeMap<ServiceName, Duration>,
}

/// Usage as a duty, where the settings call for it.
pub(crate) struct UsageState {
    pub(crate) rules: ReportRules,
    /// Address for the reports.
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: IncarnationId,
    started_at: BootTime,
    books: Mutex<UsageBooks>,
}

/// Logs the duties that the settings name and gateways do not carry out.
fn log_duties(names: &[String], log: &LogSink) {
    for name in names {
        if parse_duty(name).is_none_or(|duty| !duty.is_carried_out()) {
            let reason = "duty of the settings is not carried out";
            log.write(DecisionRecord::new(DecisionKind::Duty, reason).chosen(name));
        }
    }
}

impl UsageState {
    /// Creates the state if the settings call for reports of usage.
    pub(crate) fn new(settings: &GatewaySettings, log: &LogSink) -> Option<Self> {
        let duties = settings.duties.as_ref()?;
        log_duties(&duties.names, log);
        let timing = duties.usage_timing()?;
        let mut kinds = duties.names.iter().filter_map(|name| parse_duty(name));
        kinds
            .any(|kind| kind == DutyKind::UsageReport)
            .then(|| Self {
                rules: ReportRules {
                    window: timing.window,
                    late: timing.late,
                    call_interval: timing.call_interval,
                },
                address: duties.address,
                incarnation: IncarnationId(rand::random()),
                started_at: boot_time(),
                books: Mutex::default(),
            })
    }

    /// Locks the counts, even if a panic has poisoned the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, UsageBooks> {
        self.books.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the oldest window whose counts are kept.
    pub(crate) fn oldest_window(&self, now: TrueTime) -> UsageWindow {
        let kept = self.rules.late + self.rules.window * 2;
        now.before(kept).window(self.rules.window)
    }

    /// Returns this gateway as a source of counts.
    pub(crate) fn source(&self, now: TrueTime, gateway: &InstanceId) -> UsageSource {
        let age = boot_time().0.saturating_sub(self.started_at.0);
        UsageSource {
            gateway: gateway.clone(),
            incarnation: self.incarnation,
            since: now.before(age),
            until: now,
        }
    }
}

impl UsageBooks {
    /// Returns the true time.
    pub(crate) fn now(&mut self) -> TrueTime {
        let own = TrueTime(ClockReading::take().unix_ms);
        self.clock.now(boot_time(), own)
    }

    /// Records the time of day of another gateway.
    pub(crate) fn record_clock(&mut self, gateway: InstanceId, unix_ms: u64) {
        self.clock.record(boot_time(), gateway, TrueTime(unix_ms));
    }
}

/// Counts a request that began to run `age` ago, if its caller has an account.
fn record_begun(
    shared: &GatewayShared,
    context: &RequestContext,
    age: impl FnOnce(&mut UsageBooks) -> Duration,
) {
    let (Some(usage), Some(account)) = (&shared.usage, context.account.name()) else {
        return;
    };
    let mut books = usage.lock();
    let age = age(&mut books);
    let window = books.now().before(age).window(usage.rules.window);
    if !books.counter.record(window, account) {
        shared.metrics.uncounted_requests.inc();
    }
}

/// Counts a stream whose first bytes have just arrived.
pub(crate) fn record_stream_begun(context: &RequestContext) {
    record_begun(&context.shared, context, |_| Duration::ZERO);
}

/// Counts a plain request that a backend server has answered `elapsed` after it was sent.
pub(crate) fn record_plain_begun(context: &RequestContext, elapsed: Duration) {
    record_begun(&context.shared, context, |books| {
        let times = &mut books.shortest_times;
        let shortest = times.entry(context.service.clone()).or_insert(elapsed);
        *shortest = elapsed.min(*shortest);
        *shortest
    });
}
