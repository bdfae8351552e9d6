//! Capacity that service tasks get back from short jobs that can no longer finish in time.
//!
//! When workers are gone for good in a full cell, the short jobs of the backlog take the free
//! capacity in turn, and a service task, which takes only what stays free ([`crate::capacity::idle`]), would
//! wait until the backlog is done, long after the load has ended. So a returning service task
//! bypasses lost short jobs after a moment, and late ones later. Nothing is bypassed while most of
//! the cell is free, nor indefinitely, and jobs that can be in time never yield.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::capacity::reservation::Unplaced;
use crate::planner::Planner;
use crate::queue::job::Job;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::service::way::Way;
use crate::workers::worker::WorkerId;

/// Time for which a returning service task waits before lost jobs are bypassed. Most are placed
/// sooner.
const RECLAIM_DELAY: Duration = Duration::from_millis(1000);
/// Time for which it waits before late jobs, which still have some value, are bypassed too.
const RECLAIM_LATE_DELAY: Duration = Duration::from_secs(4);
/// Time without a new job after which the load counts as over: far longer than the interval between
/// two jobs of a load that fills a cell. The rest of the load can wait, so late jobs then yield
/// even if they have started.
const LOAD_PAUSE: Duration = Duration::from_millis(500);
/// Time for which jobs are bypassed for a task that still waits. A task that fits nowhere blocks
/// them for no longer.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// Short jobs of a service that yield to its service tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Extent {
    /// Those that count as lost.
    Lost,
    /// Also late ones that haven't started. While the load lasts, started ones don't yield, since
    /// the largest jobs are late before they have gathered their capacity.
    LateUnstarted,
    /// All late ones.
    Late,
}

/// What yields to a service task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// Nothing, since the task is placed, has never run or hasn't waited for long.
    Nothing,
    /// These short jobs.
    Jobs(Extent),
    /// Nothing any more, since the task has waited for too long.
    TimedOut,
}

/// A service whose short jobs yield in a placement pass.
#[derive(Clone, Debug)]
pub(crate) struct Reclaim {
    service: id::Service,
    extent: Extent,
    /// Millicores that the waiting tasks of the yielding jobs need.
    yielded: u64,
}

impl Planner {
    /// Adds the jobs that yield to a service step to those of the pass.
    pub(crate) fn add_reclaim(&self, step: StepId, reclaiming: &mut Vec<Reclaim>) {
        let Some(extent) = self.extent(step) else { return };
        let service = self.service(step.job);
        match reclaiming.iter_mut().find(|known| known.service == service) {
            Some(known) => known.extent = extent.max(known.extent),
            None => reclaiming.push(Reclaim { service, extent, yielded: 0 }),
        }
    }

    /// Returns the jobs that yield to a service step with a returning task.
    fn extent(&self, step: StepId) -> Option<Extent> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step))?;
        state.tasks.iter().filter_map(|task| self.extent_for(task)).max()
    }

    /// Returns the jobs that yield to a task, if any do.
    fn extent_for(&self, task: &Task) -> Option<Extent> {
        match self.claim(task) {
            Claim::Jobs(extent) => Some(extent),
            Claim::Nothing | Claim::TimedOut => None,
        }
    }

    /// Returns what yields to a task.
    pub(crate) fn claim(&self, task: &Task) -> Claim {
        let waited = self.now.saturating_sub(task.waiting_since);
        let is_returning = task.place == Place::Waiting && task.attempt > 0;
        if !is_returning || waited < RECLAIM_DELAY {
            Claim::Nothing
        } else if waited >= RECLAIM_DELAY + RECLAIM_TIMEOUT {
            Claim::TimedOut
        } else if waited < RECLAIM_LATE_DELAY {
            Claim::Jobs(Extent::Lost)
        } else if self.reserve.is_idle_for(self.now, LOAD_PAUSE) {
            Claim::Jobs(Extent::Late)
        } else {
            Claim::Jobs(Extent::LateUnstarted)
        }
    }

    /// Returns `true` if a job yields to service tasks of the same service, and counts what it
    /// yields.
    pub(crate) fn yields(&self, id: JobId, reclaiming: &mut [Reclaim]) -> bool {
        if reclaiming.is_empty() {
            return false;
        }
        let service = self.service(id);
        let Some(reclaim) = reclaiming.iter_mut().find(|known| known.service == service) else {
            return false;
        };
        let job = &self.jobs[&id];
        let mut steps = job.accepted.spec.steps.iter();
        let is_short = steps.all(|step| !step.long_running && !step.best_effort);
        let yields = is_short
            && match reclaim.extent {
                Extent::Lost => self.is_lost(job),
                Extent::LateUnstarted => self.is_lost(job) || (self.is_late(job) && !job.started),
                Extent::Late => self.is_late(job),
            };
        if yields {
            reclaim.yielded += waiting_milli(id, job);
        }
        yields
    }

    /// Places service tasks that have waited for long on the capacity that the yielding jobs would
    /// have taken, unless a job that can be in time waits for it.
    pub(crate) fn place_returning(
        &mut self,
        reclaiming: &[Reclaim],
        open: &[(id::Service, Vec<WorkerId>)],
        unplaced: &[Unplaced],
    ) {
        for reclaim in reclaiming.iter().filter(|reclaim| reclaim.yielded > 0) {
            let waits_in_time = |unplaced: &Unplaced| {
                let job = &self.jobs[&unplaced.step.job];
                let is_service = job.spec(unplaced.step.step).long_running;
                self.service(unplaced.step.job) == reclaim.service
                    && !is_service
                    && !self.is_late(job)
            };
            if unplaced.iter().any(waits_in_time) {
                continue;
            }
            let workers = open.iter().find(|(service, _)| *service == reclaim.service);
            let Some((_, workers)) = workers else { continue };
            self.place_for_yielded(reclaim, workers);
        }
    }

    /// Places service tasks on as much capacity as jobs of their service have yielded.
    fn place_for_yielded(&mut self, reclaim: &Reclaim, workers: &[WorkerId]) {
        let mut left = reclaim.yielded;
        for task in self.returning(&reclaim.service) {
            let accepted = self.jobs[&task.job].accepted.clone();
            let spec = &accepted.spec.steps[usize::from(task.step)];
            if left == 0 || !self.start_limiter.allows(self.now) {
                return;
            }
            let Some(worker) = self.choose(task, spec, workers) else { continue };
            self.assign(task, worker);
            self.log_service_placement(task, worker, Way::Reclaimed);
            self.record_reserve_override(task.step_id());
            left = left.saturating_sub(spec.demand.cpu_milli.into());
        }
    }

    /// Returns the tasks of a service that late jobs yield to, the longest waiting first.
    fn returning(&self, service: &id::Service) -> Vec<TaskId> {
        let mut returning: Vec<(Time, TaskId)> = Vec::new();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            if self.service(id) == *service && !self.is_advised(id) {
                returning.extend(self.returning_of(id, job));
            }
        }
        returning.sort_unstable();
        returning.into_iter().map(|(_, task)| task).collect()
    }

    fn is_advised(&self, job: JobId) -> bool {
        self.queue(job).is_some_and(|queue| queue.advice.is_some())
    }

    /// Returns `true` if a service task isn't placed on yielded capacity, however long it waits.
    pub(crate) fn is_left_out(&self, id: TaskId, spec: &Step, task: &Task) -> bool {
        self.is_advised(id.job) || !takes_yielded(spec) || self.is_confined(id, task)
    }

    /// Returns `true` if a task may be started on some workers only.
    fn is_confined(&self, id: TaskId, task: &Task) -> bool {
        task.is_on_probation() || self.is_pinned(id)
    }

    /// Returns such tasks of a job, and since when each has waited.
    fn returning_of(&self, id: JobId, job: &Job) -> Vec<(Time, TaskId)> {
        let mut returning = Vec::new();
        for (step, state) in job.steps(id) {
            let spec = job.spec(step.step);
            if !spec.long_running || !takes_yielded(spec) {
                continue;
            }
            let tasks = (0..).map(|index| step.task(index)).zip(&state.tasks);
            let due = tasks.filter(|(id, task)| {
                self.extent_for(task) > Some(Extent::Lost)
                    && task.is_ready(self.now)
                    && !self.is_confined(*id, task)
            });
            returning.extend(due.map(|(id, task)| (task.waiting_since, id)));
        }
        returning
    }
}

/// Returns `true` if tasks of a service step may be placed on yielded capacity. Gangs and tasks with
/// a rack preference are placed in other ways.
fn takes_yielded(spec: &Step) -> bool {
    !spec.gang && spec.data_rack.is_none() && !spec.same_rack
}

/// Returns the millicores that a job's waiting tasks need.
fn waiting_milli(id: JobId, job: &Job) -> u64 {
    let steps = job.waiting_steps(id).into_iter();
    let milli = steps.map(|step| {
        let waiting = job.step(step).map_or(0, |state| state.waiting);
        u64::from(waiting) * u64::from(job.spec(step.step).demand.cpu_milli)
    });
    milli.sum()
}
