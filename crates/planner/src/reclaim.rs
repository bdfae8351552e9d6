//! Room that service tasks get back from short jobs which aren't done in time any more.
//!
//! Load pattern: workers are gone for good in a full cell, and what they ran comes back into a backlog. Short jobs of the
//! backlog take the room by turns, each turn as soon as the one before has ended; a service task, which takes only what
//! stays free ([`crate::idle`]), then waits until the backlog is done, long after the load has ended. So once a service task
//! that has run before has waited for a moment, short jobs which are lost are passed over, and once it has waited for longer,
//! those that are late: while the load lasts only if they haven't begun, since the largest are late before they have
//! gathered their room. Not while most of the cell is free, and not for ever: a task that fits nowhere must not hold them
//! up. Jobs that can be in time never make way.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::job::Job;
use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;
use crate::reservation::Unplaced;
use crate::worker::WorkerId;

/// How long a service task waits to come back before lost jobs are passed over: most find room within less.
const RECLAIM_DELAY: Duration = Duration::from_millis(1000);
/// How long it waits before late jobs are passed over too: they are still worth something.
const RECLAIM_LATE_DELAY: Duration = Duration::from_secs(4);
/// How long no job has come once the load counts as over: far longer than the pause between two jobs of a load that fills a
/// cell. What is left of it can wait, so late jobs make way then even if they have begun.
const LOAD_PAUSE: Duration = Duration::from_millis(500);
/// How long jobs are passed over for a task that still waits. One that fits nowhere holds them up no longer.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// Which short jobs of a service make way for its service tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Extent {
    /// Those that count as lost.
    Lost,
    /// Late ones as well that haven't begun.
    LateUnstarted,
    /// All late ones.
    Late,
}

/// A service whose short jobs make way in a placing pass.
#[derive(Clone, Debug)]
pub(crate) struct Reclaim {
    service: id::Service,
    extent: Extent,
    /// Thousandths of a processor that the jobs which made way have asked for.
    yielded: u64,
}

impl Planner {
    /// Notes which jobs of a service are to make way for a service step.
    pub(crate) fn add_reclaim(&self, step: StepId, reclaiming: &mut Vec<Reclaim>) {
        let Some(extent) = self.extent(step) else { return };
        let service = self.service(step.job);
        match reclaiming.iter_mut().find(|known| known.service == service) {
            Some(known) => known.extent = extent.max(known.extent),
            None => reclaiming.push(Reclaim { service, extent, yielded: 0 }),
        }
    }

    /// Returns which jobs are to make way for a service step of which a task waits to come back.
    fn extent(&self, step: StepId) -> Option<Extent> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step))?;
        state.tasks.iter().filter_map(|task| self.extent_for(task)).max()
    }

    /// Returns which jobs are to make way for a task; none for one that runs or has never run.
    fn extent_for(&self, task: &Task) -> Option<Extent> {
        let waited = self.now.saturating_sub(task.waiting_since);
        let returns = task.place == Place::Waiting && task.attempt > 0;
        if !returns || waited < RECLAIM_DELAY || waited >= RECLAIM_DELAY + RECLAIM_TIMEOUT {
            None
        } else if waited < RECLAIM_LATE_DELAY {
            Some(Extent::Lost)
        } else if self.reserve.is_idle_for(self.now, LOAD_PAUSE) {
            Some(Extent::Late)
        } else {
            Some(Extent::LateUnstarted)
        }
    }

    /// Returns `true` if a job makes way for service tasks of the same service, and counts what it yields.
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
        let is_short = steps.all(|step| !step.long_running && !step.fills);
        let makes_way = is_short
            && match reclaim.extent {
                Extent::Lost => self.is_lost(job),
                Extent::LateUnstarted => self.is_lost(job) || (self.is_late(job) && !job.started),
                Extent::Late => self.is_late(job),
            };
        if makes_way {
            reclaim.yielded += waiting_milli(id, job);
        }
        makes_way
    }

    /// Gives service tasks that have waited for long the room which the jobs that made way would have taken, unless a job
    /// that can be in time waits for it.
    pub(crate) fn place_returning(
        &mut self,
        reclaiming: &[Reclaim],
        open: &[(id::Service, Vec<WorkerId>)],
        unplaced: &[Unplaced],
    ) {
        for reclaim in reclaiming.iter().filter(|reclaim| reclaim.yielded > 0) {
            let waits_in_time = |unplaced: &Unplaced| {
                let job = &self.jobs[&unplaced.step.job];
                let lasts = job.spec(unplaced.step.step).long_running;
                self.service(unplaced.step.job) == reclaim.service && !lasts && !self.is_late(job)
            };
            if unplaced.iter().any(waits_in_time) {
                continue;
            }
            let workers = open.iter().find(|(service, _)| *service == reclaim.service);
            let Some((_, workers)) = workers else { continue };
            self.place_for_yielded(reclaim, workers);
        }
    }

    /// Places service tasks on as much room as jobs of their service have yielded.
    fn place_for_yielded(&mut self, reclaim: &Reclaim, workers: &[WorkerId]) {
        let mut left = reclaim.yielded;
        for task in self.returning(&reclaim.service) {
            let accepted = self.jobs[&task.job].accepted.clone();
            let spec = &accepted.spec.steps[usize::from(task.step)];
            if left == 0 || !self.sending.allows(self.now) {
                return;
            }
            let Some(worker) = self.choose(task, spec, workers) else { continue };
            self.assign(task, worker);
            self.record_reserve_override(task.step_id());
            left = left.saturating_sub(spec.demand.cpu_milli.into());
        }
    }

    /// Returns the service tasks of a service that late jobs make way for, those first that have waited for longest.
    fn returning(&self, service: &id::Service) -> Vec<TaskId> {
        let mut returning: Vec<(Time, TaskId)> = Vec::new();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            let is_advised = self.queue(id).is_some_and(|queue| queue.advice.is_some());
            if self.service(id) == *service && !is_advised {
                returning.extend(self.returning_of(id, job));
            }
        }
        returning.sort_unstable();
        returning.into_iter().map(|(_, task)| task).collect()
    }

    /// Returns those of a job, and since when each waits. Gangs and tasks near their data choose their workers by other
    /// means.
    fn returning_of(&self, id: JobId, job: &Job) -> Vec<(Time, TaskId)> {
        let mut returning = Vec::new();
        for (step, state) in job.steps(id) {
            let spec = job.spec(step.step);
            if !spec.long_running || spec.gang || spec.data_rack.is_some() || spec.same_rack {
                continue;
            }
            let tasks = (0..).map(|index| step.task(index)).zip(&state.tasks);
            let due = tasks.filter(|(id, task)| {
                self.extent_for(task) > Some(Extent::Lost)
                    && task.is_ready(self.now)
                    && !task.is_on_probation()
                    && !self.is_pinned(*id)
            });
            returning.extend(due.map(|(id, task)| (task.waiting_since, id)));
        }
        returning
    }
}

/// Returns what the tasks of a job that wait ask for, in thousandths of a processor.
fn waiting_milli(id: JobId, job: &Job) -> u64 {
    let steps = job.waiting_steps(id).into_iter();
    let milli = steps.map(|step| {
        let waiting = job.step(step).map_or(0, |state| state.waiting);
        u64::from(waiting) * u64::from(job.spec(step.step).demand.cpu_milli)
    });
    milli.sum()
}
