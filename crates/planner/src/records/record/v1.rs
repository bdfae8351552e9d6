//! Records of version 1. They name workers instead of incarnations, and the oldest hold no crashes.

use cowslipchute_base::id;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::job;
use serde::Deserialize;

use super::Attempts;
use super::Crashes;

#[derive(Deserialize)]
struct Task {
    attempt: id::Attempt,
    done: bool,
    failed: Attempts,
    worker: Option<id::Instance>,
    checkpoint: Option<id::Checkpoint>,
}

#[derive(Deserialize)]
struct Occurrence {
    number: job::Occurrence,
    steps: Vec<Vec<Task>>,
}

#[derive(Deserialize)]
struct Record {
    started: bool,
    opened: u32,
    occurrences: Vec<Occurrence>,
    crashes: Vec<Crashes>,
}

/// A record from before crashes were stored.
#[derive(Deserialize)]
struct WithoutCrashes {
    started: bool,
    opened: u32,
    occurrences: Vec<Occurrence>,
}

impl From<Task> for super::Task {
    fn from(task: Task) -> super::Task {
        let Task { attempt, done, failed, worker, checkpoint } = task;
        let worker = worker.map(|name| Incarnation { name, started_at: None });
        super::Task { attempt, done, failed, worker, checkpoint }
    }
}

impl From<Occurrence> for super::Occurrence {
    fn from(occurrence: Occurrence) -> super::Occurrence {
        let tasks = |step: Vec<Task>| step.into_iter().map(super::Task::from).collect();
        let steps = occurrence.steps.into_iter().map(tasks).collect();
        super::Occurrence { number: occurrence.number, steps }
    }
}

impl From<Record> for super::Record {
    fn from(record: Record) -> super::Record {
        let Record { started, opened, occurrences, crashes } = record;
        let occurrences = occurrences.into_iter().map(super::Occurrence::from).collect();
        super::Record { started, opened, occurrences, crashes, ..super::Record::default() }
    }
}

/// Parses a record that follows its version byte.
pub(super) fn decode(bytes: &[u8]) -> Result<super::Record, postcard::Error> {
    let record = match postcard::from_bytes(bytes) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            let WithoutCrashes { started, opened, occurrences } = postcard::from_bytes(bytes)?;
            Record { started, opened, occurrences, crashes: Vec::new() }
        }
        read => read?,
    };
    Ok(record.into())
}
