//! Whether a worker spoils what it is given.
//!
//! Pattern answered: a worker that fails, refuses or stalls all it starts while it looks well, and
//! draws work because it is always free. A task that fails everywhere must not make good workers
//! look bad, so a failure counts only against a worker if the task has not failed elsewhere, and a
//! finished task wipes strikes out.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Strikes after which a worker is left alone: three in a row without a success are rare by chance
/// where one run in twenty fails.
const STRIKES: u32 = 3;
/// First pause of a worker that is left alone.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause; a worker that is well again is back in use soon after.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// What is known of a worker's recent runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    strikes: u32,
    pause: Duration,
}

impl Health {
    /// A run finished.
    pub(crate) fn succeed(&mut self) {
        self.strikes = 0;
        self.pause = Duration::ZERO;
    }

    /// A run failed, stalled or was refused; returns until when the worker is left alone, if it
    /// should be.
    pub(crate) fn strike(&mut self, now: Time) -> Option<Time> {
        self.strikes += 1;
        if self.strikes < STRIKES {
            return None;
        }
        // One more strike after the pause is enough to renew it.
        self.strikes = STRIKES - 1;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        Some(now + self.pause)
    }
}
