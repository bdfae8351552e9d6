//! Right-sizing: estimates of the resources that a job's tasks need, learnt from measurements.
//!
//! The estimate determines the allocation of later starts. A worker enforces the allocation in the
//! start command, so an allocation may be smaller than declared; a larger one is committed in full.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::job::JobId;

/// Number of measurements kept for each job.
const KEPT: usize = 32;
/// Minimum number of measurements for an estimate.
const ENOUGH: usize = 8;
/// Number of measurements between two updates of the estimate.
const BATCH: usize = 8;
/// Index of the measurement used, in descending order: one in sixteen may be larger.
const RANK: usize = 2;
/// Processor allocation as a multiple of the measured usage, in thousandths.
const CPU_HEADROOM: u64 = 1150;
/// Memory allocation as a multiple of the measured usage, in thousandths; it is larger because a
/// lack of memory ends a run instead of slowing it.
const MEMORY_HEADROOM: u64 = 1300;
/// Usage, in thousandths of the allocation, from which a run is assumed to need more than measured.
const FULL: u64 = 950;
/// Assumed need of a run that uses up its allocation, in thousandths of that allocation.
const GROWTH: u64 = 2000;
/// Minimum allocation, in thousandths of the declared amount.
const LEAST: u64 = 50;

/// The recent measurements of a job's tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Size {
    cpu: SmallVec<[u32; 4]>,
    memory: SmallVec<[u32; 4]>,
    next: usize,
}

impl Size {
    /// Records one measurement of a run whose allocation is `granted`.
    fn learn(&mut self, used: Amount, granted: Amount) {
        let cpu = wanted(used.cpu_milli, granted.cpu_milli);
        let memory = wanted(used.memory_mib, granted.memory_mib);
        if self.cpu.len() < KEPT {
            self.cpu.push(cpu);
            self.memory.push(memory);
        } else {
            self.cpu[self.next] = cpu;
            self.memory[self.next] = memory;
        }
        self.next = (self.next + 1) % KEPT;
    }

    /// Returns the allocation of a task, which is the declared amount while there are few
    /// measurements.
    fn amount(&self, declared: Amount, largest: Amount) -> Amount {
        if self.cpu.len() < ENOUGH {
            return declared;
        }
        let cpu = given(&self.cpu, CPU_HEADROOM, declared.cpu_milli, largest.cpu_milli);
        let memory = given(&self.memory, MEMORY_HEADROOM, declared.memory_mib, largest.memory_mib);
        Amount { cpu_milli: cpu, memory_mib: memory, accelerators: declared.accelerators }
    }
}

/// Returns the estimated need of a run: more than its allocation if it uses that up.
fn wanted(used: u32, granted: u32) -> u32 {
    let is_full = u64::from(used) * 1000 >= u64::from(granted) * FULL;
    if is_full { part(granted, GROWTH) } else { used }
}

fn given(seen: &[u32], headroom: u64, declared: u32, largest: u32) -> u32 {
    let mut sorted: SmallVec<[u32; KEPT]> = seen.iter().copied().collect();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let quantile = sorted[RANK.min(sorted.len() - 1)];
    let least = part(declared, LEAST).max(1);
    // Never exceeds the largest worker unless the declaration does, and then the job is parked.
    part(quantile, headroom).max(least).min(largest.max(declared))
}

fn most(one: Amount, other: Amount) -> Amount {
    Amount {
        cpu_milli: one.cpu_milli.max(other.cpu_milli),
        memory_mib: one.memory_mib.max(other.memory_mib),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

fn part(amount: u32, permille: u64) -> u32 {
    u32::try_from(u64::from(amount) * permille / 1000).unwrap_or(u32::MAX)
}

impl Cell {
    /// Updates a job's estimate with one measurement of a run.
    pub(crate) fn learn_size(&mut self, id: JobId, used: Amount, granted: Amount) {
        let largest = self.totals.largest;
        let before = self.amount(id);
        let job = &mut self.jobs[id];
        job.size.learn(used, granted);
        if !job.size.next.is_multiple_of(BATCH) {
            return;
        }
        let declared = job.declared();
        let learnt = job.size.amount(declared, largest);
        // A paying task is never allocated less than declared.
        job.amount = match job.class() {
            Class::Paying => most(learnt, declared),
            Class::Trial | Class::Batch => learnt,
        };
        if job.amount != before && job.amount.fits(before) {
            self.enqueue(id);
        }
    }

    /// Returns the allocation of a job's next task.
    pub(crate) fn amount(&self, id: JobId) -> Amount {
        let job = &self.jobs[id];
        if job.amount == Amount::ZERO { job.declared() } else { job.amount }
    }
}
