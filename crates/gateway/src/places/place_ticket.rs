//! Place of a call among those that this gateway may have at the servers of a plain service.

use std::sync::Arc;
use std::time::Duration;

use policy::{
    AnsweredCall,
    PlaceId, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    ServiceName, //
};

use crate::places::place_state::place_supply;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Place of a call that is held or in flight, given back on drop.
pub(crate) struct PlaceTicket {
    pub(crate) shared: Arc<GatewayShared>,
    pub(crate) service: ServiceName,
    pub(crate) id: PlaceId,
}

impl PlaceTicket {
    /// Records the answer of a plain server.
    pub(crate) fn record_answer(
        &self,
        instance: &InstanceId,
        elapsed: Duration,
        target: Duration,
        had_free_places: bool,
    ) {
        let mut guard = self.shared.lock();
        let state = &mut *guard;
        let now = Instant::now();
        let supply = place_supply(&state.fleet, now, &self.service, state.members.len());
        let answered = AnsweredCall {
            instance,
            elapsed,
            target,
            had_free_places,
        };
        let places = &mut state.places.service_mut(&self.service).places;
        places.record_answer(now, answered, supply);
    }

    /// Records that a plain server had no room for the call.
    pub(crate) fn record_rejection(&self) {
        let mut guard = self.shared.lock();
        let state = &mut *guard;
        let now = Instant::now();
        let supply = place_supply(&state.fleet, now, &self.service, state.members.len());
        let places = &mut state.places.service_mut(&self.service).places;
        places.record_rejection(now, supply, rand::random());
    }
}

impl Drop for PlaceTicket {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let calls = state.places.service_mut(&self.service);
        calls.places.leave(self.id);
        calls.wakers.remove(&self.id);
        admit_held(&mut state, &self.service);
    }
}

/// Sends the held calls of a service for which there is a place.
pub(crate) fn admit_held(state: &mut GatewayState, service: &ServiceName) {
    if state.places.service_mut(service).places.held() == 0 {
        return;
    }
    let now = Instant::now();
    let supply = place_supply(&state.fleet, now, service, state.members.len());
    state.places.service_mut(service).admit(now, supply);
}
