//! The one clock of this process: it counts the time during which the machine was suspended, so
//! that what was believed before a pause is known to be old after it.

use std::time::Duration;

use cowslipchute_base::id::Time;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Reads the time since the machine's start, suspensions included.
///
/// # Panics
///
/// Panics if the system doesn't know the clock, which every Linux since 2.6.39 does.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has this clock");
    Duration::from(time)
}
