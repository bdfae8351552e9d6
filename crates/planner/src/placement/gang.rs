//! Steps whose tasks work only together.
//!
//! Half a gang reserves capacity and does nothing. So a gang is placed as a whole or not at all,
//! all its runs share one attempt, and when one of them ends without being done, the rest is
//! stopped at once. One run that ends done completes the whole gang.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::service::decision::Gate;
use crate::service::way::Way;
use crate::workers::host::Reason;
use crate::workers::worker::WorkerId;

impl Planner {
    /// Places a whole gang or none of it; returns what kept it waiting, if anything did. A starving
    /// best-effort gang is placed where it costs the least, even if it isn't worthwhile there.
    pub(crate) fn place_gang(
        &mut self,
        step: StepId,
        spec: &Step,
        open: &[WorkerId],
        is_starving: bool,
    ) -> Option<Gate> {
        let Some(state) = self.jobs[&step.job].step(step) else { return Some(Gate::GangRoom) };
        if !state.tasks.iter().all(|task| task.is_ready(self.now)) {
            return Some(Gate::GangMembers);
        }
        let since = self.probation_since(step);
        let suitable = since.map(|since| self.probation_workers(since, open, None));
        let usable = suitable.as_deref().unwrap_or(open);
        if self.count_slots(step, spec, usable, is_starving) < u64::from(spec.count) {
            let Some(since) = since else { return Some(Gate::GangRoom) };
            self.isolate_workers(step, spec, since, open);
            return Some(Gate::Probation);
        }
        let open = usable;
        let attempt = state.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
        let checkpoint = state.tasks.iter().find_map(|task| task.checkpoint.clone());
        let mut placed = Vec::with_capacity(spec.count as usize);
        for task in self.pinned_first(step, spec.count) {
            let pinned = self.is_pinned(task).then(|| self.pinned_open(task, open));
            let open = pinned.as_deref().unwrap_or(open);
            let chosen = match is_starving {
                true => self.least_cost_worker(&Request::new(&self.interference, task, spec), open),
                false => self.choose(task, spec, open),
            };
            let Some(worker) = chosen else {
                // Interference with latency-critical tasks only becomes known as tasks are placed
                // one by one.
                self.roll_back_placements(&placed);
                return Some(Gate::GangRoom);
            };
            if let Some(job) = self.jobs.get_mut(&step.job) {
                let member = job.task_mut(task);
                member.attempt = attempt - 1;
                member.checkpoint = checkpoint.clone();
            }
            self.assign(task, worker);
            if spec.best_effort {
                self.refresh_colocation(worker);
            }
            placed.push((worker, Run { task, attempt }));
        }
        for (worker, run) in placed {
            self.log_service_placement(run.task, worker, Way::Gang);
        }
        None
    }

    /// Returns the tasks of a step, pinned ones first: they have only one worker to go to.
    fn pinned_first(&self, step: StepId, count: u32) -> Vec<TaskId> {
        let mut tasks: Vec<TaskId> = (0..count).map(|index| step.task(index)).collect();
        tasks.sort_by_key(|&task| !self.is_pinned(task));
        tasks
    }

    /// Returns the worker that a task is pinned to, if it is one of `open` and holds no run of the
    /// task.
    fn pinned_open(&self, task: TaskId, open: &[WorkerId]) -> Vec<WorkerId> {
        let takes = |id: &WorkerId| open.contains(id) && !self.has_run_of(*id, task);
        self.pinned_worker(task).filter(takes).into_iter().collect()
    }

    /// Reverts placements of the current pass.
    fn roll_back_placements(&mut self, placed: &[(WorkerId, Run)]) {
        for &(worker, run) in placed {
            self.workers[worker].remove_run(run);
            let payload = self.jobs.get(&run.task.job).map(|job| job.accepted.spec.payload.len());
            self.start_limiter.refund(payload.unwrap_or(0));
            if let Some(job) = self.jobs.get_mut(&run.task.job) {
                job.task_mut(run.task).attempt = run.attempt - 1;
                job.move_task(run.task, Place::Waiting);
            }
        }
    }

    /// Counts the tasks of a step for which there is room; for a starving step also where they
    /// aren't worthwhile.
    pub(crate) fn count_slots(
        &self,
        step: StepId,
        spec: &Step,
        open: &[WorkerId],
        is_starving: bool,
    ) -> u64 {
        let request = Request::new(&self.interference, step.task(0), spec);
        let slots = open.iter().map(|&id| {
            let worker = &self.workers[id];
            let takes = match is_starving {
                true => self.has_room(worker, &request),
                false => self.may_take(worker, &request),
            };
            if !takes {
                return 0;
            }
            let room = fit_count(spec, worker.room());
            match spec.max_per_worker {
                0 => room,
                per_worker => {
                    room.min(u64::from(per_worker.saturating_sub(worker.count_tasks(step.task(0)))))
                }
            }
        });
        slots.sum()
    }

    /// Stops the remaining runs of a gang after a member has ended.
    pub(crate) fn stop_gang(&mut self, ended: Run) {
        for (worker, run) in self.placed_members(ended) {
            self.stop_run(worker, run, Reason::Gang);
        }
    }

    /// Completes a gang after one of its members has ended done.
    pub(crate) fn complete_gang(&mut self, worker: WorkerId, ended: Run) {
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        let step = ended.task.step_id();
        let count = job.step(step).map_or(0, |state| state.tasks.len());
        let was_done = job.step(step).map_or(0, |state| state.done as usize);
        for index in 0..count {
            let task = step.task(index as id::TaskIndex);
            if job.task(task).is_some_and(|task| task.place != Place::Done) {
                job.move_task(task, Place::Done);
            }
        }
        job.open_steps();
        if job.has_waiting() {
            self.waiting.insert(step.job);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.health.record_success();
        }
        self.record_completion(step, count - was_done);
    }

    /// Returns the runs of the same gang that still have a place.
    fn placed_members(&self, ended: Run) -> Vec<(WorkerId, Run)> {
        let step = ended.task.step_id();
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| state.tasks.iter().enumerate());
        tasks
            .filter_map(|(index, task)| match task.place {
                Place::At(worker) => {
                    let id = step.task(index as id::TaskIndex);
                    Some((worker, Run { task: id, attempt: task.attempt }))
                }
                Place::Waiting | Place::Done => None,
            })
            .collect()
    }
}

/// Returns how many tasks of a step fit into `room`, at most as many as the step has.
pub(crate) fn fit_count(spec: &Step, room: Amount) -> u64 {
    let times = |room: u32, each: u32| room.checked_div(each).map_or(u64::MAX, u64::from);
    let cpu =
        if spec.best_effort { u64::MAX } else { times(room.cpu_milli, spec.demand.cpu_milli) };
    let memory = times(room.memory_mib, spec.demand.memory_mib);
    let accelerators = times(room.accelerators.into(), spec.demand.accelerators.into());
    cpu.min(memory).min(accelerators).min(u64::from(spec.count))
}
