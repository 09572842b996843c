//! Fixes and sends the reports of usage while this gateway holds the planner lease.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use host::boot_time;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::{
    KeyPrecondition,
    KeyPut,
    PlatformError,
    UsageReport,
    WriteOutcome,
    send_usage_report, //
};
use policy::{
    AccountUsage,
    FixedReports,
    ReportPlanner,
    ReportStep,
    ReportView,
    TrueTime,
    UsageChanges, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    EpochNumber,
    StoreEra,
    UsageWindow, //
};

use crate::shared::GatewayShared;
use crate::store::store_call::{
    CallPurpose,
    count_range,
    count_store_call, //
};
use crate::usage::usage_exchange::member_names;
use crate::usage::usage_state::UsageState;

/// Key of the fixed reports.
const USAGE_KEY: &str = "galenarail/usage";
/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a report, which is over before another gateway may hold the lease.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Era of the store, and when this gateway learned of it.
#[derive(Debug, Clone, Copy)]
struct SeenEra {
    era: Option<StoreEra>,
    since: TrueTime,
}

/// Fixes and sends the reports that are due, until aborted.
pub(crate) async fn report_usage(shared: Arc<GatewayShared>) {
    let Some(usage) = &shared.usage else { return };
    let mut planner = ReportPlanner::new(usage.rules);
    let mut seen = SeenEra {
        era: None,
        since: usage.lock().now(),
    };
    loop {
        sleep(STEP_INTERVAL).await;
        while take_step(&shared, usage, &mut planner, &mut seen).await {}
    }
}

/// Takes the next step. Returns false if there is none for now.
async fn take_step(
    shared: &GatewayShared,
    usage: &UsageState,
    planner: &mut ReportPlanner,
    seen: &mut SeenEra,
) -> bool {
    let step = next_step(shared, usage, planner, seen);
    for (window, reason) in planner.take_skipped() {
        count_window(shared, reason);
        let text = "usage of a window is not reported";
        let record = DecisionRecord::new(DecisionKind::Duty, text).chosen(window);
        shared.log.write(record.input("cause", reason).failure());
    }
    match step {
        ReportStep::Wait => return false,
        ReportStep::Load => load(shared, usage, planner).await,
        ReportStep::Fix {
            revision,
            window,
            reports,
        } => fix(shared, planner, revision, window, reports).await,
        ReportStep::Send {
            window,
            usage: counts,
            epoch,
        } => send(shared, usage, planner, window, counts, epoch).await,
    }
    true
}

fn count_window(shared: &GatewayShared, outcome: &str) {
    let windows = &shared.metrics.usage_windows;
    windows.with_label_values(&[outcome]).inc();
}

/// Returns the next step from what is known now.
fn next_step(
    shared: &GatewayShared,
    usage: &UsageState,
    planner: &mut ReportPlanner,
    seen: &mut SeenEra,
) -> ReportStep {
    let members = member_names(shared);
    let state = shared.lock();
    let (era, epoch) = (state.era.era, state.order_lease.epoch(boot_time()));
    drop(state);
    let mut guard = usage.lock();
    let books = &mut *guard;
    let now = books.now();
    if era != seen.era {
        *seen = SeenEra { era, since: now };
    }
    if epoch.is_some() {
        let own = UsageChanges {
            entries: books.counter.entries().collect(),
            is_whole: true,
            ..UsageChanges::default()
        };
        let source = usage.source(now, &shared.settings.instance);
        books.collector.merge(source, &own);
    }
    planner.next_step(ReportView {
        at: Instant::now(),
        now,
        epoch,
        era,
        era_since: seen.since,
        collector: &books.collector,
        members: &members,
    })
}

/// Reads the fixed reports.
async fn load(shared: &GatewayShared, usage: &UsageState, planner: &mut ReportPlanner) {
    let range = match count_range(shared, CallPurpose::Usage, USAGE_KEY).await {
        Ok(range) => range,
        Err(_) => return planner.record_unknown(Instant::now()),
    };
    let item = range.items.into_iter().find(|item| item.key == USAGE_KEY);
    let Some(item) = item else {
        return planner.record_loaded(0, FixedReports::default());
    };
    let parsed = serde_json::from_slice::<FixedReports>(&item.value);
    let fixed = parsed.unwrap_or_else(|error| {
        let reason = "fixed reports of usage cannot be read; windows so far are not reported";
        let record = DecisionRecord::new(DecisionKind::Duty, reason);
        let record = record.input("error", error.to_string());
        shared.log.write(record.failure());
        FixedReports {
            era: range.revision.era,
            newest: Some(usage.lock().now().window(usage.rules.window)),
            ..FixedReports::default()
        }
    });
    planner.record_loaded(item.revision, fixed);
}

/// Fixes the counts of a window.
async fn fix(
    shared: &GatewayShared,
    planner: &mut ReportPlanner,
    revision: u64,
    window: UsageWindow,
    reports: FixedReports,
) {
    let Ok(text) = serde_json::to_vec(&reports) else {
        return planner.record_unknown(Instant::now());
    };
    let precondition = KeyPrecondition {
        key: USAGE_KEY.into(),
        revision,
    };
    let bytes = text.len();
    let put = KeyPut {
        key: USAGE_KEY.into(),
        value: Bytes::from(text),
        lease: None,
    };
    let write = shared
        .store
        .write(reports.era, vec![precondition], vec![put], Vec::new());
    let outcome = count_store_call(shared, CallPurpose::Usage, write).await;
    let text = match &outcome {
        Ok(WriteOutcome::Committed(_)) => "usage of a window fixed",
        Ok(_) => "usage of a window not fixed; another gateway has written the key",
        Err(_) => "not known whether the usage of a window is fixed",
    };
    let total: u64 = reports.reports.get(&window).map_or(0, total_requests);
    let record = DecisionRecord::new(DecisionKind::Duty, text)
        .chosen(window)
        .input("requests", total)
        .input("bytes", bytes)
        .input("revision_before", revision);
    match outcome {
        Ok(WriteOutcome::Committed(written)) => {
            count_window(shared, "fixed");
            shared.log.write(record);
            planner.record_loaded(written.number, reports);
        }
        _ => {
            shared.log.write(record.failure());
            planner.record_unknown(Instant::now());
        }
    }
}

fn total_requests(usage: &AccountUsage) -> u64 {
    let counts = usage.values();
    counts.fold(0, |total, count| total.saturating_add(*count))
}

/// Reports a window whose counts are fixed.
async fn send(
    shared: &GatewayShared,
    usage: &UsageState,
    planner: &mut ReportPlanner,
    window: UsageWindow,
    counts: AccountUsage,
    epoch: EpochNumber,
) {
    planner.record_sent(Instant::now(), window);
    let total = total_requests(&counts);
    let accounts = counts.len();
    let report = UsageReport {
        window,
        usage: counts,
        holder: shared.settings.instance.clone(),
        epoch,
    };
    if shared.lock().order_lease.epoch(boot_time()) != Some(epoch) {
        return;
    }
    let result = send_usage_report(usage.address, &report, REPORT_TIMEOUT).await;
    let (answer, text) = record_answer(shared, planner, window, &result);
    let calls = &shared.metrics.usage_calls;
    calls.with_label_values(&[answer]).inc();
    let now = usage.lock().now();
    let end = TrueTime::window_end(window, usage.rules.window);
    let record = DecisionRecord::new(DecisionKind::Duty, text)
        .chosen(window)
        .input("answer", answer)
        .input("epoch", epoch.0)
        .input("accounts", accounts)
        .input("requests", total)
        .input("age_ms", now.0.saturating_sub(end.0));
    let is_accepted = answer == "accepted";
    shared.log.write(if is_accepted {
        record
    } else {
        record.failure()
    });
}

/// Records the answer to a report. Returns its name in metrics, and what it means.
fn record_answer(
    shared: &GatewayShared,
    planner: &mut ReportPlanner,
    window: UsageWindow,
    result: &Result<u16, PlatformError>,
) -> (&'static str, &'static str) {
    match result {
        Ok(200..=299) => {
            planner.record_confirmed(window);
            count_window(shared, "reported");
            ("accepted", "usage of a window reported")
        }
        Ok(409) => {
            // A later lease holder has called.
            let mut state = shared.lock();
            state.order_lease.record_lost();
            state.leases.planner = None;
            ("fenced", "platform has seen a later holder; lease given up")
        }
        Ok(429) => ("busy", "platform takes no more calls; sent again later"),
        Ok(500..) => ("failed", "platform failed; report is sent again"),
        Ok(_) => {
            planner.record_confirmed(window);
            count_window(shared, "rejected");
            ("rejected", "platform rejects the report")
        }
        Err(_) => ("lost", "no answer to the report; sent again"),
    }
}
