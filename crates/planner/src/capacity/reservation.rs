//! Workers that are reserved for a waiting task.
//!
//! Capacity becomes free in small pieces, and each would go to a smaller task of a later job, so
//! that no worker ever had enough free capacity for a large one, however much becomes free in
//! total. So a task that has waited for a moment gets a worker reserved: nothing else that reserves
//! CPU is placed there until the task is, or can no longer be served. Reserved capacity is idle
//! until it suffices, so only a fraction of the cell is reserved at a time, and first for jobs that
//! can still be in time.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::service::way::Way;
use crate::workers::command::Timer;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time for which a task waits before a worker is reserved for it: longer than it takes until the
/// end of a run is known and its capacity used, so that nothing is reserved where a task would fit
/// anyway.
const RESERVATION_DELAY: Duration = Duration::from_millis(150);
/// Fraction of the CPU not held by service tasks that may be reserved at a time: enough for large
/// tasks to be placed, and little enough to leave idle until then.
const RESERVED_FRACTION: f64 = 0.08;
/// Fraction of that CPU that one step may reserve where even a single step exceeds the limit above,
/// such as a large task in a small cell, or a gang, which needs all its workers at once. The other
/// half stays available to all others.
const MAX_STEP_FRACTION: f64 = 0.5;
/// Maximum number of workers reserved for one step at a time, so that a wide step leaves some for
/// others.
const MAX_WORKERS_PER_STEP: usize = 2;
/// Time for which a worker is reserved: a few times the duration of a short task. A run that takes
/// longer isn't ending as it should, and another worker may be free sooner. A service task that
/// waits beside the reserved capacity counts as lost after three seconds.
const MAX_RESERVATION_TIME: Duration = Duration::from_millis(2500);

/// A worker that is reserved for a step's next task. Reservations are used and renewed at different
/// times, so one is cancelled together with its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) step: StepId,
    pub(crate) worker: WorkerId,
    until: Time,
}

/// Open workers by the time until each is expected to have the free capacity for a demand, the
/// shortest first, for the demands of one placement pass.
type Expected = SmallVec<[(Amount, Vec<WorkerId>); 4]>;

/// A step with a task that found no worker in a placement pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unplaced {
    pub(crate) step: StepId,
    /// Since when the task that has waited longest has been waiting.
    pub(crate) since: Time,
}

impl Unplaced {
    /// Returns a step that found no worker, if one may be reserved for it. Tasks with a rack
    /// preference limit their wait themselves ([`crate::placement::locality`]).
    pub(crate) fn of(planner: &Planner, step: StepId, spec: &Step) -> Option<Unplaced> {
        if spec.best_effort || spec.data_rack.is_some() || spec.same_rack {
            return None;
        }
        let waiting = planner.reservable_tasks(step, spec);
        let since = waiting.map(|task| task.waiting_since).min()?;
        Some(Unplaced { step, since })
    }
}

impl Planner {
    /// Drops reservations of steps that no longer need them, that have expired, or whose workers
    /// don't accept new tasks.
    pub(crate) fn drop_reservations(&mut self) {
        let reservations = std::mem::take(&mut self.reservations);
        for reservation in reservations {
            let worker = &self.workers[reservation.worker];
            let is_valid = self.is_open(worker) && self.now < reservation.until;
            if is_valid && self.needs_reservation(reservation.step) {
                self.reservations.push(reservation);
            } else {
                self.workers[reservation.worker].reserved_for = None;
            }
        }
    }

    /// Cancels the reservation of a worker, if there is one. Its step may reserve another worker in
    /// the next placement pass.
    pub(crate) fn cancel_reservation(&mut self, worker: WorkerId) {
        let before = self.reservations.len();
        self.reservations.retain(|reservation| reservation.worker != worker);
        self.room_changed |= self.reservations.len() != before;
        if let Some(state) = self.workers.get_mut(worker) {
            state.reserved_for = None;
        }
    }

    /// Places tasks on workers that are reserved for them and now have the free capacity.
    pub(crate) fn use_reservations(&mut self) {
        let reservations = std::mem::take(&mut self.reservations);
        for reservation in reservations {
            if self.use_reservation(reservation) {
                self.workers[reservation.worker].reserved_for = None;
            } else {
                self.reservations.push(reservation);
            }
        }
    }

    /// Places the next task of a step on the worker that is reserved for it, if it now has the free
    /// capacity.
    fn use_reservation(&mut self, reservation: Reservation) -> bool {
        let Reservation { step, worker, .. } = reservation;
        let Some(job) = self.jobs.get(&step.job) else { return true };
        let accepted = job.accepted.clone();
        let spec = &accepted.spec.steps[usize::from(step.step)];
        let Some(state) = job.step(step) else { return true };
        if spec.gang {
            // A gang is placed at once, when each of its workers has the free capacity.
            return false;
        }
        let now = self.now;
        let ready = |&(index, task): &(u32, &Task)| {
            self.may_reserve(step, spec, task)
                && task.is_ready(now)
                && !self.is_pinned(step.task(index))
        };
        let Some((index, _)) = (0..).zip(&state.tasks).find(ready) else { return false };
        let task = step.task(index);
        let request = Request::new(&self.interference, task, spec);
        if !self.may_take(&self.workers[worker], &request) || !self.start_limiter.allows(now) {
            return false;
        }
        self.assign(task, worker);
        self.log_service_placement(task, worker, Way::Reservation);
        true
    }

    /// Returns `true` if a worker may be reserved for a task. For a service task that is only so if
    /// it gets its capacity back ([`crate::capacity::quota`]) or is overdue ([`crate::service::overdue`]): a new one
    /// takes only what short tasks leave.
    fn may_reserve(&self, step: StepId, spec: &Step, task: &Task) -> bool {
        let is_returning = task.attempt > 0 && self.quota.allows(spec);
        task.place == Place::Waiting
            && !task.is_on_probation()
            && (!spec.long_running || is_returning || self.is_overdue_beside_room(step, task))
    }

    /// Returns the tasks of a step for which a worker may be reserved.
    fn reservable_tasks<'a>(
        &'a self,
        step: StepId,
        spec: &'a Step,
    ) -> impl Iterator<Item = &'a Task> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| &state.tasks);
        tasks.filter(move |task| self.may_reserve(step, spec, task))
    }

    /// Returns `true` if a worker may be reserved for a waiting task of a step whose job, unless it
    /// is a service step, can still finish before it counts as lost.
    fn needs_reservation(&self, step: StepId) -> bool {
        let Some(job) = self.jobs.get(&step.job).filter(|job| job.end.is_none()) else {
            return false;
        };
        let spec = job.spec(step.step);
        let is_lost = !spec.long_running && self.is_lost(job);
        !is_lost && self.reservable_tasks(step, spec).next().is_some()
    }

    /// Reserves workers for steps that found none: first for those that go ahead of their rank, then
    /// for those that can be in time, then for those that have waited longest.
    pub(crate) fn reserve_workers(&mut self, mut unplaced: Vec<Unplaced>, open: &[WorkerId]) {
        unplaced.retain(|unplaced| {
            self.now >= unplaced.since + RESERVATION_DELAY && self.needs_reservation(unplaced.step)
        });
        unplaced.sort_by_key(|&Unplaced { step: StepId { job, .. }, since }| {
            (!self.shares.is_ahead(job), self.is_late(&self.jobs[&job]), since)
        });
        let available = self.short_task_milli(open);
        let mut left = available * RESERVED_FRACTION - self.reserved_milli();
        // A demand for which no worker could be reserved; there is none for a larger one either.
        let mut refused_milli = u32::MAX;
        let mut expected = Expected::new();
        for Unplaced { step, .. } in unplaced {
            let accepted = self.jobs[&step.job].accepted.clone();
            let spec = &accepted.spec.steps[usize::from(step.step)];
            let cpu = spec.demand.cpu_milli;
            let existing = self.reservations.iter().filter(|other| other.step == step).count();
            for _ in existing..self.max_reservations(step, spec, available) {
                // One step is served even if it needs more than the fraction of the cell.
                let is_only_step = self.reservations.iter().all(|other| other.step == step);
                if left < f64::from(cpu) && !is_only_step {
                    return;
                }
                if cpu >= refused_milli {
                    break;
                }
                let Some(worker) = self.first_free_worker(spec, step, open, &mut expected) else {
                    if spec.required_label.is_none() && spec.max_per_worker == 0 {
                        refused_milli = cpu;
                    }
                    break;
                };
                let until = self.now + MAX_RESERVATION_TIME;
                self.timers.insert((until, Timer::Place));
                self.reservations.push(Reservation { step, worker, until });
                self.workers[worker].reserved_for = Some(step);
                left -= f64::from(cpu);
            }
        }
    }

    /// Returns how many workers may be reserved for a step at a time: for a gang one for each
    /// member, or none.
    fn max_reservations(&self, step: StepId, spec: &Step, available: f64) -> usize {
        let waiting = self.reservable_tasks(step, spec).count();
        let affordable = available * MAX_STEP_FRACTION / f64::from(spec.demand.cpu_milli.max(1));
        let affordable = affordable as usize;
        match spec.gang {
            true if waiting <= affordable => waiting,
            true => 0,
            false => waiting.min(MAX_WORKERS_PER_STEP).min(affordable),
        }
    }

    /// Returns the millicores that aren't held by service tasks.
    fn short_task_milli(&self, open: &[WorkerId]) -> f64 {
        let available = open.iter().map(|&id| {
            let worker = &self.workers[id];
            f64::from(worker.capacity.minus(worker.reserved_by_services).cpu_milli)
        });
        available.sum()
    }

    /// Returns the millicores that are reserved.
    pub(crate) fn reserved_milli(&self) -> f64 {
        let reserved = self.reservations.iter().map(|reservation| {
            let job = self.jobs.get(&reservation.step.job);
            job.map_or(0.0, |job| f64::from(job.spec(reservation.step.step).demand.cpu_milli))
        });
        reserved.sum()
    }

    /// Returns the worker that is expected to have free capacity for a step's task first. A
    /// reservation changes the expectation for no worker, so those for a demand hold for the whole
    /// pass.
    fn first_free_worker(
        &self,
        spec: &Step,
        step: StepId,
        open: &[WorkerId],
        expected: &mut Expected,
    ) -> Option<WorkerId> {
        let known = expected.iter().position(|(demand, _)| *demand == spec.demand);
        let index = known.unwrap_or_else(|| {
            expected.push((spec.demand, self.by_wait(spec.demand, open)));
            expected.len() - 1
        });
        let request = Request::new(&self.interference, step.task(0), spec);
        let is_possible = |&&id: &&WorkerId| {
            let worker = &self.workers[id];
            worker.reserved_for.is_none() && self.is_eligible(worker, &request)
        };
        expected[index].1.iter().find(is_possible).copied()
    }

    /// Returns the workers that could have the free capacity for a demand and aren't reserved, by
    /// the estimated time until they have it.
    fn by_wait(&self, demand: Amount, open: &[WorkerId]) -> Vec<WorkerId> {
        let possible = open.iter().filter(|&&id| {
            let worker = &self.workers[id];
            let available = worker.capacity.minus(worker.reserved_by_services);
            worker.reserved_for.is_none() && demand.fits_within(available)
        });
        let waits = possible.map(|&id| (self.estimate_wait(&self.workers[id], demand), id));
        let mut waits: Vec<(Duration, WorkerId)> = waits.collect();
        waits.sort_by_key(|&(wait, _)| wait);
        waits.into_iter().map(|(_, id)| id).collect()
    }

    /// Estimates the time until a worker has the free capacity for a demand, if nothing else is
    /// placed there.
    fn estimate_wait(&self, worker: &Worker, demand: Amount) -> Duration {
        let mut ends: SmallVec<[(Duration, Amount); 16]> = SmallVec::new();
        for hosted in
            worker.runs.values().filter(|hosted| !hosted.long_running && !hosted.best_effort)
        {
            ends.push((self.expected_remaining(hosted), hosted.reserved()));
        }
        ends.sort_by_key(|&(left, _)| left);
        let mut room = worker.room();
        let mut wait = Duration::ZERO;
        for (left, amount) in ends {
            if demand.fits_within(room) {
                return wait;
            }
            room = room.plus(amount);
            wait = left;
        }
        if demand.fits_within(room) { wait } else { Duration::MAX }
    }
}
