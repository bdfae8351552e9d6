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
const SAMPLES_MAX: usize = 32;
/// Minimum number of measurements for an estimate.
const SAMPLES_MIN: usize = 8;
/// Number of measurements between two updates of the estimate.
const UPDATE_INTERVAL: usize = 8;
/// Index, in descending order, of the measurement used: one in sixteen of [`SAMPLES_MAX`] may be
/// larger.
const QUANTILE_RANK: usize = 2;
/// Processor allocation as a multiple of the measured usage, in thousandths.
const CPU_FACTOR_PERMILLE: u64 = 1150;
/// Memory allocation as a multiple of the measured usage, in thousandths; it is larger because a
/// lack of memory ends a run instead of slowing it.
const MEMORY_FACTOR_PERMILLE: u64 = 1300;
/// Usage, in thousandths of the allocation, from which a run is assumed to need more than measured.
const USED_UP_PERMILLE: u64 = 950;
/// Assumed need of a run that uses up its allocation, in thousandths of that allocation.
const GROWTH_PERMILLE: u64 = 2000;
/// Minimum allocation, in thousandths of the declared amount.
const MIN_PERMILLE: u64 = 50;

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
        let cpu = needed(used.cpu_milli, granted.cpu_milli);
        let memory = needed(used.memory_mib, granted.memory_mib);
        if self.cpu.len() < SAMPLES_MAX {
            self.cpu.push(cpu);
            self.memory.push(memory);
        } else {
            self.cpu[self.next] = cpu;
            self.memory[self.next] = memory;
        }
        self.next = (self.next + 1) % SAMPLES_MAX;
    }

    /// Returns the allocation of a task, which is the declared amount while there are few
    /// measurements.
    fn amount(&self, declared: Amount, largest: Amount) -> Amount {
        if self.cpu.len() < SAMPLES_MIN {
            return declared;
        }
        let cpu = allocation(&self.cpu, CPU_FACTOR_PERMILLE, declared.cpu_milli, largest.cpu_milli);
        let memory = allocation(
            &self.memory,
            MEMORY_FACTOR_PERMILLE,
            declared.memory_mib,
            largest.memory_mib,
        );
        Amount { cpu_milli: cpu, memory_mib: memory, accelerators: declared.accelerators }
    }
}

/// Returns the estimated need of a run: more than its allocation if it uses that up.
fn needed(used: u32, granted: u32) -> u32 {
    let is_full = u64::from(used) * 1000 >= u64::from(granted) * USED_UP_PERMILLE;
    if is_full { scaled(granted, GROWTH_PERMILLE) } else { used }
}

fn allocation(samples: &[u32], factor_permille: u64, declared: u32, largest: u32) -> u32 {
    let mut sorted: SmallVec<[u32; SAMPLES_MAX]> = samples.iter().copied().collect();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let quantile = sorted[QUANTILE_RANK.min(sorted.len() - 1)];
    let least = scaled(declared, MIN_PERMILLE).max(1);
    // Never exceeds the largest worker unless the declaration does, and then the job is parked.
    scaled(quantile, factor_permille).max(least).min(largest.max(declared))
}

fn component_max(one: Amount, other: Amount) -> Amount {
    Amount {
        cpu_milli: one.cpu_milli.max(other.cpu_milli),
        memory_mib: one.memory_mib.max(other.memory_mib),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

fn scaled(amount: u32, permille: u64) -> u32 {
    u32::try_from(u64::from(amount) * permille / 1000).unwrap_or(u32::MAX)
}

impl Cell {
    /// Updates a job's estimate with one measurement of a run.
    pub(crate) fn learn_size(&mut self, id: JobId, used: Amount, granted: Amount) {
        let largest = self.totals.largest;
        let before = self.amount(id);
        let job = &mut self.jobs[id];
        job.usage.learn(used, granted);
        if !job.usage.next.is_multiple_of(UPDATE_INTERVAL) {
            return;
        }
        let declared = job.declared();
        let learnt = job.usage.amount(declared, largest);
        // A paying task is never allocated less than declared.
        job.learnt_amount = match job.class() {
            Class::Paying => component_max(learnt, declared),
            Class::Trial | Class::Batch => learnt,
        };
        if job.learnt_amount != before && job.learnt_amount.fits_within(before) {
            self.enqueue(id);
        }
    }

    /// Returns the allocation of a job's next task.
    pub(crate) fn amount(&self, id: JobId) -> Amount {
        let job = &self.jobs[id];
        if job.learnt_amount == Amount::ZERO { job.declared() } else { job.learnt_amount }
    }
}
