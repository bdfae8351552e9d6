//! Preemption: urgent and paying tasks that find no free capacity evict trial and batch runs,
//! cheapest first.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::Hold;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Lifetime of a reservation for a task that preempts.
const CLAIM: Duration = Duration::from_secs(10);

/// Interval at which a job that could not preempt tries again.
pub(crate) const AGAIN: Duration = Duration::from_secs(1);

/// Capacity of a worker that is reserved for one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) job: JobId,
    amount: Amount,
    until: Time,
}

/// A set of runs to evict on one worker.
struct Way {
    worker: WorkerId,
    loss: f64,
    /// Indices of the allocations to evict.
    holds: SmallVec<[usize; 4]>,
}

impl Worker {
    /// Returns the capacity that is reserved for jobs other than `job`.
    pub(crate) fn claimed(&self, job: JobId, now: Time) -> Amount {
        match self.claim {
            Some(claim) if claim.job != job && claim.until > now => claim.amount,
            _ => Amount::ZERO,
        }
    }
}

impl Cell {
    /// Reopens the queue entries of jobs that may preempt, once their next attempt is due.
    pub(crate) fn urge(&mut self) {
        if self.urge_due().is_none_or(|due| due > self.now) {
            return;
        }
        self.queue.urged = self.now;
        while let Some(&place) = self.queue.blocked.first()
            && place.may_preempt()
        {
            self.queue.blocked.remove(&place);
            self.queue.open.insert(place);
        }
    }

    /// Returns the time at which blocked jobs that may preempt are to be tried again.
    pub(crate) fn urge_due(&self) -> Option<Time> {
        let waits = self.queue.blocked.first().is_some_and(|place| place.may_preempt());
        waits.then_some(self.queue.urged + AGAIN)
    }

    /// Evicts runs for the waiting tasks of a job, on one worker for each task.
    pub(crate) fn preempt(&mut self, job: JobId, amount: Amount) {
        let waiting = self.jobs[job].waiting();
        let claims = self.claims(job);
        for _ in claims..waiting {
            if !self.is_allowed(job, amount) {
                return;
            }
            let Some(way) = self.cheapest(job, amount) else { return };
            let until = self.now + CLAIM;
            self.workers[way.worker].claim = Some(Claim { job, amount, until });
            let name = self.jobs[job].name.clone();
            let reason = format!("urgent work of {name} needs its room");
            let gives_up = self.gives_up_for(job);
            for index in way.holds {
                if gives_up {
                    self.give_up(way.worker, index, &reason);
                } else {
                    self.evict(way.worker, index, &reason);
                }
            }
        }
    }

    /// Returns `true` if runs preempted for a job are ended without a checkpoint. Paying tasks wait
    /// for checkpoints; urgent tasks don't while checkpoints are slow.
    fn gives_up_for(&self, job: JobId) -> bool {
        self.jobs[job].is_urgent() && self.is_slow_to_checkpoint()
    }

    /// Returns the cost of preempting a run, which includes all its work if it can't be
    /// checkpointed.
    fn price(&self, hold: &Hold, gives_up: bool) -> f64 {
        if !gives_up {
            return self.loss(hold);
        }
        let run = (self.now - hold.since).as_secs_f64();
        let cpu = f64::from(hold.amount.cpu_milli) / 1000.0;
        self.loss(hold) + run * cpu
    }

    fn claims(&self, job: JobId) -> u32 {
        let now = self.now;
        let is_ours = |claim: Claim| claim.job == job && claim.until > now;
        let claimed = self.workers.iter().filter(|(_, worker)| worker.claim.is_some_and(is_ours));
        claimed.count() as u32
    }

    /// Returns the cheapest preemption over all workers.
    fn cheapest(&self, job: JobId, amount: Amount) -> Option<Way> {
        let mut best: Option<Way> = None;
        for &id in &self.roster {
            let worker = &self.workers[id];
            let is_claimed = worker.claim.is_some_and(|claim| claim.until > self.now);
            if is_claimed || !self.is_eligible(worker) || !amount.fits(worker.capacity) {
                continue;
            }
            if let Some(way) = self.way(id, job, amount)
                && best.as_ref().is_none_or(|best| way.loss < best.loss)
            {
                best = Some(way);
            }
        }
        best
    }

    /// Selects the runs to evict on one worker so that an amount fits: adds them cheapest first and
    /// then drops those that turn out not to be needed.
    fn way(&self, id: WorkerId, job: JobId, amount: Amount) -> Option<Way> {
        let worker = &self.workers[id];
        let gives_up = self.gives_up_for(job);
        let mut order: SmallVec<[(f64, usize); 32]> = SmallVec::new();
        let mut room = worker.free().minus(worker.claimed(job, self.now));
        for (index, hold) in worker.holds.iter().enumerate() {
            if self.is_evictable(hold) {
                // Prefers few large runs to many small ones, up to the amount that is needed.
                let useful = hold.amount.cpu_milli.min(amount.cpu_milli).max(1);
                order.push((self.price(hold, gives_up) / f64::from(useful), index));
            } else if hold.life.is_ending() {
                room = room.plus(hold.amount);
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut picked: SmallVec<[(f64, usize); 4]> = SmallVec::new();
        for &(loss, index) in &order {
            if amount.fits(room) {
                break;
            }
            room = room.plus(worker.holds[index].amount);
            picked.push((loss, index));
        }
        if !amount.fits(room) {
            return None;
        }
        let mut slack = room.minus(amount);
        for place in (0..picked.len()).rev() {
            let spare = worker.holds[picked[place].1].amount;
            if spare.fits(slack) {
                slack = slack.minus(spare);
                picked.remove(place);
            }
        }
        let loss =
            picked.iter().map(|&(_, index)| self.price(&worker.holds[index], gives_up)).sum();
        Some(Way { worker: id, loss, holds: picked.iter().map(|&(_, index)| index).collect() })
    }

    /// Ends a job's reservation on a worker when its task starts there.
    pub(crate) fn use_claim(&mut self, id: WorkerId, job: JobId) {
        let worker = &mut self.workers[id];
        worker.claim.take_if(|claim| claim.job == job);
    }
}
