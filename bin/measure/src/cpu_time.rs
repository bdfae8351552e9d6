//! Processor time of the calling thread, which excludes other work of the machine.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Readings over which the cost of one is averaged.
const READING_COUNT: u32 = 10_000;

/// Returns the processor time that this thread has used.
///
/// # Panics
///
/// Panics if the system has no per-thread clock. Every Linux has one.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("the system has a per-thread clock"))
}

/// Measures the processor time of one reading, to be subtracted from timings of short steps.
pub fn reading_cost() -> Duration {
    let before = now();
    for _ in 0..READING_COUNT {
        std::hint::black_box(now());
    }
    (now() - before) / READING_COUNT
}
