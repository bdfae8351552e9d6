//! Room that service tasks get back from short jobs which are lost already.
//!
//! Load pattern: workers are gone for good in a full cell, and what they ran comes back into a backlog. Short jobs that
//! can't be done any more before they count as lost take the room by turns, each turn as soon as the one before has
//! ended; a service task, which takes only what stays free ([`crate::idle`]), then waits until the backlog is done, long
//! after the load has ended. So once a service task that has run before has waited for a moment, lost short jobs are
//! passed over. Not while most of the cell is free, and not for ever: a task that fits nowhere must not hold them up.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;

use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;

/// How long a service task waits to come back before lost jobs are passed over: most find room within less.
const RECLAIM_AFTER: Duration = Duration::from_millis(1000);
/// How long lost jobs are passed over for a task that still waits. One that fits nowhere holds them up no longer.
const RECLAIM_TIME: Duration = Duration::from_secs(30);

impl Planner {
    /// Notes the service of a service step that lost jobs are to make way for, once.
    pub(crate) fn note_reclaiming(&self, step: StepId, reclaiming: &mut Vec<id::Service>) {
        let service = self.service(step.job);
        if !reclaiming.contains(&service) && self.reclaims(step) {
            reclaiming.push(service);
        }
    }

    /// Returns `true` if a task of a service step waits to come back and lost jobs are to make way for it.
    fn reclaims(&self, step: StepId) -> bool {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let mut tasks = state.into_iter().flat_map(|state| &state.tasks);
        let returns =
            |task: &Task| task.place == Place::Waiting && task.attempt > 0 && self.is_turn(task);
        tasks.any(returns)
    }

    fn is_turn(&self, task: &Task) -> bool {
        let waited = self.now.saturating_sub(task.waiting_since);
        (RECLAIM_AFTER..RECLAIM_AFTER + RECLAIM_TIME).contains(&waited)
    }

    /// Returns `true` if a job makes way for service tasks of the same service.
    pub(crate) fn makes_way(&self, id: JobId, reclaiming: &[id::Service]) -> bool {
        if reclaiming.is_empty() || !reclaiming.contains(&self.service(id)) {
            return false;
        }
        let job = &self.jobs[&id];
        let mut steps = job.accepted.spec.steps.iter();
        steps.all(|step| !step.long_running && !step.fills) && self.is_lost(job)
    }
}
