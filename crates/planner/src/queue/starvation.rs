//! Starving jobs: those that have had nothing running for a while.
//!
//! A job counts as lost if it has nothing running for three seconds although most of the cell is
//! free. So it gets one task placed where its work isn't worth the cost, or beyond a limit on
//! starts.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::workers::worker::WorkerId;

/// Time for which a job has nothing running before it counts as starving.
const STARVATION_DELAY: Duration = Duration::from_millis(1200);

impl Planner {
    /// Returns `true` if a step's job has had nothing running for a while.
    pub(crate) fn is_starving(&self, step: StepId) -> bool {
        let job = &self.jobs[&step.job];
        let mut tasks = job.steps(step.job).flat_map(|(_, state)| &state.tasks);
        if tasks.any(|task| matches!(task.place, Place::At(_))) {
            return false;
        }
        let waiting = job.step(step).into_iter().flat_map(|state| &state.tasks);
        let waiting = waiting.filter(|task| task.place == Place::Waiting);
        waiting
            .map(|task| task.waiting_since)
            .min()
            .is_some_and(|since| self.now >= since + STARVATION_DELAY)
    }

    /// Returns since when the oldest task has waited of a job that has had nothing running for a
    /// while, or of a service step with a task that has waited for as long.
    pub(crate) fn starving_since(&self, id: JobId) -> Option<Time> {
        let job = &self.jobs[&id];
        let steps = job.waiting_steps(id).into_iter();
        let starving =
            steps.filter(|&step| job.spec(step.step).long_running || self.is_starving(step));
        let tasks = starving.filter_map(|step| job.step(step)).flat_map(|state| &state.tasks);
        let waiting = tasks.filter(|task| task.place == Place::Waiting);
        let since = waiting.map(|task| task.waiting_since).min()?;
        (self.now >= since + STARVATION_DELAY).then_some(since)
    }

    /// Places one task of a step that found no worker where its work is worth the cost, on the
    /// worker where it costs the least.
    pub(crate) fn place_starving(&mut self, step: StepId, spec: &Step, open: &[WorkerId]) {
        if !self.is_starving(step) {
            return;
        }
        let Some(state) = self.jobs[&step.job].step(step) else { return };
        let free = |index: u32| !self.is_pinned(step.task(index));
        let ready = |&(index, task): &(u32, &Task)| task.is_ready(self.now) && free(index);
        let tasks = || (0..).zip(&state.tasks).filter(ready);
        let trusted = tasks().find(|(_, task)| !task.is_on_probation());
        let Some((index, task)) = trusted.or_else(|| tasks().next()) else { return };
        let probation_workers =
            task.is_on_probation().then(|| self.probation_workers(task.waiting_since, open, None));
        let open = probation_workers.as_deref().unwrap_or(open);
        let id = step.task(index);
        if let Some(worker) =
            self.least_cost_worker(&Request::new(&self.interference, id, spec), open)
        {
            self.assign(id, worker);
            self.refresh_colocation(worker);
        }
    }

    /// Returns the worker with free capacity for a best-effort task on which the task costs the
    /// least, even if it isn't worth that cost.
    pub(crate) fn least_cost_worker(
        &self,
        request: &Request<'_>,
        open: &[WorkerId],
    ) -> Option<WorkerId> {
        let with_room = open.iter().filter(|&&id| self.has_room(&self.workers[id], request));
        let cost = |id: WorkerId| self.interference_cost(&self.workers[id], request);
        with_room.min_by(|&&a, &&b| cost(a).total_cmp(&cost(b))).copied()
    }
}
