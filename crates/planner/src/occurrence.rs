//! Repeated jobs: when their occurrences become due.
//!
//! Due times are in the time of day, which jumps; so the planner counts on the steady clock from
//! one reading of the time of day, and follows a later reading only if it stays.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;

use crate::command::Timer;
use crate::planner::Planner;

/// A difference below this is drift and followed at once.
const MAX_DRIFT: Duration = Duration::from_millis(100);
/// A larger one is followed when it has stayed for this long: the time of day may jump and jump
/// back within ten seconds.
const JUMP_CONFIRM_TIME: Duration = Duration::from_secs(20);

/// The time of day, counted on the steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WallClock {
    /// Time of day at the steady clock's zero.
    base: Option<Duration>,
    /// A reading that differs, and since when it has.
    deviates_since: Option<Time>,
}

impl WallClock {
    /// Takes in a reading of the time of day.
    pub(crate) fn update(&mut self, now: Time, wall: Duration) {
        let read = wall.saturating_sub(now);
        let Some(base) = self.base else {
            self.base = Some(read);
            return;
        };
        let drift = read.abs_diff(base) <= MAX_DRIFT;
        if drift || self.deviates_since.get_or_insert(now).saturating_add(JUMP_CONFIRM_TIME) <= now
        {
            self.base = Some(read);
            self.deviates_since = None;
        }
    }

    /// Returns when a time of day comes on the steady clock.
    fn steady_time(&self, wall: Duration) -> Option<Time> {
        Some(wall.saturating_sub(self.base?))
    }
}

impl Planner {
    /// Opens the occurrences of a job that have become due, and comes back for the next.
    pub(crate) fn open_due(&mut self, job: JobId) {
        let now = self.now;
        let calendar = self.wall_clock;
        let Some(state) = self.jobs.get_mut(&job) else { return };
        let mut opened = false;
        while let Some(due) = state.next_due() {
            let Some(at) = calendar.steady_time(due) else { return };
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
