//! Workers that are kept for a task which waits.
//!
//! Pattern answered: room comes back in small pieces. Each piece is taken at once by a smaller task that came
//! later, so that no worker is ever free enough for a large one, however much becomes free in all. So a task that
//! has found no room for a moment has a worker kept for it: nothing else that reserves processors is placed there
//! until the task is, or is past help. Room that is kept stands idle until it is enough, so only a part is kept at a
//! time, and for jobs that can still be in time first.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::fit::Request;
use crate::host::Stage;
use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// How long a task waits before a worker is kept for it: longer than an end takes to become known and used, so
/// that nothing is kept where room would have come anyway.
const RESERVATION_DELAY: Duration = Duration::from_millis(150);
/// Fraction of the CPU beside tasks that last which reservations may hold at a time: enough for large tasks to have
/// their share, little enough to stand idle.
const RESERVED_FRACTION: f64 = 0.08;
/// Part of them that a step may keep where even one step is more than the part above, as a large task is in a small
/// cell, or a gang, which needs all its workers at once. Half goes on for all others.
const MAX_STEP_FRACTION: f64 = 0.5;
/// Workers kept for one step at a time, so that a wide step leaves some for others.
const MAX_WORKERS_PER_STEP: usize = 2;
/// How long a worker is kept: a few times as long as short tasks take. What runs there longer isn't ending as it
/// should, and another worker may be free sooner.
const MAX_RESERVATION_TIME: Duration = Duration::from_secs(3);

/// A worker that is kept for a step's next task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    step: StepId,
    worker: WorkerId,
    until: Time,
}

/// A step of which a task found no room in a placing pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unplaced {
    pub(crate) step: StepId,
    /// Since when the task that has waited for the longest has been.
    pub(crate) since: Time,
}

impl Unplaced {
    /// Returns a step that found no room, if a worker may be kept for it. Tasks near their data know better how long
    /// to wait ([`crate::locality`]).
    pub(crate) fn of(planner: &Planner, step: StepId, spec: &Step) -> Option<Unplaced> {
        if spec.fills || spec.data_rack.is_some() || spec.same_rack {
            return None;
        }
        let waiting = planner.reservable_tasks(step, spec);
        let since = waiting.map(|task| task.waiting_since).min()?;
        Some(Unplaced { step, since })
    }
}

impl Planner {
    /// Gives up what is kept for steps that don't need it any more, for too long, or on workers that take
    /// nothing.
    pub(crate) fn drop_reservations(&mut self) {
        let kept = std::mem::take(&mut self.reservations);
        for reservation in kept {
            let Some(worker) = self.workers.get(reservation.worker) else { continue };
            let lasts = self.is_open(worker) && self.now < reservation.until;
            if lasts && self.needs_reservation(reservation.step) {
                self.reservations.push(reservation);
            } else {
                self.workers[reservation.worker].reserved_for = None;
            }
        }
    }

    /// Places the tasks for which a worker was kept that has the room now.
    pub(crate) fn use_reservations(&mut self) {
        let kept = std::mem::take(&mut self.reservations);
        for reservation in kept {
            if self.use_reservation(reservation) {
                self.workers[reservation.worker].reserved_for = None;
            } else {
                self.reservations.push(reservation);
            }
        }
    }

    /// Places the next task of a step on the worker that was kept for it, if it has the room now.
    fn use_reservation(&mut self, reservation: Reservation) -> bool {
        let Reservation { step, worker, .. } = reservation;
        let Some(job) = self.jobs.get(&step.job) else { return true };
        let accepted = job.accepted.clone();
        let spec = &accepted.spec.steps[usize::from(step.step)];
        let Some(state) = job.step(step) else { return true };
        if spec.gang {
            // It takes its workers all at once, when each has the room.
            return false;
        }
        let now = self.now;
        let ready = |&(index, task): &(u32, &Task)| {
            self.may_reserve(spec, task) && task.is_ready(now) && !self.is_pinned(step.task(index))
        };
        let Some((index, _)) = (0..).zip(&state.tasks).find(ready) else { return false };
        let task = step.task(index);
        let request = Request::new(&self.interference, task, spec);
        if !self.may_take(&self.workers[worker], &request) || !self.sending.allows(now) {
            return false;
        }
        self.assign(task, worker);
        true
    }

    /// Tells whether a worker may be kept for a task. For one that lasts only to give its room back ([`crate::quota`]): a new
    /// one takes only what short tasks leave.
    fn may_reserve(&self, spec: &Step, task: &Task) -> bool {
        let returns = task.attempt > 0 && self.share.allows(spec);
        task.place == Place::Waiting && !task.is_on_probation() && (!spec.long_running || returns)
    }

    /// Returns the tasks of a step for which a worker may be kept.
    fn reservable_tasks<'a>(
        &'a self,
        step: StepId,
        spec: &'a Step,
    ) -> impl Iterator<Item = &'a Task> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| &state.tasks);
        tasks.filter(|task| self.may_reserve(spec, task))
    }

    /// Tells whether a step waits and can still be served.
    fn needs_reservation(&self, step: StepId) -> bool {
        let Some(job) = self.jobs.get(&step.job).filter(|job| job.end.is_none()) else {
            return false;
        };
        let spec = job.spec(step.step);
        let hopeless = !spec.long_running && self.is_lost(job);
        !hopeless && self.reservable_tasks(step, spec).next().is_some()
    }

    /// Keeps workers for steps that found no room: for those that can be in time first, and for those that have
    /// waited for longer.
    pub(crate) fn reserve_workers(&mut self, mut unplaced: Vec<Unplaced>, open: &[WorkerId]) {
        unplaced.retain(|unplaced| {
            self.now >= unplaced.since + RESERVATION_DELAY && self.needs_reservation(unplaced.step)
        });
        unplaced
            .sort_by_key(|unplaced| (self.is_late(&self.jobs[&unplaced.step.job]), unplaced.since));
        let shared = self.short_task_milli(open);
        let mut left = shared * RESERVED_FRACTION - self.reserved_milli();
        // A demand for which no worker could be kept; a larger one finds none either.
        let mut refused = u32::MAX;
        for Unplaced { step, .. } in unplaced {
            let accepted = self.jobs[&step.job].accepted.clone();
            let spec = &accepted.spec.steps[usize::from(step.step)];
            let cpu = spec.demand.cpu_milli;
            let own = self.reservations.iter().filter(|kept| kept.step == step).count();
            for _ in own..self.max_reservations(step, spec, shared) {
                // One step is served even where a part of the cell is less than it needs.
                let only = self.reservations.iter().all(|kept| kept.step == step);
                if left < f64::from(cpu) && !only {
                    return;
                }
                if cpu >= refused {
                    break;
                }
                let Some(worker) = self.first_free_worker(spec, step, open) else {
                    if spec.required_label.is_none() && spec.max_per_worker == 0 {
                        refused = cpu;
                    }
                    break;
                };
                let until = self.now + MAX_RESERVATION_TIME;
                self.reservations.push(Reservation { step, worker, until });
                self.workers[worker].reserved_for = Some(step);
                left -= f64::from(cpu);
            }
        }
    }

    /// Returns how many workers may be kept for a step at a time: for a gang as many as it has members, or none.
    fn max_reservations(&self, step: StepId, spec: &Step, shared: f64) -> usize {
        let waiting = self.reservable_tasks(step, spec).count();
        let bearable = shared * MAX_STEP_FRACTION / f64::from(spec.demand.cpu_milli.max(1));
        let bearable = bearable as usize;
        match spec.gang {
            true if waiting <= bearable => waiting,
            true => 0,
            false => waiting.min(MAX_WORKERS_PER_STEP).min(bearable),
        }
    }

    /// Returns the thousandths of a processor that tasks which last leave.
    fn short_task_milli(&self, open: &[WorkerId]) -> f64 {
        let shared = open.iter().map(|&id| {
            let worker = &self.workers[id];
            f64::from(worker.capacity.minus(worker.reserved_by_services).cpu_milli)
        });
        shared.sum()
    }

    /// Returns the thousandths of a processor that are kept.
    fn reserved_milli(&self) -> f64 {
        let reserved = self.reservations.iter().map(|kept| {
            let job = self.jobs.get(&kept.step.job);
            job.map_or(0.0, |job| f64::from(job.spec(kept.step.step).demand.cpu_milli))
        });
        reserved.sum()
    }

    /// Returns the worker that is expected to have room for a step's task first.
    fn first_free_worker(&self, spec: &Step, step: StepId, open: &[WorkerId]) -> Option<WorkerId> {
        let request = Request::new(&self.interference, step.task(0), spec);
        let mut best: Option<(Duration, WorkerId)> = None;
        for &id in open {
            let worker = &self.workers[id];
            let shared = worker.capacity.minus(worker.reserved_by_services);
            if worker.reserved_for.is_some()
                || !spec.demand.fits(shared)
                || !self.is_eligible(worker, &request)
            {
                continue;
            }
            let wait = self.estimate_wait(worker, spec.demand);
            if best.is_none_or(|(shortest, _)| wait < shortest) {
                best = Some((wait, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Estimates how long it takes until a worker has so much room, if nothing else is placed there.
    fn estimate_wait(&self, worker: &Worker, demand: Amount) -> Duration {
        let mut ends: SmallVec<[(Duration, Amount); 16]> = SmallVec::new();
        for hosted in
            worker.runs.values().filter(|hosted| !hosted.long_running && !hosted.best_effort)
        {
            let worked = match hosted.stage {
                Stage::Running { since } => self.now.saturating_sub(since),
                _ => Duration::ZERO,
            };
            ends.push((hosted.estimate.saturating_sub(worked), hosted.reserved()));
        }
        ends.sort_by_key(|&(left, _)| left);
        let mut room = worker.room();
        let mut wait = Duration::ZERO;
        for (left, amount) in ends {
            if demand.fits(room) {
                return wait;
            }
            room = room.plus(amount);
            wait = left;
        }
        if demand.fits(room) { wait } else { Duration::MAX }
    }
}
