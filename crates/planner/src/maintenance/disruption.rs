//! Disruption budgets of service tasks.
//!
//! Service tasks have users of their own, who are served as long as only a few of a step's tasks
//! are unavailable. The client sets that limit, and whatever the system does on its own respects
//! it. A task counts as unavailable from the time when its worker is to shut down until it is
//! available again.

use std::collections::BTreeMap;

use cowslipchute_base::id;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::planner::Planner;
use crate::queue::task::Place;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::WorkerId;

/// Number of a step's tasks that may be unavailable at once if its client sets no limit: the
/// minimum with which a task can be moved at all.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl Planner {
    /// Groups a worker's service tasks by step.
    fn service_runs_by_step(&self, worker: WorkerId) -> BTreeMap<StepId, Vec<Run>> {
        let mut steps: BTreeMap<StepId, Vec<Run>> = BTreeMap::new();
        for run in self.workers[worker].runs_where(|hosted| hosted.long_running) {
            steps.entry(run.task.step_id()).or_default().push(run);
        }
        steps
    }

    /// Returns `true` if every service step can spare all its tasks on a worker at once.
    pub(crate) fn is_within_disruption_budget(&self, worker: WorkerId) -> bool {
        let steps = self.service_runs_by_step(worker);
        steps.iter().all(|(step, runs)| {
            self.unavailable_elsewhere(*step, worker) + runs.len() <= self.max_unavailable(*step)
        })
    }

    /// Moves a task off a worker that runs more tasks of one step than may be unavailable at once.
    /// It has to be able to run elsewhere: otherwise it would be started there again and moved again,
    /// and the worker would be no closer to its maintenance.
    pub(crate) fn move_excess_service_task(&mut self, worker: Option<WorkerId>) {
        let Some(worker) = worker else { return };
        for (step, runs) in self.service_runs_by_step(worker) {
            let max_tasks = self.max_unavailable(step);
            if runs.len() <= max_tasks || !self.has_place_elsewhere(step, worker) {
                continue;
            }
            let moving = runs.iter().any(|run| {
                self.workers[worker].runs.get(run).is_some_and(|hosted| hosted.is_stopping())
            });
            let available =
                |run: &&Run| self.is_available(run.task, Place::At(worker), run.attempt);
            // Before a start is answered, a stop takes seconds: the run has to be missing from the reports.
            let Some(&run) = runs.iter().rfind(available) else { continue };
            let unavailable_here = runs.len() - runs.iter().filter(available).count();
            let unavailable = self.unavailable_elsewhere(step, worker) + unavailable_here;
            if !moving && unavailable < max_tasks {
                self.avoid_worker(worker, run);
                self.stop_run(worker, run, Reason::WorkerDraining);
            }
        }
    }

    /// Returns `true` if a worker other than `except` has room for a task of a service step once its
    /// short tasks have ended.
    fn has_place_elsewhere(&self, step: StepId, except: WorkerId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let demand = job.spec(step.step).demand;
        let service = self.service(step.job);
        self.workers.iter().any(|(id, worker)| {
            id != except
                && worker.service == service
                && self.is_usable(worker)
                && !worker.draining_for_maintenance
                && demand.fits_within(worker.capacity.minus(worker.reserved_by_services))
        })
    }

    /// Returns how many tasks of a step its client allows to be unavailable at once.
    fn max_unavailable(&self, step: StepId) -> usize {
        let job = self.jobs.get(&step.job);
        let max_tasks = job.and_then(|job| job.spec(step.step).max_unavailable);
        max_tasks.unwrap_or(DEFAULT_MAX_UNAVAILABLE) as usize
    }

    /// Counts a step's tasks that are unavailable, or soon will be, except for those on one worker.
    fn unavailable_elsewhere(&self, step: StepId, except: WorkerId) -> usize {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| state.tasks.iter().enumerate());
        let elsewhere = tasks.filter(|(_, task)| task.place != Place::At(except));
        let unavailable = elsewhere.filter(|(index, task)| {
            let id = step.task(*index as id::TaskIndex);
            !self.is_available(id, task.place, task.attempt)
        });
        unavailable.count()
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
