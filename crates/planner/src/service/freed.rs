//! Returning service tasks that take capacity as soon as it is free.
//!
//! Load pattern: a full cell in which service tasks wait to return, and service jobs end. A
//! placement pass gives returning tasks their capacity first, but the next pass may be a tenth of a
//! second away, and until then an observer sees the capacity of all tasks of the job that has ended
//! as free. So between two passes returning tasks are placed on the workers whose runs have ended.
//! They take no more than a pass would give them: the fraction of the cell that service tasks held
//! ([`crate::capacity::quota`]).

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::queue::job::Job;
use crate::queue::task::Task;
use crate::service::way::Way;
use crate::workers::host::Hosted;
use crate::workers::worker::WorkerId;

/// Workers on which runs have ended since the last placement pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freed {
    pub(crate) workers: Vec<WorkerId>,
    /// Whether one of the runs was that of a service task, however it ended. The tasks of a service
    /// job that ends leave their workers within a moment of each other.
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
        let is_open = |&id: &WorkerId| self.workers.get(id).is_some_and(|it| self.is_open(it));
        let freed: Vec<WorkerId> = freed.into_iter().filter(is_open).collect();
        if freed.is_empty() {
            return 0;
        }
        // An observer may look before the reservations are used.
        self.update_watches();
        self.place_overdue();
        // What is left of a worker that is reserved for another step is free once that is placed.
        // The task that is placed may itself be a returning one.
        self.use_reservations();
        let tasks = self.returning_tasks();
        if tasks.is_empty() {
            return 0;
        }
        let open = self.open_workers();
        self.update_quota(open.iter().flat_map(|(_, workers)| workers).copied());
        let mut placed = 0;
        let mut refused: SmallVec<[Amount; 4]> = SmallVec::new();
        for task in tasks {
            if !self.start_limiter.allows(self.now) || !self.start_window.admits(task.job) {
                break;
            }
            placed += usize::from(self.place_on(task, &freed, &mut refused));
        }
        placed
    }

    /// Places a task on one of these workers, unless a demand that is no larger found none. Returns
    /// `true` if it was placed.
    fn place_on(
        &mut self,
        task: TaskId,
        freed: &[WorkerId],
        refused: &mut SmallVec<[Amount; 4]>,
    ) -> bool {
        let accepted = self.jobs[&task.job].accepted.clone();
        let spec = &accepted.spec.steps[usize::from(task.step)];
        let is_refused = refused.iter().any(|demand| demand.fits_within(spec.demand));
        if is_refused || !self.quota.allows(spec) {
            return false;
        }
        let service = self.service(task.job);
        let own = freed.iter().filter(|&&id| self.workers[id].service == service);
        let own: Vec<WorkerId> = own.copied().collect();
        self.scores += own.len() as u64;
        let Some(worker) = self.choose(task, spec, &own) else {
            if spec.required_label.is_none() && spec.max_per_worker == 0 && !own.is_empty() {
                refused.push(spec.demand);
            }
            return false;
        };
        self.assign(task, worker);
        self.log_service_placement(task, worker, Way::Quota);
        true
    }

    /// Returns the service tasks that have run before and may be started on any worker, those that
    /// have waited longest first. Jobs of a higher priority that wait go first, in the next pass.
    fn returning_tasks(&self) -> Vec<TaskId> {
        let waiting = || self.waiting.iter().filter_map(|&id| Some((id, self.jobs.get(&id)?)));
        let first = waiting().map(|(_, job)| job.policy.priority).min();
        let mut returning: Vec<(Time, TaskId)> = Vec::new();
        for (id, job) in waiting() {
            if job.has_service_step() && Some(job.policy.priority) == first {
                self.add_returning(id, job, &mut returning);
            }
        }
        returning.sort_unstable();
        returning.into_iter().map(|(_, task)| task).collect()
    }

    fn add_returning(&self, id: JobId, job: &Job, returning: &mut Vec<(Time, TaskId)>) {
        for step in job.waiting_steps(id) {
            let Some(state) = job.step(step) else { continue };
            if !self.is_placed_anywhere(step, job.spec(step.step)) {
                continue;
            }
            let tasks = (0..).map(|index| step.task(index)).zip(&state.tasks);
            let ready = tasks.filter(|(id, task)| self.is_returning(*id, task));
            returning.extend(ready.map(|(id, task)| (task.waiting_since, id)));
        }
    }

    /// Returns `true` if tasks of a service step may be started on any worker with the capacity.
    fn is_placed_anywhere(&self, step: StepId, spec: &Step) -> bool {
        let is_advised = self.queue(step.job).is_some_and(|queue| queue.advice.is_some());
        let is_near = spec.data_rack.is_some() || spec.same_rack;
        spec.long_running && !spec.gang && !is_near && !is_advised
    }

    /// Returns `true` if a task has run before and may be started now. The pass chooses workers for
    /// tasks that may crash them.
    fn is_returning(&self, id: TaskId, task: &Task) -> bool {
        task.attempt > 0
            && task.is_ready(self.now)
            && task.crashed.is_empty()
            && !self.is_pinned(id)
    }
}
