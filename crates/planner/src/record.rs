//! What the store holds of a job that has begun: enough for a later owner to go on from.
//!
//! It names every place where a task may be running, since it is written before the start is
//! ordered.

mod v1;

use cowslipchute_base::id;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::job;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

/// First byte of a stored value; another one is of a version that this program can't read.
const VALUE_VERSION: u8 = 1;
/// The same of a job's record.
const RECORD_VERSION: u8 = 3;
/// Records that name incarnations of workers where the first version had their names, and keep no outstanding starts.
const RECORD_VERSION_2: u8 = 2;

/// Attempts of a task that ended failed; few tasks have any.
pub type Attempts = SmallVec<[id::Attempt; 2]>;

/// What is kept of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Task {
    /// The highest attempt that may have been ordered.
    pub attempt: id::Attempt,
    /// Whether it is done.
    pub done: bool,
    /// Attempts that ended failed.
    pub failed: Attempts,
    /// Where it may be running.
    pub worker: Option<Incarnation>,
    /// Where it resumes.
    pub checkpoint: Option<id::Checkpoint>,
}

/// What is kept of one occurrence, by step and task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number.
    pub number: job::Occurrence,
    /// The steps; one of which nothing is to be kept has no tasks here.
    pub steps: Vec<Vec<Task>>,
}

/// What is kept of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Whether a task has ever started.
    pub started: bool,
    /// How many occurrences have become due.
    pub opened: u32,
    /// Those of them that aren't done.
    pub occurrences: Vec<Occurrence>,
    /// The crashes of workers that are counted against tasks.
    pub crashes: Vec<Crashes>,
    /// Starts that went unanswered and may still be carried out.
    pub outstanding: Vec<Outstanding>,
}

/// A record as it was before outstanding starts were kept.
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
        Record { started, opened, occurrences, crashes, outstanding: Vec::new() }
    }
}

/// What is kept of a start that went unanswered and may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outstanding {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Its place in the step.
    pub index: id::TaskIndex,
    /// The name of the worker that may carry it out, in whichever incarnation.
    pub worker: id::Instance,
}

impl Outstanding {
    pub(crate) fn new(task: job::TaskId, worker: id::Instance) -> Outstanding {
        let job::TaskId { occurrence, step, index, .. } = task;
        Outstanding { occurrence, step, index, worker }
    }

    pub(crate) fn task(&self, job: job::JobId) -> job::TaskId {
        job::TaskId { job, occurrence: self.occurrence, step: self.step, index: self.index }
    }
}

/// What is kept of a task that may crash its workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crashes {
    /// The occurrence of its job.
    pub occurrence: job::Occurrence,
    /// Its step.
    pub step: job::StepIndex,
    /// Its place in the step.
    pub index: id::TaskIndex,
    /// Attempts whose worker crashed right after their start.
    pub attempts: Attempts,
}

impl Record {
    /// Renders the record for the store, behind its version.
    pub fn encode(&self) -> Vec<u8> {
        encode_as(RECORD_VERSION, self)
    }

    /// Reads a stored record, also one of an earlier version.
    ///
    /// # Errors
    ///
    /// When it is of another version or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
        match bytes.split_first() {
            Some((&RECORD_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&RECORD_VERSION_2, rest)) => Ok(postcard::from_bytes::<RecordV2>(rest)?.into()),
            Some((&VALUE_VERSION, rest)) => Ok(v1::decode(rest)?),
            _ => Err(Error::Version),
        }
    }
}

/// Why a stored value can't be read.
#[derive(Debug, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// It is empty or of another version.
    #[error("a record of an unknown version")]
    Version,
    /// It is cut off or holds something else.
    #[error("not a record: {0}")]
    Body(#[from] postcard::Error),
}

/// Renders a value for the store, behind the version.
///
/// # Panics
///
/// Panics if the value can't be rendered, which only happens to types that hold maps of unknown
/// length; none of ours does.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_as(VALUE_VERSION, value)
}

fn encode_as<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("the value has a known length")
}

/// Reads a stored value.
///
/// # Errors
///
/// When it is of another version or damaged.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VALUE_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        _ => Err(Error::Version),
    }
}
