//! Choice of a worker for a task: a few sampled candidates are compared by a score.

use cowslipchute_base::amount::Amount;
use rand::Rng;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::WorkerId;

/// Number of workers sampled for one placement.
const SAMPLES: usize = 12;
/// Number of candidates after which a scan ends; workers are scanned if no sampled one has enough
/// free capacity.
const SCAN_CANDIDATES_MAX: usize = 4;
/// Weight of a worker's unused capacity: fuller workers are preferred, so that large tasks fit
/// elsewhere.
const FIT_WEIGHT: f64 = 1.0;
/// Weight of the fraction of a job's tasks in the same rack, which spreads a job over racks.
const SPREAD_WEIGHT: f64 = 0.5;

/// Weight of a recent failure of the job on the worker: other workers are preferred if there are
/// any.
const FAILED_WEIGHT: f64 = 10.0;

/// Weight of a thousandth of predicted slowdown of paying tasks.
const RISK_WEIGHT: f64 = 0.02;

type Candidates = SmallVec<[WorkerId; SAMPLES]>;

impl Cell {
    /// Returns the best of a few candidate workers for one more task of a job.
    pub(crate) fn choose(&mut self, job: JobId, amount: Amount) -> Option<WorkerId> {
        let mut candidates = self.sample(job, amount);
        if candidates.is_empty() {
            candidates = self.scan(job, amount);
        }
        let mut best: Option<(f64, WorkerId)> = None;
        for id in candidates {
            let Some(score) = self.score(id, job, amount) else { continue };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    fn sample(&mut self, job: JobId, amount: Amount) -> Candidates {
        let mut found = Candidates::new();
        if self.worker_ids.is_empty() {
            return found;
        }
        if self.worker_ids.len() <= SAMPLES {
            found.extend(self.worker_ids.iter().copied());
            found.retain(|&mut id| self.has_room(id, job, amount));
            return found;
        }
        for _ in 0..SAMPLES {
            let id = self.worker_ids[self.rng.random_range(0..self.worker_ids.len())];
            if self.has_room(id, job, amount) && !found.contains(&id) {
                found.push(id);
            }
        }
        found
    }

    /// Scans the table of free capacity from a random index, which is fast in a nearly full cell.
    fn scan(&mut self, job: JobId, amount: Amount) -> Candidates {
        let mut found = Candidates::new();
        let count = self.worker_ids.len();
        if count == 0 {
            return found;
        }
        let start = self.rng.random_range(0..count);
        for step in 0..count {
            let id = self.worker_ids[(start + step) % count];
            if amount.fits_within(self.free_capacity[id.index()]) && self.has_room(id, job, amount)
            {
                found.push(id);
                if found.len() >= SCAN_CANDIDATES_MAX {
                    break;
                }
            }
        }
        found
    }

    /// Returns `true` if a worker can take a task of a job.
    pub(crate) fn has_room(&self, id: WorkerId, job: JobId, amount: Amount) -> bool {
        if !amount.fits_within(self.free_capacity[id.index()]) {
            return false;
        }
        let worker = &self.workers[id];
        let reserved = worker.reserved_for_others(job, self.now);
        self.is_eligible(worker) && amount.fits_within(worker.free().minus(reserved))
    }

    /// Returns the score of a worker for a task, where lower is better, or `None` if a paying task
    /// would become too slow.
    fn score(&self, id: WorkerId, job: JobId, amount: Amount) -> Option<f64> {
        let risk = f64::from(self.risk(id, job)?) * RISK_WEIGHT * self.policy.latency_weight;
        let worker = &self.workers[id];
        let left = worker.free().minus(amount);
        let fraction =
            |left: u32, all: u32| if all == 0 { 0.0 } else { f64::from(left) / f64::from(all) };
        let unused = fraction(left.cpu_milli, worker.capacity.cpu_milli)
            + fraction(left.memory_mib, worker.capacity.memory_mib)
            + fraction(left.accelerators.into(), worker.capacity.accelerators.into());
        let entry = &self.jobs[job];
        let tasks_in_rack = entry.runs_by_rack.get(usize::from(worker.rack)).copied().unwrap_or(0);
        let spread = f64::from(tasks_in_rack) / f64::from(entry.runs + 1);
        let failed = if entry.failed_on.contains(&id) { FAILED_WEIGHT } else { 0.0 };
        Some(FIT_WEIGHT * unused + SPREAD_WEIGHT * spread + failed + risk)
    }
}
