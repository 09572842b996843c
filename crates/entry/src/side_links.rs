//! Follows the platform's list and keeps links to a bounded part of the side processes.

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

/// Wait of one watch; only a changed list is sent before it is over.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the list and adapts the links, until aborted.
pub(crate) async fn watch_members(shared: Arc<EntryShared>) {
    let mut index = 0;
    loop {
        match watch_instances(shared.settings.platform, index, WATCH_TIMEOUT).await {
            Ok(list) => {
                index = list.index;
                shared.apply_members(list.records);
            }
            // The last list stays in force.
            Err(_) => {
                shared.metrics.store_errors.inc();
                sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}

impl EntryState {
    /// Whether an instance has gone from the list or moved to another address.
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
    fn apply_members(self: &Arc<Self>, records: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.instances = records
            .into_iter()
            .map(|record| (record.instance.clone(), record))
            .collect();
        let draining = state.draining_instances();
        let is_planner = state.planner_lease.held_epoch(Instant::now()).is_some();
        let desired = self.choose_links(&state.instances, is_planner);
        let current: Vec<InstanceId> = state.link_tasks.keys().cloned().collect();
        for instance in current {
            let busy = state.attempts.count_on(&instance) > 0;
            let undesired = !desired.contains(&instance) && !busy;
            if state.is_stale(&instance) || undesired {
                state.stop_link_task(&instance);
            }
        }
        for instance in &draining {
            state.router.set_leaving(instance, true);
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

    /// Starts to keep a link to a listed side process, unless one is kept already.
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

    fn choose_links(
        &self,
        instances: &BTreeMap<InstanceId, InstanceRecord>,
        is_planner: bool,
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
        if is_planner
            && let Some(local_sides) = sides_by_data_centre.remove(&self.settings.data_centre)
        {
            // Who plans a data centre must see and reach all of it.
            chosen.extend(local_sides);
        }
        chosen
    }

    /// Whether this entry is one of the few of its data centre that do a duty.
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
