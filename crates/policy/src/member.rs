//! Which backend servers an entry connects to, bounded in each data centre.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use twox_hash::XxHash3_64;
use units::{
    DataCentre,
    InstanceId, //
};

/// Weight of a pair, the same on every process.
fn pair_weight(own: &InstanceId, other: &InstanceId) -> u64 {
    let text = format!("{own}|{other}");
    XxHash3_64::oneshot(text.as_bytes())
}

/// The members of highest weight for this process, by rendezvous hashing.
///
/// A change of the list moves only the members that it names.
pub fn choose_members<'a>(
    own: &InstanceId,
    members: impl IntoIterator<Item = &'a InstanceId>,
    limit: usize,
) -> BTreeSet<InstanceId> {
    let weighted = members
        .into_iter()
        .map(|member| (pair_weight(own, member), member));
    let mut ranked: Vec<(u64, &InstanceId)> = weighted.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let chosen = ranked.into_iter().take(limit);
    chosen.map(|(_, member)| member.clone()).collect()
}

/// Chooses members in each data centre, up to a limit each.
pub fn choose_members_per_centre(
    own: &InstanceId,
    members: &BTreeMap<DataCentre, BTreeSet<InstanceId>>,
    limit: usize,
) -> BTreeSet<InstanceId> {
    let centres = members.values();
    centres
        .flat_map(|instances| choose_members(own, instances, limit))
        .collect()
}
