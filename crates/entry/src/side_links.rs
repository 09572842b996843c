//! Watches the platform's list of instances and selects the side processes to link to.
//!
//! An entry links to a limited number of side processes in each data centre.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::Arc;
use std::time::Duration;

use policy::{
    choose_members,
    choose_members_per_centre, //
};
use store::{
    InstanceRecord,
    InstanceState,
    ProcessKind,
    watch_instances, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use units::{
    DataCentre,
    InstanceId, //
};

use crate::link::{
    SideAddress,
    maintain_link, //
};
use crate::state::{
    EntryShared,
    EntryState,
    LinkTask, //
};

/// Maximum duration of one watch request. The platform replies earlier only if the list changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the list of instances and updates the links, until aborted.
pub(crate) async fn maintain_links(shared: Arc<EntryShared>) {
    let mut index = 0;
    loop {
        match watch_instances(shared.settings.platform, index, WATCH_TIMEOUT).await {
            Ok(list) => {
                index = list.index;
                shared.apply_instances(list.records);
            }
            // The last list stays in effect.
            Err(_) => {
                shared.metrics.store_errors.inc();
                sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}

impl EntryState {
    /// Returns whether an instance is no longer listed or has moved to another address.
    fn is_stale(&self, instance: &InstanceId) -> bool {
        let listed_address = self.instances.get(instance).map(|record| record.address);
        let linked_address = self
            .link_tasks
            .get(instance)
            .map(|link_task| link_task.address);
        listed_address != linked_address
    }

    fn stop_link_task(&mut self, instance: &InstanceId) {
        if let Some(link_task) = self.link_tasks.remove(instance) {
            link_task.task.abort();
        }
        self.links.remove(instance);
        self.router.remove(instance);
        self.attempts.notify_link_lost(instance);
    }
}

impl EntryShared {
    /// Applies a new list of instances: stops links that are stale or no longer selected, and
    /// starts missing ones. An unselected link with in-flight attempts is kept.
    fn apply_instances(self: &Arc<Self>, records: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.instances = records
            .into_iter()
            .map(|record| (record.instance.clone(), record))
            .collect();
        let draining = state.draining_instances();
        let holds_planner_lease = state.planner_lease.held_epoch(Instant::now()).is_some();
        let desired = self.choose_sides(&state.instances, holds_planner_lease);
        let current: Vec<InstanceId> = state.link_tasks.keys().cloned().collect();
        for instance in current {
            let has_attempts = state.attempts.count_on(&instance) > 0;
            let unneeded = !desired.contains(&instance) && !has_attempts;
            if state.is_stale(&instance) || unneeded {
                state.stop_link_task(&instance);
            }
        }
        for instance in &draining {
            state.router.set_draining(instance, true);
        }
        let missing: Vec<InstanceId> = desired
            .into_iter()
            .filter(|instance| !state.link_tasks.contains_key(instance))
            .collect();
        drop(state);
        missing
            .iter()
            .for_each(|instance| self.start_link_task(instance));
    }

    /// Starts the link task of a listed side process, unless it is running already.
    pub(crate) fn start_link_task(self: &Arc<Self>, instance: &InstanceId) {
        let mut state = self.lock();
        let Some(record) = state.instances.get(instance) else {
            return;
        };
        if state.link_tasks.contains_key(instance) {
            return;
        }
        let side = SideAddress {
            instance: instance.clone(),
            data_centre: record.data_centre.clone(),
            address: record.address,
        };
        let target_address = side.address;
        let task = tokio::spawn(maintain_link(self.clone(), side));
        let link_task = LinkTask {
            address: target_address,
            task: task.abort_handle(),
        };
        state.link_tasks.insert(instance.clone(), link_task);
    }

    /// Selects the side processes to link to.
    fn choose_sides(
        &self,
        instances: &BTreeMap<InstanceId, InstanceRecord>,
        holds_planner_lease: bool,
    ) -> BTreeSet<InstanceId> {
        let mut sides_by_data_centre: BTreeMap<DataCentre, BTreeSet<InstanceId>> = BTreeMap::new();
        for record in instances
            .values()
            .filter(|record| record.kind == ProcessKind::Side)
        {
            let data_centre = sides_by_data_centre
                .entry(record.data_centre.clone())
                .or_default();
            data_centre.insert(record.instance.clone());
        }
        let limit = self.settings.sides_per_data_centre as usize;
        let mut chosen =
            choose_members_per_centre(&self.identity.instance, &sides_by_data_centre, limit);
        if holds_planner_lease
            && let Some(local_sides) = sides_by_data_centre.remove(&self.settings.data_centre)
        {
            // The planner needs the load reports of all engines in its data centre and sends
            // orders to them.
            chosen.extend(local_sides);
        }
        chosen
    }

    /// Returns whether this entry is one of the `count` entries of its data centre selected for a
    /// duty.
    pub(crate) fn is_chosen_for(&self, duty: &str, count: usize) -> bool {
        let Ok(duty) = duty.parse::<InstanceId>() else {
            return true;
        };
        let state = self.lock();
        let peers = state.instances.values().filter(|record| {
            record.kind == ProcessKind::Entry
                && record.state == InstanceState::Live
                && record.data_centre == self.settings.data_centre
        });
        let mut candidates: BTreeSet<&InstanceId> = peers.map(|record| &record.instance).collect();
        candidates.insert(&self.identity.instance);
        choose_members(&duty, candidates, count).contains(&self.identity.instance)
    }
}
