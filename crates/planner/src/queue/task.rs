//! State of a task.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;

use crate::queue::policy::UNLIMITED_ATTEMPTS;
use crate::records::bound::MIN_KEPT_FAILURES;
use crate::records::record::Attempts;
use crate::workers::worker::WorkerId;

/// Placement of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Not assigned; it may be started once its step is open.
    Waiting,
    /// Assigned to a worker, on which it may be running.
    At(WorkerId),
    /// It has finished its work.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Highest attempt number used.
    pub(crate) attempt: id::Attempt,
    /// Attempts that failed.
    pub(crate) failed: Attempts,
    /// Attempts whose worker crashed right after their start, since the task was last cleared.
    pub(crate) crashed: Attempts,
    /// Checkpoint to resume from.
    pub(crate) checkpoint: Option<id::Checkpoint>,
    /// Where the task is placed.
    pub(crate) place: Place,
    /// Since when it has been waiting, if it waits.
    pub(crate) waiting_since: Time,
    /// Earliest time of its next start.
    pub(crate) not_before: Time,
    /// Worker on which it last failed or stalled, which is avoided for the next run.
    pub(crate) avoided_worker: Option<WorkerId>,
}

impl Task {
    /// Records a failed attempt. Where nothing limits failures the earliest is dropped, so that the
    /// job's record keeps within its bound.
    pub(super) fn record_failure(&mut self, attempt: id::Attempt, max_attempts: u32) {
        let is_limited = max_attempts != UNLIMITED_ATTEMPTS;
        if !is_limited && self.failed.len() >= MIN_KEPT_FAILURES as usize {
            self.failed.remove(0);
        }
        self.failed.push(attempt);
    }

    pub(super) fn new(now: Time) -> Task {
        Task {
            attempt: 0,
            failed: Attempts::new(),
            crashed: Attempts::new(),
            checkpoint: None,
            place: Place::Waiting,
            waiting_since: now,
            not_before: Time::ZERO,
            avoided_worker: None,
        }
    }
}
