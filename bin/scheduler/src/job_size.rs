//! The largest job that is accepted: one that can be stored, at its acceptance and at each later
//! state of its tasks.

use cowslipchute_planner::bound::Bound;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::job::Spec;
use thiserror::Error;

/// Reason for which a job is too large to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The job as submitted doesn't fit into a value of the store.
    #[error("the job takes {bytes} bytes, and the store holds up to {limit} in a value")]
    Job {
        /// Size of the job.
        bytes: usize,
        /// Largest value.
        limit: usize,
    },
    /// The record of the job may outgrow a value of the store.
    #[error(
        "the state of the job's {tasks} tasks may take {bytes} bytes, and the store holds up to {limit} in a value"
    )]
    Record {
        /// Number of tasks of one occurrence.
        tasks: u64,
        /// Largest size of the record.
        bytes: usize,
        /// Largest value.
        limit: usize,
    },
}

/// The limit on a job's size.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    max_value_bytes: usize,
}

impl Limit {
    /// Opens the limit of a store whose values have up to this many bytes.
    pub fn open(max_value_bytes: usize) -> Limit {
        Limit { max_value_bytes }
    }

    /// Checks a job of a queue, whose entry has this many bytes.
    ///
    /// # Errors
    ///
    /// Returns what is too large, with its size and the limit.
    pub fn check(&self, spec: &Spec, queue: &Queue, job_bytes: usize) -> Result<(), Error> {
        let limit = self.max_value_bytes;
        if job_bytes > limit {
            return Err(Error::Job { bytes: job_bytes, limit });
        }
        let bytes = Bound::of(spec, queue.max_attempts).bytes();
        if bytes > limit {
            let tasks = spec.steps.iter().map(|step| u64::from(step.count)).sum();
            return Err(Error::Record { tasks, bytes, limit });
        }
        Ok(())
    }
}
