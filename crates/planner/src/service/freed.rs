//! Returning service tasks that take capacity as soon as it is free.
//!
//! Load pattern: a full cell in which service tasks wait to return, and service jobs end. A
//! placement pass gives returning tasks their capacity before anything else, but the next pass may
//! be a tenth of a second away, and until then an observer sees the capacity of all tasks of the
//! job that has ended as free. So between two passes returning tasks are placed on the workers
//! whose runs have ended, as far as their capacity is given back anyway
//! ([`crate::capacity::quota`]).

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Task;
use crate::service::way::Way;
use crate::workers::host::Hosted;
use crate::workers::worker::WorkerId;

/// Workers on which runs have ended since the last placement pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freed {
    pub(crate) workers: Vec<WorkerId>,
    /// Whether one of the runs was that of a service task. The tasks of a service job that ends
    /// leave their workers within a moment of each other.
    pub(crate) by_service: bool,
}

impl Planner {
    /// Records that a run which reserved CPU has ended on a worker.
    pub(crate) fn record_freed(&mut self, worker: WorkerId, hosted: &Hosted) {
        self.freed.by_service |= hosted.long_running;
        if !self.freed.workers.contains(&worker) {
            self.freed.workers.push(worker);
        }
    }

    /// Places returning service tasks on the workers whose runs have ended since the last pass,
    /// those that have waited longest first. Returns the number of tasks placed.
    pub(crate) fn place_on_freed(&mut self) -> usize {
        let freed = std::mem::take(&mut self.freed).workers;
        let tasks = self.returning_tasks();
        if tasks.is_empty() {
            return 0;
        }
        let open = self.open_workers();
        self.update_quota(open.iter().flat_map(|(_, workers)| workers).copied());
        let mut placed = 0;
        for task in tasks {
            if !self.start_limiter.allows(self.now) || !self.start_window.admits(task.job) {
                break;
            }
            placed += usize::from(self.place_on(task, &freed));
        }
        placed
    }

    /// Places a task on one of these workers, if it fits. Returns `true` if it did.
    fn place_on(&mut self, task: TaskId, freed: &[WorkerId]) -> bool {
        let accepted = self.jobs[&task.job].accepted.clone();
        let spec = &accepted.spec.steps[usize::from(task.step)];
        if !self.quota.allows(spec) {
            return false;
        }
        let service = self.service(task.job);
        let request = Request::new(&self.interference, task, spec);
        let fits = |&&id: &&WorkerId| {
            self.workers.get(id).is_some_and(|worker| {
                worker.service == service && self.is_open(worker) && self.may_take(worker, &request)
            })
        };
        let Some(&worker) = freed.iter().find(fits) else { return false };
        self.assign(task, worker);
        self.log_service_placement(task, worker, Way::Quota);
        true
    }

    /// Returns the service tasks that have run before and may be started on any worker, those that
    /// have waited longest first.
    fn returning_tasks(&self) -> Vec<TaskId> {
        let mut returning: Vec<(Time, TaskId)> = Vec::new();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id).filter(|job| job.has_service_step()) else {
                continue;
            };
            for step in job.waiting_steps(id) {
                let spec = job.spec(step.step);
                let Some(state) = job.step(step).filter(|_| self.is_placed_anywhere(step, spec))
                else {
                    continue;
                };
                let tasks = (0..).map(|index| step.task(index)).zip(&state.tasks);
                let ready = tasks.filter(|(id, task)| self.is_returning(*id, task));
                returning.extend(ready.map(|(id, task)| (task.waiting_since, id)));
            }
        }
        returning.sort_unstable();
        returning.into_iter().map(|(_, task)| task).collect()
    }

    /// Returns `true` if tasks of a service step may be started on any worker with the capacity.
    fn is_placed_anywhere(&self, step: StepId, spec: &Step) -> bool {
        let is_advised = self.queue(step.job).is_some_and(|queue| queue.advice.is_some());
        let is_near = spec.data_rack.is_some() || spec.same_rack;
        spec.long_running && !spec.gang && !is_near && !is_advised
    }

    fn is_returning(&self, id: TaskId, task: &Task) -> bool {
        task.attempt > 0
            && task.is_ready(self.now)
            && !task.is_on_probation()
            && !self.is_pinned(id)
    }
}
