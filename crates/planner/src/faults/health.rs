//! Quarantine of faulty workers.
//!
//! A worker that fails, refuses or stalls every run while it looks healthy attracts work because it
//! is always free. A task that fails everywhere must not make healthy workers look faulty, so a
//! failure counts against a worker only if the task hasn't failed elsewhere, and a finished task
//! resets the count.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Failures after which a worker is quarantined: three in a row are unlikely by chance where one
/// run in twenty fails.
const FAILURE_LIMIT: u32 = 3;
/// Duration of a worker's first quarantine.
const MIN_QUARANTINE: Duration = Duration::from_secs(2);
/// Maximum duration of a quarantine, so that a worker that has recovered is used again soon: a
/// service task that waits beside its capacity counts as lost seven seconds after the recovery.
const MAX_QUARANTINE: Duration = Duration::from_secs(5);

/// Recent results of a worker's runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    quarantine: Duration,
}

impl Health {
    /// Records a finished run.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.quarantine = Duration::ZERO;
    }

    /// Records a run that failed, stalled or was refused; returns the end of the quarantine if the
    /// worker is to be quarantined.
    pub(crate) fn record_failure(&mut self, now: Time) -> Option<Time> {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURE_LIMIT {
            return None;
        }
        // After the quarantine, one more failure renews it.
        self.consecutive_failures = FAILURE_LIMIT - 1;
        self.quarantine = (self.quarantine * 2).clamp(MIN_QUARANTINE, MAX_QUARANTINE);
        Some(now + self.quarantine)
    }
}
