//! Datagrams by which gateways tell what they have counted.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    TrueTime,
    UsageChanges,
    UsageEntry,
    UsageSource,
    first_members, //
};
use prost::Message;
use tokio::time::sleep;
use units::{
    IncarnationId,
    InstanceId,
    UsageWindow, //
};
use wire::{
    AccountCount,
    UsageCounts,
    UsageMessage,
    UsageReceipt,
    WindowCounts, //
};

use crate::clock::ClockReading;
use crate::shared::GatewayShared;
use crate::store::planner_lease::PLANNER_KEY;
use crate::usage::usage_state::UsageState;

/// Shortest interval between messages to one receiver.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval, after which a receiver would learn too late that a window is over.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_secs(2);
/// Rate of all messages to one receiver, which sets the interval.
const RECEIVER_BYTES_PER_SECOND: f64 = 20_000.0;
/// Number of gateways that are told beside the lease holder: those that acquire the lease next.
const SUCCESSORS: usize = 2;
/// Maximum number of counts in one datagram.
const MAX_ENTRIES: usize = 200;
/// Number of windows ahead of this gateway's time that are accepted.
const WINDOWS_AHEAD: u64 = 2;

/// Tells the lease holder and its successors what this gateway has counted, until aborted.
pub(crate) async fn send_usage(shared: Arc<GatewayShared>) {
    let mut interval = MESSAGE_INTERVAL;
    loop {
        sleep(interval).await;
        let Some(usage) = &shared.usage else { return };
        let bytes = tell_receivers(&shared, usage);
        let gateways = shared.lock().members.len() as f64;
        let share = Duration::from_secs_f64(gateways * bytes as f64 / RECEIVER_BYTES_PER_SECOND);
        interval = share.clamp(MESSAGE_INTERVAL, MAX_MESSAGE_INTERVAL);
    }
}

/// Returns the gateways that are told, with their addresses.
fn receivers(shared: &GatewayShared) -> BTreeMap<InstanceId, SocketAddr> {
    let state = shared.lock();
    let holder = state.planner_holder.as_ref();
    let others = state
        .members
        .keys()
        .filter(|member| Some(*member) != holder);
    let first = first_members(PLANNER_KEY, others, SUCCESSORS);
    let told = first.into_iter().chain(holder.cloned());
    let others = told.filter(|member| *member != shared.settings.instance);
    let addressed = others.filter_map(|member| {
        let address = *state.members.get(&member)?;
        Some((member, address))
    });
    addressed.collect()
}

/// Sends one message to each receiver. Returns the size of the largest.
pub(crate) fn tell_receivers(shared: &GatewayShared, usage: &UsageState) -> usize {
    let receivers = receivers(shared);
    let own = &shared.settings.instance;
    let mut books = usage.lock();
    let now = books.now();
    let oldest = usage.oldest_window(now);
    books.counter.expire(oldest);
    let start = TrueTime::window_start(oldest, usage.rules.window);
    books.collector.expire(oldest, start);
    books
        .counter
        .retain_receivers(|receiver| receivers.contains_key(receiver));
    let source = usage.source(now, own);
    let messages: Vec<(Vec<u8>, SocketAddr)> = receivers
        .iter()
        .map(|(receiver, address)| {
            let changes = books.counter.changes(receiver, MAX_ENTRIES);
            let message = UsageMessage {
                counts: Some(encode_changes(&source, changes)),
                ..empty_message(shared, usage)
            };
            (message.encode_to_vec(), *address)
        })
        .collect();
    drop(books);
    let largest = messages.iter().map(|(message, _)| message.len()).max();
    if let Some(socket) = shared.exchange_socket.get() {
        for (message, address) in &messages {
            // What does not arrive is told again, since no receipt comes back.
            let _ = socket.try_send_to(message, *address);
        }
    }
    largest.unwrap_or_default()
}

fn empty_message(shared: &GatewayShared, usage: &UsageState) -> UsageMessage {
    UsageMessage {
        instance: shared.settings.instance.to_string(),
        incarnation: usage.incarnation.0,
        unix_ms: ClockReading::take().unix_ms,
        ..UsageMessage::default()
    }
}

fn encode_changes(source: &UsageSource, changes: UsageChanges) -> UsageCounts {
    let mut windows: BTreeMap<UsageWindow, Vec<AccountCount>> = BTreeMap::new();
    for entry in changes.entries {
        windows.entry(entry.window).or_default().push(AccountCount {
            account: entry.account.to_string(),
            count: entry.count,
        });
    }
    let windows = windows.into_iter().map(|(window, counts)| WindowCounts {
        window: window.0,
        counts,
    });
    UsageCounts {
        since_ms: source.since.0,
        until_ms: source.until.0,
        base: changes.base,
        number: changes.number,
        is_whole: changes.is_whole,
        windows: windows.collect(),
    }
}

/// Applies a message about usage, if `data` is one. Returns whether it is.
pub(crate) fn accept_usage_message(
    shared: &GatewayShared,
    sender: SocketAddr,
    data: &[u8],
) -> bool {
    let Ok(message) = UsageMessage::decode(data) else {
        return false;
    };
    let Ok(peer) = message.instance.parse::<InstanceId>() else {
        return false;
    };
    let Some(usage) = &shared.usage else {
        return true;
    };
    if shared.lock().members.get(&peer).map(SocketAddr::ip) != Some(sender.ip()) {
        return true;
    }
    let mut books = usage.lock();
    books.record_clock(peer.clone(), message.unix_ms);
    let own_incarnation = usage.incarnation.0;
    if let Some(receipt) = &message.receipt
        && receipt.incarnation == own_incarnation
    {
        books.counter.record_receipt(&peer, receipt.number);
    }
    let Some(counts) = &message.counts else {
        return true;
    };
    let now = books.now();
    let source = UsageSource {
        gateway: peer,
        incarnation: IncarnationId(message.incarnation),
        since: TrueTime(counts.since_ms),
        // No gateway has counted the future.
        until: TrueTime(counts.until_ms).min(now.after(MAX_MESSAGE_INTERVAL)),
    };
    let first = usage.oldest_window(now);
    let last = UsageWindow(now.window(usage.rules.window).0 + WINDOWS_AHEAD);
    let number = books
        .collector
        .merge(source, &decode_changes(counts, first, last));
    drop(books);
    let receipt = UsageMessage {
        receipt: Some(UsageReceipt {
            incarnation: message.incarnation,
            number,
        }),
        ..empty_message(shared, usage)
    };
    if let Some(socket) = shared.exchange_socket.get() {
        let _ = socket.try_send_to(&receipt.encode_to_vec(), sender);
    }
    true
}

/// Parses counts. Those of other windows and of names that cannot be read are left out.
fn decode_changes(counts: &UsageCounts, first: UsageWindow, last: UsageWindow) -> UsageChanges {
    let mut entries = Vec::new();
    for window_counts in &counts.windows {
        let window = UsageWindow(window_counts.window);
        if window < first || window > last {
            continue;
        }
        let parsed = window_counts.counts.iter().filter_map(|count| {
            Some(UsageEntry {
                window,
                account: count.account.parse().ok()?,
                count: count.count,
            })
        });
        entries.extend(parsed);
    }
    UsageChanges {
        base: counts.base,
        number: counts.number,
        is_whole: counts.is_whole,
        entries,
    }
}

/// Returns the registered gateways.
pub(crate) fn member_names(shared: &GatewayShared) -> BTreeSet<InstanceId> {
    shared.lock().members.keys().cloned().collect()
}
