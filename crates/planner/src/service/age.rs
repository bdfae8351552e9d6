//! Age of the waits of service tasks.
//!
//! What may keep a service task waiting depends on how long it has waited ([`crate::service::order`]). So
//! the wait begins with the end of its last run, or with its job, and nothing else begins it anew:
//! neither an attempt that was withdrawn, refused or lost before it began, nor a new owner. The
//! job's record holds when each wait began, as wall-clock time.
//!
//! The clocks of two owners may differ, so an inherited age may be wrong. That is harmless: the age
//! decides which capacity a task may take, never whether it may run elsewhere.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;

use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::records::record::Wait;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;

/// Time after which a service task that waits beside free capacity counts as lost.
pub(crate) const LONG_WAIT: Duration = Duration::from_secs(3);
/// Age from which a task that has run before is owed: an observer that looks at it at intervals
/// expects it back. A second less than observers allow, for the next pass and the start.
const OWED_AGE: Duration = Duration::from_secs(5);
/// Maximum age that a wait has at a takeover. It makes a task overdue, and leaves most of the time
/// for which short jobs yield to it, also if the previous owner's clock was behind.
const MAX_INHERITED_AGE: Duration = Duration::from_secs(10);

impl Hosted {
    /// Returns `true` if the run ended before it was known to have begun.
    pub(crate) fn never_began(&self) -> bool {
        matches!(self.stage, Stage::Intended { .. } | Stage::Starting { .. })
    }
}

impl Planner {
    /// Returns for how long a task has waited.
    pub(crate) fn age(&self, task: &Task) -> Duration {
        self.now.saturating_sub(task.waiting_since)
    }

    /// Returns `true` if a task waits and has waited for long.
    pub(crate) fn is_overdue(&self, task: &Task) -> bool {
        task.place == Place::Waiting && self.age(task) >= LONG_WAIT
    }

    /// Returns `true` if a waiting task that has run before should be back by now.
    pub(crate) fn is_owed(&self, task: &Task) -> bool {
        task.place == Place::Waiting && task.attempt > 0 && self.age(task) >= OWED_AGE
    }

    /// Returns the waits of a job's service tasks, for its record.
    pub(crate) fn waits(&self, id: JobId) -> Vec<Wait> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let steps = job.steps(id).filter(|(step, _)| job.spec(step.step).long_running);
        let tasks = steps
            .flat_map(|(step, state)| (0..).map(move |index| step.task(index)).zip(&state.tasks));
        let waiting = tasks.filter(|(_, task)| task.place == Place::Waiting);
        waiting
            .filter_map(|(task, state)| {
                let since = self.wall_clock.wall_time(state.waiting_since)?;
                Some(Wait::new(task, since))
            })
            .collect()
    }

    /// Restores when the waits of a job's tasks began under previous owners.
    pub(crate) fn restore_waits(&mut self, id: JobId, waits: &[Wait]) {
        let oldest = self.now.saturating_sub(MAX_INHERITED_AGE);
        for wait in waits {
            let step = StepId { job: id, occurrence: wait.occurrence, step: wait.step };
            let Some(since) = self.wall_clock.monotonic_time(wait.since()) else { return };
            let since: Time = since.clamp(oldest, self.now);
            let Some(job) = self.jobs.get_mut(&id) else { return };
            let is_waiting = |task: &Task| task.place == Place::Waiting;
            if job.task(step.task(wait.index)).is_some_and(is_waiting) {
                job.task_mut(step.task(wait.index)).waiting_since = since;
            }
        }
    }
}
