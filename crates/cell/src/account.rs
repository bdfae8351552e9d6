//! Resource accounting by worker, job, team and cell.
//!
//! A run counts from the decision to start it until its end is confirmed. Every change of a
//! worker's allocations goes through this module.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::Fence;
use crate::worker::Hold;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// The capacity and usage of the whole cell.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// The sum of all listed workers' capacities.
    pub(crate) capacity: Amount,
    /// The largest capacity of any listed worker in each dimension.
    pub(crate) largest: Amount,
    /// The sum of best-effort allocations: trial and batch tasks that aren't urgent.
    pub(crate) low: Amount,
    /// Number of allocations.
    pub(crate) holds: u32,
}

impl Cell {
    /// Adds an allocation to its worker.
    pub(crate) fn hold(&mut self, id: WorkerId, hold: Hold) {
        self.count(id, hold.job, hold.amount);
        self.workers[id].holds.push(hold);
        self.recommit(id);
        self.touch(id);
    }

    /// Subtracts an allocation that was already removed from its worker's list.
    pub(crate) fn released(&mut self, id: WorkerId, hold: &Hold) {
        self.uncount(id, hold.job, hold.amount);
        self.remember(id, hold);
        self.recommit(id);
        self.mark(id);
        self.touch(id);
    }

    /// Corrects the accounts when a worker reports another amount for a run than was recorded.
    pub(crate) fn resized(&mut self, id: WorkerId, job: JobId, before: Amount, after: Amount) {
        self.uncount(id, job, before);
        self.count(id, job, after);
        self.recommit(id);
    }

    fn count(&mut self, id: WorkerId, job: JobId, amount: Amount) {
        let rack = usize::from(self.workers[id].rack);
        let is_low = self.is_low(job);
        let job = &mut self.jobs[job];
        job.holds += 1;
        if job.racks.len() <= rack {
            job.racks.resize(rack + 1, 0);
        }
        job.racks[rack] += 1;
        job.taken = job.taken.plus(amount);
        job.low = is_low;
        let team = &mut self.teams[job.team];
        team.used = team.used.plus(amount);
        self.totals.holds += 1;
        if is_low {
            self.totals.low = self.totals.low.plus(amount);
        }
    }

    fn uncount(&mut self, id: WorkerId, job: JobId, amount: Amount) {
        let rack = usize::from(self.workers[id].rack);
        let job = &mut self.jobs[job];
        job.holds -= 1;
        if let Some(count) = job.racks.get_mut(rack) {
            *count = count.saturating_sub(1);
        }
        job.taken = job.taken.minus(amount);
        let team = &mut self.teams[job.team];
        team.used = team.used.minus(amount);
        team.freed = true;
        self.totals.holds -= 1;
        if job.low {
            self.totals.low = self.totals.low.minus(amount);
        }
    }

    /// Returns `true` if a job's tasks are best-effort and must leave the reserve free.
    pub(crate) fn is_low(&self, id: JobId) -> bool {
        let job = &self.jobs[id];
        // The accounting of a job changes only while it has no runs, so that sums stay consistent.
        if job.holds > 0 { job.low } else { job.class() != Class::Paying && !job.is_urgent() }
    }

    pub(crate) fn recommit(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        let sum = worker.holds.iter().fold(Amount::ZERO, |sum, hold| sum.plus(hold.amount));
        worker.committed = sum;
        self.refresh(id);
    }

    /// Updates a worker's entry in the dense table of free capacity, which searches scan.
    pub(crate) fn refresh(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let room = if self.is_eligible(worker) { worker.free() } else { Amount::ZERO };
        if self.rooms.len() <= id.index() {
            self.rooms.resize(id.index() + 1, Amount::ZERO);
        }
        self.rooms[id.index()] = room;
    }

    /// Returns `true` if a worker may be given tasks.
    pub(crate) fn is_eligible(&self, worker: &Worker) -> bool {
        worker.fence == Fence::Fenced
            && worker.misses == 0
            && !worker.leaving
            && self.is_counted(worker)
            && self.is_trusted(worker)
    }

    /// Recomputes the totals over all listed workers.
    pub(crate) fn recount(&mut self) {
        let offered = self.workers.iter().map(|(_, worker)| worker.capacity);
        self.totals.capacity = offered.fold(Amount::ZERO, Amount::plus);
        self.totals.largest = self.largest();
        self.roster = self.workers.iter().map(|(id, _)| id).collect();
    }

    /// Returns `true` if best-effort tasks use everything outside the reserve.
    pub(crate) fn is_reserved(&self) -> bool {
        let kept = u64::from(self.policy.urgent_reserve_permille);
        let part = |all: u32| (u64::from(all) * (1000 - kept) / 1000) as u32;
        let all = self.totals.capacity;
        let low = self.totals.low;
        kept > 0 && (low.cpu_milli >= part(all.cpu_milli) || low.memory_mib >= part(all.memory_mib))
    }
}
