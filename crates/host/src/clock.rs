//! Clock that also counts the time during which the instance is suspended.

use std::time::Duration;

use policy::BootTime;
use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Returns the time since the instance booted, including suspensions.
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    BootTime(Duration::new(seconds, nanos))
}
