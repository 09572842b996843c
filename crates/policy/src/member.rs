//! Selection of a limited number of members by rendezvous hashing, such as the backend servers that
//! an entry connects to.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use twox_hash::XxHash3_64;
use units::{
    DataCentre,
    InstanceId, //
};

/// Returns the rendezvous weight of a pair. Every process computes the same weight.
fn pair_weight(key: &str, member: &InstanceId) -> u64 {
    let text = format!("{key}|{member}");
    XxHash3_64::oneshot(text.as_bytes())
}

/// Returns the number of members that precede `own` in the order of their rendezvous weights for
/// `key`.
pub fn member_turn<'a>(
    key: &str,
    own: &InstanceId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> u32 {
    let own_weight = pair_weight(key, own);
    let members = members.into_iter();
    let before = members.filter(|member| pair_weight(key, member) > own_weight);
    before.count() as u32
}

/// Returns the `limit` members that come first in this order.
pub fn first_members<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a InstanceId>,
    limit: usize,
) -> Vec<InstanceId> {
    let weighted = members
        .into_iter()
        .map(|member| (pair_weight(key, member), member));
    let mut ranked: Vec<(u64, &InstanceId)> = weighted.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let first = ranked.into_iter().take(limit);
    first.map(|(_, member)| member.clone()).collect()
}

/// Delay of each further turn, in which the record of an earlier one becomes known to all members.
const TURN_STEP: Duration = Duration::from_millis(1_300);
/// Longest delay, for members whose turn comes only if many others are gone.
const MAX_TURN_DELAY: Duration = Duration::from_secs(30);

/// Returns how long a member waits before it writes what one of them writes for all.
pub fn turn_delay(turn: u32) -> Duration {
    TURN_STEP.saturating_mul(turn).min(MAX_TURN_DELAY)
}

/// Returns up to `limit` members with the highest weight for `key`, by rendezvous hashing.
///
/// The key is the process that selects its peers, or the name of a task that few members carry out.
/// Adding or removing a member changes the selection by at most that member and the one that it
/// displaces or that replaces it.
pub fn choose_members<'a>(
    key: &InstanceId,
    members: impl IntoIterator<Item = &'a InstanceId>,
    limit: usize,
) -> BTreeSet<InstanceId> {
    first_members(key.as_str(), members, limit)
        .into_iter()
        .collect()
}

/// Returns the selected members of all data centres, up to `limit` in each data centre.
pub fn choose_members_per_centre(
    key: &InstanceId,
    members: &BTreeMap<DataCentre, BTreeSet<InstanceId>>,
    limit: usize,
) -> BTreeSet<InstanceId> {
    let centres = members.values();
    centres
        .flat_map(|instances| choose_members(key, instances, limit))
        .collect()
}
