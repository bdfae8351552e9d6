//! Clocks of this process. The clock for leases and timeouts keeps running while the machine is
//! suspended, so that what was known before a suspension counts as old after it. The time of day
//! may jump, and is used only for the due times of repeated jobs.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cowslipchute_base::id::Time;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since boot, including suspensions.
///
/// # Panics
///
/// Panics if the system lacks this clock, which every Linux since 2.6.39 has.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has this clock");
    Duration::from(time)
}

/// Returns the processor time that this thread has used.
///
/// # Panics
///
/// Panics if the system lacks this clock, which every Linux since 2.6.12 has.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the system has this clock");
    Duration::from(time)
}

/// Returns the time of day, since 1970.
pub fn wall() -> Duration {
    // A clock before 1970 has not been set yet; zero makes no job due.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
