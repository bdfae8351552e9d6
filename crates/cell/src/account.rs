//! Resource accounting by worker, job, team and cell.
//!
//! A run counts from the decision to start it until its end is confirmed. Every change of a
//! worker's allocations goes through this module.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::Allocation;
use crate::worker::Fence;
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
    pub(crate) best_effort: Amount,
    /// Number of allocations.
    pub(crate) runs: u32,
}

impl Cell {
    /// Adds an allocation to its worker.
    pub(crate) fn add_allocation(&mut self, id: WorkerId, allocation: Allocation) {
        self.count(id, allocation.job, allocation.amount);
        self.workers[id].allocations.push(allocation);
        self.update_committed(id);
        self.touch(id);
    }

    /// Subtracts an allocation that was already removed from its worker's list.
    pub(crate) fn release_allocation(&mut self, id: WorkerId, allocation: &Allocation) {
        self.uncount(id, allocation.job, allocation.amount);
        self.record_ended_run(id, allocation);
        self.update_committed(id);
        self.mark_freed(id);
        self.touch(id);
    }

    /// Corrects the accounts when a worker reports another amount for a run than was recorded.
    pub(crate) fn resize_allocation(
        &mut self,
        id: WorkerId,
        job: JobId,
        before: Amount,
        after: Amount,
    ) {
        self.uncount(id, job, before);
        self.count(id, job, after);
        self.update_committed(id);
    }

    fn count(&mut self, id: WorkerId, job: JobId, amount: Amount) {
        let rack = usize::from(self.workers[id].rack);
        let is_best_effort = self.is_best_effort(job);
        let job = &mut self.jobs[job];
        job.runs += 1;
        if job.runs_by_rack.len() <= rack {
            job.runs_by_rack.resize(rack + 1, 0);
        }
        job.runs_by_rack[rack] += 1;
        job.allocated = job.allocated.plus(amount);
        job.best_effort = is_best_effort;
        let team = &mut self.teams[job.team];
        team.used = team.used.plus(amount);
        self.totals.runs += 1;
        if is_best_effort {
            self.totals.best_effort = self.totals.best_effort.plus(amount);
        }
    }

    fn uncount(&mut self, id: WorkerId, job: JobId, amount: Amount) {
        let rack = usize::from(self.workers[id].rack);
        let job = &mut self.jobs[job];
        job.runs -= 1;
        if let Some(count) = job.runs_by_rack.get_mut(rack) {
            *count = count.saturating_sub(1);
        }
        job.allocated = job.allocated.minus(amount);
        let team = &mut self.teams[job.team];
        team.used = team.used.minus(amount);
        team.freed = true;
        self.totals.runs -= 1;
        if job.best_effort {
            self.totals.best_effort = self.totals.best_effort.minus(amount);
        }
    }

    /// Returns `true` if a job's tasks are best-effort and must leave the reserve free.
    pub(crate) fn is_best_effort(&self, id: JobId) -> bool {
        let job = &self.jobs[id];
        // The accounting of a job changes only while it has no runs, so that sums stay consistent.
        if job.runs > 0 {
            job.best_effort
        } else {
            job.class() != Class::Paying && !job.is_urgent()
        }
    }

    pub(crate) fn update_committed(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        let sum = worker
            .allocations
            .iter()
            .fold(Amount::ZERO, |sum, allocation| sum.plus(allocation.amount));
        worker.committed = sum;
        self.update_free_capacity(id);
    }

    /// Updates a worker's entry in the dense table of free capacity, which searches scan.
    pub(crate) fn update_free_capacity(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let free = if self.is_eligible(worker) { worker.free() } else { Amount::ZERO };
        if self.free_capacity.len() <= id.index() {
            self.free_capacity.resize(id.index() + 1, Amount::ZERO);
        }
        self.free_capacity[id.index()] = free;
    }

    /// Returns `true` if a worker may be given tasks.
    pub(crate) fn is_eligible(&self, worker: &Worker) -> bool {
        worker.fence == Fence::Fenced
            && worker.failed_exchanges == 0
            && !worker.leaving
            && self.is_known_to_later_owners(worker)
            && self.passes_quarantine(worker)
    }

    /// Recomputes the totals over all listed workers.
    pub(crate) fn update_totals(&mut self) {
        let capacities = self.workers.iter().map(|(_, worker)| worker.capacity);
        self.totals.capacity = capacities.fold(Amount::ZERO, Amount::plus);
        self.totals.largest = self.largest_capacity();
        self.worker_ids = self.workers.iter().map(|(id, _)| id).collect();
    }

    /// Returns `true` if best-effort tasks use everything outside the reserve.
    pub(crate) fn is_reserve_reached(&self) -> bool {
        let reserve_permille = u64::from(self.policy.urgent_reserve_permille);
        let outside_reserve = |all: u32| (u64::from(all) * (1000 - reserve_permille) / 1000) as u32;
        let all = self.totals.capacity;
        let best_effort = self.totals.best_effort;
        reserve_permille > 0
            && (best_effort.cpu_milli >= outside_reserve(all.cpu_milli)
                || best_effort.memory_mib >= outside_reserve(all.memory_mib))
    }
}
