//! Opens the occurrences of scheduled jobs when they become due.
//!
//! Due times are wall-clock times, and the wall clock may jump. The planner therefore derives the
//! wall clock from the monotonic clock and one reading, and adopts a deviating reading only if the
//! deviation persists.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;

use crate::planner::Planner;
use crate::workers::command::Timer;

/// A deviation up to this is drift and is adopted immediately.
const MAX_DRIFT: Duration = Duration::from_millis(100);
/// Time for which a larger deviation must persist to be adopted: the wall clock may jump and jump
/// back within ten seconds.
const JUMP_CONFIRM_TIME: Duration = Duration::from_secs(20);

/// The wall clock, derived from the monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WallClock {
    /// Wall-clock time at the zero of the monotonic clock.
    base: Option<Duration>,
    /// Since when the readings have deviated.
    deviates_since: Option<Time>,
}

impl WallClock {
    /// Updates the estimate with a reading of the wall clock.
    pub(crate) fn update(&mut self, now: Time, wall: Duration) {
        let new_base = wall.saturating_sub(now);
        let Some(base) = self.base else {
            self.base = Some(new_base);
            return;
        };
        let is_drift = new_base.abs_diff(base) <= MAX_DRIFT;
        if is_drift
            || self.deviates_since.get_or_insert(now).saturating_add(JUMP_CONFIRM_TIME) <= now
        {
            self.base = Some(new_base);
            self.deviates_since = None;
        }
    }

    /// Converts a wall-clock time to the monotonic clock.
    pub(crate) fn monotonic_time(&self, wall: Duration) -> Option<Time> {
        Some(wall.saturating_sub(self.base?))
    }

    /// Converts a monotonic time to the wall clock.
    pub(crate) fn wall_time(&self, time: Time) -> Option<Duration> {
        Some(self.base? + time)
    }
}

impl Planner {
    /// Opens the occurrences of a job that have become due, and sets a timer for the next one.
    pub(crate) fn open_due(&mut self, job: JobId) {
        let now = self.now;
        let wall_clock = self.wall_clock;
        let Some(state) = self.jobs.get_mut(&job) else { return };
        let mut opened = false;
        while let Some(due) = state.next_due() {
            let Some(at) = wall_clock.monotonic_time(due) else { return };
            if at > now {
                self.timers.insert((at, Timer::Occurrence(job)));
                break;
            }
            state.open_occurrence(now);
            opened = true;
        }
        if opened {
            self.waiting.insert(job);
            self.room_changed = true;
        }
    }
}
