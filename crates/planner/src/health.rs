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
const FAILURE_LIMIT: u32 = 3;
/// First pause of a worker that is left alone.
const MIN_QUARANTINE: Duration = Duration::from_secs(2);
/// Longest pause; a worker that is well again is back in use soon after.
const MAX_QUARANTINE: Duration = Duration::from_secs(8);

/// What is known of a worker's recent runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    quarantine: Duration,
}

impl Health {
    /// A run finished.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.quarantine = Duration::ZERO;
    }

    /// A run failed, stalled or was refused; returns until when the worker is left alone, if it
    /// should be.
    pub(crate) fn record_failure(&mut self, now: Time) -> Option<Time> {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURE_LIMIT {
            return None;
        }
        // One more strike after the pause is enough to renew it.
        self.consecutive_failures = FAILURE_LIMIT - 1;
        self.quarantine = (self.quarantine * 2).clamp(MIN_QUARANTINE, MAX_QUARANTINE);
        Some(now + self.quarantine)
    }
}
