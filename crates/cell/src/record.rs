//! The stored state of a job's tasks in one cell.
//!
//! A record has no entry for a task that is queued or running for the first time, so its size
//! depends only on the state that must outlive the workers. Tasks that have ended are stored as
//! spans, so that a finished job of any size takes a few bytes.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// The terminal state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// It completed.
    Done,
    /// It was cancelled.
    Cancelled,
    /// It can't run. Changing the job's declaration makes it runnable again.
    Parked {
        /// The reason.
        reason: String,
    },
}

/// The stored state of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Task {
    /// The task's index within its job.
    pub index: id::TaskIndex,
    /// The highest attempt that is known to have ended; a higher one may be running.
    pub attempt: id::Attempt,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<id::Checkpoint>,
    /// Number of failed runs that count against the task.
    pub failures: u32,
    /// Its terminal state, if it has reached one.
    pub fate: Option<Fate>,
}

/// A range of consecutive tasks with the same terminal state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Span {
    /// The first task.
    pub start: id::TaskIndex,
    /// The task after the last.
    pub end: id::TaskIndex,
}

/// The stored state of a job's tasks in one cell.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The job.
    pub job: id::Job,
    /// The tasks that need an entry of their own, in ascending order; those in the spans have none.
    pub tasks: Vec<Task>,
    /// The tasks that completed.
    #[serde(default)]
    pub done: Vec<Span>,
    /// The tasks that were cancelled.
    #[serde(default)]
    pub cancelled: Vec<Span>,
    /// In the record named [`crate::membership::LIST`], the version of the worker list that the owner
    /// uses; zero in a job's record.
    #[serde(default)]
    pub view: u64,
    /// In the record named [`crate::membership::LIST`], the longest lease that any owner may have
    /// granted and that may not have expired yet, in milliseconds; zero in a job's record.
    #[serde_as(as = "Millis")]
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub lease: Duration,
}
