//! Preemption: urgent and paying tasks that find no free capacity evict trial and batch runs,
//! cheapest first.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::Allocation;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Lifetime of a reservation for a task that preempts.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// Interval at which a job that could not preempt tries again.
pub(crate) const PREEMPT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of a worker that is reserved for one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    amount: Amount,
    until: Time,
}

/// A set of runs to evict on one worker.
struct Plan {
    worker: WorkerId,
    cost: f64,
    /// Indices of the allocations to evict.
    indices: SmallVec<[usize; 4]>,
}

impl Worker {
    /// Returns the capacity that is reserved for jobs other than `job`.
    pub(crate) fn reserved_for_others(&self, job: JobId, now: Time) -> Amount {
        match self.reservation {
            Some(reservation) if reservation.job != job && reservation.until > now => {
                reservation.amount
            }
            _ => Amount::ZERO,
        }
    }
}

impl Cell {
    /// Reopens the queue entries of jobs that may preempt, once their next attempt is due.
    pub(crate) fn retry_preemptors(&mut self) {
        if self.preempt_retry_due().is_none_or(|due| due > self.now) {
            return;
        }
        self.queue.preempt_retried = self.now;
        while let Some(&item) = self.queue.blocked.first()
            && item.may_preempt()
        {
            self.queue.blocked.remove(&item);
            self.queue.open.insert(item);
        }
    }

    /// Returns the time at which blocked jobs that may preempt are to be tried again.
    pub(crate) fn preempt_retry_due(&self) -> Option<Time> {
        let waits = self.queue.blocked.first().is_some_and(|item| item.may_preempt());
        waits.then_some(self.queue.preempt_retried + PREEMPT_RETRY_INTERVAL)
    }

    /// Evicts runs for the waiting tasks of a job, on one worker for each task.
    pub(crate) fn preempt(&mut self, job: JobId, amount: Amount) {
        let waiting = self.jobs[job].waiting();
        let reservations = self.reservations(job);
        for _ in reservations..waiting {
            if !self.is_within_share(job, amount) {
                return;
            }
            let Some(plan) = self.cheapest_plan(job, amount) else { return };
            let until = self.now + RESERVATION_TIME;
            self.workers[plan.worker].reservation = Some(Reservation { job, amount, until });
            let name = self.jobs[job].name.clone();
            let reason = format!("urgent work of {name} needs its room");
            let skips_checkpoint = self.skips_checkpoint_for(job);
            for index in plan.indices {
                if skips_checkpoint {
                    self.stop_without_checkpoint(plan.worker, index, &reason);
                } else {
                    self.evict(plan.worker, index, &reason);
                }
            }
        }
    }

    /// Returns `true` if runs preempted for a job are ended without a checkpoint. Paying tasks wait
    /// for checkpoints; urgent tasks don't while checkpoints are slow.
    fn skips_checkpoint_for(&self, job: JobId) -> bool {
        self.jobs[job].is_urgent() && self.are_checkpoints_slow()
    }

    /// Returns the cost of preempting a run, which includes all its work if it can't be
    /// checkpointed.
    fn preemption_cost(&self, allocation: &Allocation, skips_checkpoint: bool) -> f64 {
        if !skips_checkpoint {
            return self.eviction_cost(allocation);
        }
        let run = (self.now - allocation.since).as_secs_f64();
        let cpu = f64::from(allocation.amount.cpu_milli) / 1000.0;
        self.eviction_cost(allocation) + run * cpu
    }

    fn reservations(&self, job: JobId) -> u32 {
        let now = self.now;
        let is_ours = |reservation: Reservation| reservation.job == job && reservation.until > now;
        let reserved =
            self.workers.iter().filter(|(_, worker)| worker.reservation.is_some_and(is_ours));
        reserved.count() as u32
    }

    /// Returns the cheapest preemption over all workers.
    fn cheapest_plan(&self, job: JobId, amount: Amount) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for &id in &self.worker_ids {
            let worker = &self.workers[id];
            let is_reserved =
                worker.reservation.is_some_and(|reservation| reservation.until > self.now);
            if is_reserved || !self.is_eligible(worker) || !amount.fits_within(worker.capacity) {
                continue;
            }
            if let Some(plan) = self.plan(id, job, amount)
                && best.as_ref().is_none_or(|best| plan.cost < best.cost)
            {
                best = Some(plan);
            }
        }
        best
    }

    /// Selects the runs to evict on one worker so that an amount fits: adds them cheapest first and
    /// then drops those that turn out not to be needed.
    fn plan(&self, id: WorkerId, job: JobId, amount: Amount) -> Option<Plan> {
        let worker = &self.workers[id];
        let skips_checkpoint = self.skips_checkpoint_for(job);
        let mut order: SmallVec<[(f64, usize); 32]> = SmallVec::new();
        let mut available = worker.free().minus(worker.reserved_for_others(job, self.now));
        for (index, allocation) in worker.allocations.iter().enumerate() {
            if self.is_evictable(allocation) {
                // Prefers few large runs to many small ones, up to the amount that is needed.
                let useful = allocation.amount.cpu_milli.min(amount.cpu_milli).max(1);
                order.push((
                    self.preemption_cost(allocation, skips_checkpoint) / f64::from(useful),
                    index,
                ));
            } else if allocation.stage.is_ending() {
                available = available.plus(allocation.amount);
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut picked: SmallVec<[(f64, usize); 4]> = SmallVec::new();
        for &(cost, index) in &order {
            if amount.fits_within(available) {
                break;
            }
            available = available.plus(worker.allocations[index].amount);
            picked.push((cost, index));
        }
        if !amount.fits_within(available) {
            return None;
        }
        let mut surplus = available.minus(amount);
        for i in (0..picked.len()).rev() {
            let spare = worker.allocations[picked[i].1].amount;
            if spare.fits_within(surplus) {
                surplus = surplus.minus(spare);
                picked.remove(i);
            }
        }
        let cost = picked
            .iter()
            .map(|&(_, index)| self.preemption_cost(&worker.allocations[index], skips_checkpoint))
            .sum();
        Some(Plan { worker: id, cost, indices: picked.iter().map(|&(_, index)| index).collect() })
    }

    /// Ends a job's reservation on a worker when its task starts there.
    pub(crate) fn end_reservation(&mut self, id: WorkerId, job: JobId) {
        let worker = &mut self.workers[id];
        worker.reservation.take_if(|reservation| reservation.job == job);
    }
}
