//! The largest size that the record of a job can reach, whatever becomes of its tasks.
//!
//! A job is accepted only if its record can be stored at each later state of its life: a record
//! grows as tasks are placed, fail, crash their workers and write checkpoints, and a job whose
//! record doesn't fit any more has to be given up. [docs/design/record-size.md] has the figures.
//!
//! [docs/design/record-size.md]: ../../../../../docs/design/record-size.md

use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::executor::MAX_WORKER_NAME_BYTES;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use serde::Serialize;
use smallvec::smallvec;

use crate::faults::crash;
use crate::queue::policy::UNLIMITED_ATTEMPTS;
use crate::records::record;
use crate::records::record::Attempts;

/// Longest checkpoint that a record holds, in bytes. After a change of the owner, a task with a
/// longer one starts over.
pub const MAX_CHECKPOINT_BYTES: usize = 64;
/// Failed attempts of a task that a record holds at least, whatever its queue allows: the queue may
/// leave the configuration, and then nothing limits them.
pub const MIN_KEPT_FAILURES: u32 = 8;
/// Failed attempts of a task that the bound allows for at most. A queue may allow far more; a job
/// whose tasks fail that often may have to be given up before.
const MAX_COUNTED_FAILURES: u32 = 64;

/// Largest size of a variable-length integer of 32 bits.
const U32_BYTES: usize = 5;
/// Number of lists in a record.
const LISTS: usize = 5;
/// Sizes of a record's version and of its fields that aren't lists.
const FIXED_BYTES: usize = 1 + 1 + U32_BYTES;

/// The largest size of a job's record, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Part that doesn't depend on the number of open occurrences.
    fixed: usize,
    /// Part of each open occurrence.
    occurrence: usize,
}

impl Bound {
    /// Returns the bound of a job whose tasks may fail this often.
    pub fn of(spec: &Spec, max_attempts: u32) -> Bound {
        let failures = match max_attempts {
            UNLIMITED_ATTEMPTS => MIN_KEPT_FAILURES,
            limit => limit.clamp(MIN_KEPT_FAILURES, MAX_COUNTED_FAILURES),
        };
        let failures = failures as usize;
        let steps = spec.steps.iter().map(|step| {
            U32_BYTES + (step.count as usize).saturating_mul(task_bytes(step, failures))
        });
        let steps = steps.fold(0, usize::saturating_add);
        Bound {
            fixed: FIXED_BYTES + LISTS * U32_BYTES,
            occurrence: (2 * U32_BYTES).saturating_add(steps),
        }
    }

    /// Returns the size with one open occurrence.
    pub fn bytes(&self) -> usize {
        self.bytes_with(1)
    }

    /// Returns the size with this many open occurrences.
    pub fn bytes_with(&self, open: usize) -> usize {
        self.fixed.saturating_add(self.occurrence.saturating_mul(open))
    }

    /// Returns how many occurrences may be open at once within a limit; at least one.
    pub fn max_open_occurrences(&self, limit: usize) -> usize {
        (limit.saturating_sub(self.fixed) / self.occurrence).max(1)
    }
}

/// Returns the largest size of all that a record holds about a task.
fn task_bytes(step: &Step, failures: usize) -> usize {
    let worker = "w".repeat(MAX_WORKER_NAME_BYTES);
    let attempts = |count: usize| -> Attempts { smallvec![u32::MAX; count] };
    let task = record::Task {
        attempt: u32::MAX,
        done: true,
        failed: attempts(failures),
        worker: Some(Incarnation { name: worker.as_str().into(), started_at: Some(u64::MAX) }),
        checkpoint: Some("c".repeat(MAX_CHECKPOINT_BYTES).into()),
    };
    let (occurrence, index) = (u32::MAX, u32::MAX);
    let outstanding = record::Outstanding {
        occurrence,
        step: u16::MAX,
        index,
        worker: worker.as_str().into(),
        age_ms: u32::MAX,
    };
    let crashes = record::Crashes {
        occurrence,
        step: u16::MAX,
        index,
        attempts: attempts(crash::MAX_CRASHES),
    };
    // A task without an outstanding start may be settled instead, which is smaller.
    let bytes = encoded_bytes(&task) + encoded_bytes(&outstanding) + encoded_bytes(&crashes);
    if !step.long_running {
        return bytes;
    }
    let wait = record::Wait { occurrence, step: u16::MAX, index, since_ms: u64::MAX };
    bytes + encoded_bytes(&wait)
}

fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    record::encode(value).len()
}
