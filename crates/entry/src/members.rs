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
    keep_link, //
};
use crate::state::{
    EntryShared,
    EntryState,
    SideDialer, //
};

/// Wait of one watch; only a changed list is sent before it is over.
const WATCH_TIME: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Watches the list and adapts the links, until aborted.
pub(crate) async fn follow_members(shared: Arc<EntryShared>) {
    let mut index = 0;
    loop {
        match watch_instances(shared.settings.platform, index, WATCH_TIME).await {
            Ok(list) => {
                index = list.index;
                shared.take_list(list.records);
            }
            // The last list stays in force.
            Err(_) => {
                shared.metrics.store_errors.inc();
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl EntryState {
    /// Whether an instance has gone from the list or moved to another address.
    fn is_stale(&self, instance: &InstanceId) -> bool {
        let listed = self.listed.get(instance).map(|record| record.address);
        let dialed = self.dialers.get(instance).map(|dialer| dialer.address);
        listed != dialed
    }

    fn drop_dialer(&mut self, instance: &InstanceId) {
        if let Some(dialer) = self.dialers.remove(instance) {
            dialer.task.abort();
        }
        self.links.remove(instance);
        self.router.remove(instance);
        self.attempts.lose(instance);
    }
}

impl EntryShared {
    fn take_list(self: &Arc<Self>, records: Vec<InstanceRecord>) {
        let mut state = self.lock();
        state.listed = records
            .into_iter()
            .map(|r| (r.instance.clone(), r))
            .collect();
        let leaving = state.listed_leaving();
        let plans = state.lease.held_epoch(Instant::now()).is_some();
        let wanted = self.choose_links(&state.listed, plans);
        let known: Vec<InstanceId> = state.dialers.keys().cloned().collect();
        for instance in known {
            let busy = state.attempts.count_on(&instance) > 0;
            let unwanted = !wanted.contains(&instance) && !busy;
            if state.is_stale(&instance) || unwanted {
                state.drop_dialer(&instance);
            }
        }
        for instance in &leaving {
            state.router.set_leaving(instance, true);
        }
        let fresh: Vec<InstanceId> = wanted
            .into_iter()
            .filter(|i| !state.dialers.contains_key(i))
            .collect();
        drop(state);
        fresh.iter().for_each(|instance| self.dial(instance));
    }

    /// Starts to keep a link to a listed side process, unless one is kept already.
    pub(crate) fn dial(self: &Arc<Self>, instance: &InstanceId) {
        let mut state = self.lock();
        let Some(record) = state.listed.get(instance) else {
            return;
        };
        if state.dialers.contains_key(instance) {
            return;
        }
        let target = SideAddress {
            instance: instance.clone(),
            centre: record.data_centre.clone(),
            address: record.address,
        };
        let record_address = target.address;
        let task = tokio::spawn(keep_link(self.clone(), target));
        let dialer = SideDialer {
            address: record_address,
            task: task.abort_handle(),
        };
        state.dialers.insert(instance.clone(), dialer);
    }

    fn choose_links(
        &self,
        listed: &BTreeMap<InstanceId, InstanceRecord>,
        plans: bool,
    ) -> BTreeSet<InstanceId> {
        let mut by_centre: BTreeMap<DataCentre, BTreeSet<InstanceId>> = BTreeMap::new();
        for record in listed
            .values()
            .filter(|record| record.kind == ProcessKind::Side)
        {
            let centre = by_centre.entry(record.data_centre.clone()).or_default();
            centre.insert(record.instance.clone());
        }
        let limit = self.settings.sides_per_data_centre as usize;
        let mut chosen = choose_members_per_centre(&self.identity.instance, &by_centre, limit);
        if plans && let Some(own) = by_centre.remove(&self.settings.data_centre) {
            // Who plans a data centre must see and reach all of it.
            chosen.extend(own);
        }
        chosen
    }

    /// Whether this entry is one of the few of its data centre that do a duty.
    pub(crate) fn has_duty(&self, duty: &str, few: usize) -> bool {
        let Ok(duty) = duty.parse::<InstanceId>() else {
            return true;
        };
        let state = self.lock();
        let peers = state.listed.values().filter(|record| {
            record.kind == ProcessKind::Entry
                && record.state == InstanceState::Live
                && record.data_centre == self.settings.data_centre
        });
        let mut names: BTreeSet<&InstanceId> = peers.map(|record| &record.instance).collect();
        names.insert(&self.identity.instance);
        choose_members(&duty, names, few).contains(&self.identity.instance)
    }
}
