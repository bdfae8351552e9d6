//! Stored state of a job that has started, from which the next owner continues.
//!
//! A record names every worker on which a task may be running, since it is written before the start
//! is sent.

mod v1;
mod v4;

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::job;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

/// First byte of a stored value, and of a record of version 1. A value of another version can't be
/// read.
const VALUE_VERSION: u8 = 1;
/// First byte of a job's record.
const RECORD_VERSION: u8 = 5;
/// First byte of a record that holds waits, unlike version 3, but neither settled starts nor the
/// ages of outstanding ones.
const RECORD_VERSION_4: u8 = 4;
/// First byte of a record that holds outstanding starts, unlike version 2, but no waits.
const RECORD_VERSION_3: u8 = 3;
/// First byte of a record that names incarnations of workers, unlike version 1, but holds no
/// outstanding starts.
const RECORD_VERSION_2: u8 = 2;

/// Largest first byte that is taken for the version of a later release.
const MAX_VERSION: u8 = 31;

/// Attempts of a task that failed or crashed their worker; few tasks have any.
pub type Attempts = SmallVec<[id::Attempt; 2]>;

/// Stored state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Task {
    /// Highest attempt whose start may have been sent.
    pub attempt: id::Attempt,
    /// Whether the task is done.
    pub done: bool,
    /// Attempts that failed.
    pub failed: Attempts,
    /// The incarnation on which it may be running.
    pub worker: Option<Incarnation>,
    /// Checkpoint to resume from, unless it is longer than
    /// [`crate::bound::MAX_CHECKPOINT_BYTES`].
    pub checkpoint: Option<id::Checkpoint>,
}

/// Stored state of one occurrence, by step and task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number.
    pub number: job::Occurrence,
    /// The steps; a step without anything to store has no tasks here.
    pub steps: Vec<Vec<Task>>,
}

/// Stored state of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Whether a task has ever started.
    pub started: bool,
    /// Number of occurrences that have become due.
    pub opened: u32,
    /// The occurrences that have become due and aren't done.
    pub occurrences: Vec<Occurrence>,
    /// Worker crashes that are counted against tasks.
    pub crashes: Vec<Crashes>,
    /// Starts that went unanswered and may still be carried out.
    pub outstanding: Vec<Outstanding>,
    /// Waits of service tasks.
    pub waits: Vec<Wait>,
    /// Placed service tasks without an outstanding start.
    pub settled: Vec<Settled>,
}

/// A record of version 3, which holds no waits.
#[derive(Deserialize)]
struct RecordV3 {
    started: bool,
    opened: u32,
    occurrences: Vec<Occurrence>,
    crashes: Vec<Crashes>,
    outstanding: Vec<v4::Outstanding>,
}

impl From<RecordV3> for Record {
    fn from(record: RecordV3) -> Record {
        let RecordV3 { started, opened, occurrences, crashes, outstanding } = record;
        let outstanding = outstanding.into_iter().map(Outstanding::from).collect();
        Record { started, opened, occurrences, crashes, outstanding, ..Record::default() }
    }
}

/// A record of version 2, which holds no outstanding starts.
#[derive(Deserialize)]
struct RecordV2 {
    started: bool,
    opened: u32,
    occurrences: Vec<Occurrence>,
    crashes: Vec<Crashes>,
}

impl From<RecordV2> for Record {
    fn from(record: RecordV2) -> Record {
        let RecordV2 { started, opened, occurrences, crashes } = record;
        Record { started, opened, occurrences, crashes, ..Record::default() }
    }
}

/// A start that went unanswered and may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outstanding {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Index of the task in the step.
    pub index: id::TaskIndex,
    /// Name of the worker that may carry it out, in any incarnation.
    pub worker: id::Instance,
    /// Age of the task's latest start there when the record was written, in milliseconds; 0 while
    /// the owner may send another one without writing the record first.
    pub age_ms: u32,
}

impl Outstanding {
    pub(crate) fn new(task: job::TaskId, worker: id::Instance, age: Duration) -> Outstanding {
        let job::TaskId { occurrence, step, index, .. } = task;
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Outstanding { occurrence, step, index, worker, age_ms }
    }

    pub(crate) fn task(&self, job: job::JobId) -> job::TaskId {
        job::TaskId { job, occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// A placed service task none of whose starts may still be carried out: its worker's incarnation
/// has reported the run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settled {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Index of the task in the step.
    pub index: id::TaskIndex,
}

impl Settled {
    pub(crate) fn new(task: job::TaskId) -> Settled {
        let job::TaskId { occurrence, step, index, .. } = task;
        Settled { occurrence, step, index }
    }

    pub(crate) fn task(&self, job: job::JobId) -> job::TaskId {
        job::TaskId { job, occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// Wait of a service task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Wait {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Index of the task in the step.
    pub index: id::TaskIndex,
    /// When it began, in Unix milliseconds.
    pub since_ms: u64,
}

impl Wait {
    pub(crate) fn new(task: job::TaskId, since: Duration) -> Wait {
        let job::TaskId { occurrence, step, index, .. } = task;
        Wait { occurrence, step, index, since_ms: since.as_millis() as u64 }
    }

    /// Returns when it began, as time since the Unix epoch.
    pub(crate) fn since(&self) -> Duration {
        Duration::from_millis(self.since_ms)
    }
}

/// Crashes counted against a task that may crash its workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crashes {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Index of the task in the step.
    pub index: id::TaskIndex,
    /// Attempts whose worker crashed right after their start.
    pub attempts: Attempts,
}

impl Record {
    /// Serializes the record for the store, prefixed with its version.
    pub fn encode(&self) -> Vec<u8> {
        encode_as(RECORD_VERSION, self)
    }

    /// Parses a stored record of the current or an earlier version.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is unknown or the record is corrupt.
    pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
        match bytes.split_first() {
            Some((&RECORD_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&RECORD_VERSION_4, rest)) => Ok(v4::decode(rest)?),
            Some((&RECORD_VERSION_3, rest)) => Ok(postcard::from_bytes::<RecordV3>(rest)?.into()),
            Some((&RECORD_VERSION_2, rest)) => Ok(postcard::from_bytes::<RecordV2>(rest)?.into()),
            Some((&VALUE_VERSION, rest)) => Ok(v1::decode(rest)?),
            other => Err(version_error(other, RECORD_VERSION)),
        }
    }
}

/// Reason that a stored value can't be read.
#[derive(Debug, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// A later release has written the value.
    #[error("version {0}, of a later release")]
    Later(u8),
    /// The value is empty or doesn't begin with a version.
    #[error("not a version of a record")]
    Version,
    /// The value is truncated or of another type.
    #[error("not a record: {0}")]
    Body(#[from] postcard::Error),
}

/// Serializes a value for the store, prefixed with its version.
///
/// # Panics
///
/// Panics if the value can't be serialized, which only happens for types that hold maps of unknown
/// length; no stored type does.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_as(VALUE_VERSION, value)
}

fn encode_as<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("the value has a known length")
}

/// Parses a stored value.
///
/// # Errors
///
/// Returns an error if the version is unknown or the value is corrupt.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VALUE_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        other => Err(version_error(other, VALUE_VERSION)),
    }
}

fn version_error(value: Option<(&u8, &[u8])>, known: u8) -> Error {
    match value {
        Some((&version, _)) if (known + 1..=MAX_VERSION).contains(&version) => {
            Error::Later(version)
        }
        _ => Error::Version,
    }
}
