//! Which tasks that last a step can spare.
//!
//! Pattern answered: tasks that last serve users of their own, who are served as long as only a few of
//! a step's tasks are away. Its client says how many; whatever the system does on its own keeps to
//! that, and a task counts as away from when its worker is to go down until it is at work again.

use std::collections::BTreeMap;

use cowslipchute_base::id;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::host::Reason;
use crate::host::Stage;
use crate::job::Place;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// Tasks of a step that may be away at once where its client doesn't say: the least that lets
/// anything be moved.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl Planner {
    /// Counts a worker's tasks that last by their steps.
    fn service_runs_by_step(&self, worker: WorkerId) -> BTreeMap<StepId, Vec<Run>> {
        let mut steps: BTreeMap<StepId, Vec<Run>> = BTreeMap::new();
        for run in self.workers[worker].runs_where(|hosted| hosted.long_running) {
            steps.entry(run.task.step_id()).or_default().push(run);
        }
        steps
    }

    /// Tells whether every step that lasts can spare its tasks on a worker, all at once.
    pub(crate) fn is_within_disruption_budget(&self, worker: WorkerId) -> bool {
        let steps = self.service_runs_by_step(worker);
        steps.iter().all(|(step, runs)| {
            self.unavailable_elsewhere(*step, worker) + runs.len() <= self.max_unavailable(*step)
        })
    }

    /// Moves a task off a worker that runs more of one step than may be away at once.
    pub(crate) fn move_excess_service_task(&mut self, worker: Option<WorkerId>) {
        let Some(worker) = worker else { return };
        for (step, runs) in self.service_runs_by_step(worker) {
            let most = self.max_unavailable(step);
            let Some(&run) = runs.last().filter(|_| runs.len() > most) else { continue };
            let moving = runs.iter().any(|run| {
                self.workers[worker].runs.get(run).is_some_and(|hosted| hosted.is_stopping())
            });
            if !moving && self.unavailable_elsewhere(step, worker) < most {
                self.avoid_worker(worker, run);
                self.stop_run(worker, run, Reason::WorkerDraining);
            }
        }
    }

    /// Returns how many tasks of a step its client allows to be away at once.
    fn max_unavailable(&self, step: StepId) -> usize {
        let job = self.jobs.get(&step.job);
        let most = job.and_then(|job| job.spec(step.step).max_unavailable);
        most.unwrap_or(DEFAULT_MAX_UNAVAILABLE) as usize
    }

    /// Counts a step's tasks that aren't at work, or soon won't be, beside those on one worker.
    fn unavailable_elsewhere(&self, step: StepId, beside: WorkerId) -> usize {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| state.tasks.iter().enumerate());
        let elsewhere = tasks.filter(|(_, task)| task.place != Place::At(beside));
        let away = elsewhere.filter(|(index, task)| {
            let id = step.task(*index as id::TaskIndex);
            !self.is_available(id, task.place, task.attempt)
        });
        away.count()
    }

    fn is_available(&self, task: TaskId, place: Place, attempt: id::Attempt) -> bool {
        let Place::At(worker) = place else { return false };
        let Some(worker) = self.workers.get(worker) else { return false };
        if worker.draining_for_maintenance || !worker.answers() {
            return false;
        }
        worker.runs.get(&Run { task, attempt }).is_some_and(|hosted| {
            matches!(hosted.stage, Stage::Running { .. }) && hosted.progress >= 100
        })
    }
}
