//! Calls to plain services, with the tasks that wait to send them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use policy::{
    BackendFleet,
    PlaceId,
    PlaceSupply,
    ServerFilter,
    ServicePlaces,
    VersionRule, //
};
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::ServiceName;

/// Calls to one plain service.
#[derive(Debug, Default)]
pub(crate) struct ServiceCalls {
    pub(crate) places: ServicePlaces,
    /// Senders that wake the tasks of held calls.
    pub(crate) wakers: BTreeMap<PlaceId, oneshot::Sender<()>>,
}

impl ServiceCalls {
    /// Wakes the tasks of the held calls that are sent now.
    pub(crate) fn admit(&mut self, now: Instant, supply: PlaceSupply) {
        if self.places.held() == 0 {
            return;
        }
        for id in self.places.admit(now, supply) {
            // A task that is gone has dropped its ticket or is about to.
            let waker = self.wakers.remove(&id);
            let _ = waker.map(|waker| waker.send(()));
        }
    }
}

/// Calls to all plain services.
#[derive(Debug, Default)]
pub(crate) struct PlaceState {
    services: BTreeMap<ServiceName, ServiceCalls>,
}

impl PlaceState {
    /// Returns the calls to a service.
    pub(crate) fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceCalls {
        self.services.entry(service.clone()).or_default()
    }
}

/// Returns the places of a service's servers that take requests.
pub(crate) fn place_supply(
    fleet: &BackendFleet,
    now: Instant,
    service: &ServiceName,
    gateways: usize,
) -> PlaceSupply {
    let filter = ServerFilter {
        service,
        stage: None,
        version: &VersionRule::Any,
        excluded: &BTreeSet::new(),
    };
    let views = fleet.views().filter(|view| filter.admits(&view.record));
    let accepting = views.filter(|view| view.unavailability(now).is_none());
    let mut supply = PlaceSupply {
        places: 0,
        taken: 0,
        gateways,
    };
    for view in accepting {
        supply.places = supply.places.saturating_add(view.record.slots);
        supply.taken = supply.taken.saturating_add(view.total_load().requests);
    }
    supply
}

/// Returns whether a server of a service names a limit, so that tokens decide when its calls are sent.
pub(crate) fn has_named_limit(fleet: &BackendFleet, service: &ServiceName) -> bool {
    let mut views = fleet.views();
    views.any(|view| view.record.service == *service && view.limit.rate().is_some())
}
