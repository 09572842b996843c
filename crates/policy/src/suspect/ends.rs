//! Ends of processes that several observations of crashes concern.

use std::time::Duration;

use super::crash::ServerCrash;

/// Time around the crashes of a suspect in which crashes without it suggest another cause.
pub(super) const OTHER_CRASHES_WINDOW: Duration = Duration::from_secs(10);

/// Returns whether a crash happened in the time of others.
pub(super) fn is_near(crash: &ServerCrash, ends: &[&ServerCrash]) -> bool {
    let first = ends.iter().map(|end| end.at).min();
    let last = ends.iter().map(|end| end.at).max();
    first.is_some_and(|first| crash.at + OTHER_CRASHES_WINDOW >= first)
        && last.is_some_and(|last| crash.at <= last + OTHER_CRASHES_WINDOW)
}

/// Returns one crash for each end of a process.
pub(super) fn distinct_ends<'a>(
    crashes: impl Iterator<Item = &'a ServerCrash>,
) -> Vec<&'a ServerCrash> {
    let mut distinct: Vec<&ServerCrash> = Vec::new();
    for crash in crashes {
        if !distinct.iter().any(|known| known.is_same_end(crash)) {
            distinct.push(crash);
        }
    }
    distinct
}

/// Returns whether all of `ends` are among `others`.
pub(super) fn covers(others: &[&ServerCrash], ends: &[&ServerCrash]) -> bool {
    ends.iter()
        .all(|end| others.iter().any(|other| other.is_same_end(end)))
}
