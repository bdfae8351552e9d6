//! Conversion between a job's tasks in memory and its stored record.

use cowslipchute_base::id::TaskIndex;

use crate::job::Job;
use crate::job::Outcome;
use crate::job::State;
use crate::job::Task;
use crate::record;
use crate::record::Record;

impl Job {
    /// Loads the tasks from a stored record.
    pub(crate) fn load(&mut self, record: &Record) {
        self.done = record.done.iter().copied().collect();
        self.cancelled = record.cancelled.iter().copied().collect();
        for stored in &record.tasks {
            self.load_task(stored);
        }
    }

    fn load_task(&mut self, stored: &record::Task) {
        let state = match &stored.fate {
            Some(record::Fate::Done) => return self.done.insert(stored.index),
            Some(record::Fate::Cancelled) => return self.cancelled.insert(stored.index),
            Some(record::Fate::Parked { reason }) => State::Parked(reason.clone()),
            None => State::Queued,
        };
        if matches!(state, State::Queued) {
            self.queued.insert(stored.index);
        }
        let task = Task {
            attempt: stored.attempt,
            ended: stored.attempt,
            checkpoint: stored.checkpoint.clone(),
            failures: stored.failures,
            state,
        };
        self.live.insert(stored.index, task);
    }

    /// Builds the record to be stored, including ended runs that are not stored yet.
    pub(crate) fn record(&self) -> Record {
        let mut done = self.done.clone();
        let mut cancelled = self.cancelled.clone();
        let mut tasks = Vec::new();
        for (&index, task) in &self.live {
            match &task.state {
                State::Settling(Outcome::Done) => done.insert(index),
                State::Settling(Outcome::Cancelled) => cancelled.insert(index),
                _ => tasks.extend(stored(index, task)),
            }
        }
        Record {
            job: self.name.clone(),
            tasks,
            done: done.iter().collect(),
            cancelled: cancelled.iter().collect(),
            ..Record::default()
        }
    }
}

/// Returns the stored form of a task, or `None` if nothing about it has to be stored.
fn stored(index: TaskIndex, task: &Task) -> Option<record::Task> {
    let fate = match &task.state {
        State::Parked(reason) | State::Settling(Outcome::Park(reason)) => {
            Some(record::Fate::Parked { reason: reason.clone() })
        }
        _ => None,
    };
    if task.checkpoint.is_none() && task.failures == 0 && fate.is_none() {
        return None;
    }
    Some(record::Task {
        index,
        attempt: task.ended,
        checkpoint: task.checkpoint.clone(),
        failures: task.failures,
        fate,
    })
}
