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

/// Returns the number of `ends` that are among `others`.
pub(super) fn count_shared(ends: &[&ServerCrash], others: &[&ServerCrash]) -> usize {
    let is_shared = |end: &&&ServerCrash| others.iter().any(|other| other.is_same_end(end));
    ends.iter().filter(is_shared).count()
}
