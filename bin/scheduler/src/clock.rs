//! The clocks of this process. The one on which all is counted goes on while the machine is
//! suspended, so that what was believed before a pause is known to be old after it. The time of day
//! jumps, and is read for due times alone.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// Reads the time of day, since 1970.
pub fn wall() -> Duration {
    // A time of day before 1970 makes nothing due, which is right until it is set.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
