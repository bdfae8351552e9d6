//! The most recent changes that the system made without an operator's request, for operators to
//! read.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_daemon::log;
use cowslipchute_ports::worker::Run;
use serde::Serialize;
use slog::Logger;
use slog::o;

/// Number of notes kept in memory; the log holds all of them.
const NOTES_MAX: usize = 4096;

/// One change.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Note {
    /// Sequence number, increased by one with each note of this process.
    pub sequence: u64,
    /// Milliseconds since the process started.
    pub at_millis: u64,
    /// Number of the event.
    pub event: u16,
    /// Name of the event.
    pub name: &'static str,
    /// Job, worker or cell that the note concerns.
    pub subject: id::Instance,
    /// Job of the task, if the note concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<id::Job>,
    /// Task, if the note concerns one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<id::TaskIndex>,
    /// Run of the task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<id::Attempt>,
    /// Reason for the change.
    pub reason: String,
}

/// Subject of a note.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Job, worker or cell that the note concerns.
    pub name: id::Instance,
    /// Job of the task, if the note concerns one.
    pub job: Option<id::Job>,
    /// Task, if the note concerns one.
    pub task: Option<id::TaskIndex>,
    /// Run of the task.
    pub attempt: Option<id::Attempt>,
}

#[derive(Debug, Default)]
struct Kept {
    last: u64,
    notes: VecDeque<Note>,
}

/// Records notes and returns them on request; shared with the admin event loop.
#[derive(Clone, Debug)]
pub struct Journal {
    logger: Logger,
    kept: Arc<Mutex<Kept>>,
}

impl Journal {
    /// Opens an empty journal that also writes to a log.
    pub fn open(logger: Logger) -> Journal {
        Journal { logger, kept: Arc::default() }
    }

    /// Records a note.
    pub fn note(&self, now: id::Time, event: Event, subject: Subject, reason: String) {
        let fields = o!(
            "subject" => subject.name.to_string(),
            "job" => subject.job.as_ref().map(|job| job.to_string()),
            "task" => subject.task,
            "attempt" => subject.attempt,
            "reason" => reason.clone(),
        );
        log::emit(&self.logger, event, fields);
        let mut kept = self.kept.lock().expect("no holder of this lock panics");
        kept.last += 1;
        let note = Note {
            sequence: kept.last,
            at_millis: now.as_millis() as u64,
            event: event.number(),
            name: event.name(),
            subject: subject.name,
            job: subject.job,
            task: subject.task,
            attempt: subject.attempt,
            reason,
        };
        if kept.notes.len() == NOTES_MAX {
            kept.notes.pop_front();
        }
        kept.notes.push_back(note);
    }

    /// Returns at most `limit` notes with a sequence number above `after`, oldest first.
    pub fn after(&self, after: u64, limit: usize) -> Vec<Note> {
        let kept = self.kept.lock().expect("no holder of this lock panics");
        let newer = kept.notes.iter().filter(|note| note.sequence > after);
        newer.take(limit).cloned().collect()
    }
}

impl Subject {
    /// Returns a subject that may name a run of a task.
    pub fn run(name: id::Instance, run: Option<Run>) -> Subject {
        match run {
            Some(Run { job, task, attempt }) => {
                Subject { name, job: Some(job), task: Some(task), attempt: Some(attempt) }
            }
            None => Subject::plain(name),
        }
    }

    /// Returns a subject that is not a task.
    pub fn plain(name: impl Into<id::Instance>) -> Subject {
        Subject { name: name.into(), job: None, task: None, attempt: None }
    }
}
