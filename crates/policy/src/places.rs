//! Places of plain servers: how many calls a gateway may have at them, and which call goes next.

mod place_limit;
mod place_queue;
mod response_estimate;
mod service_places;
mod unloaded_times;

pub use place_queue::HeldCall;
pub use place_queue::PlaceId;
pub use service_places::AnsweredCall;
pub use service_places::PlaceSupply;
pub use service_places::PlaceVerdict;
pub use service_places::ServicePlaces;
