//! Batched writes of the state that must outlive the workers.
//!
//! A batch holds the complete new record of each job that changed, so applying it is idempotent.
//! One batch is in flight at a time; later changes go into the next one.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id::Time;

use crate::action::Action;
use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::Job;
use crate::job::JobId;
use crate::job::Pending;
use crate::worker::WorkerId;

/// Minimum time between two batches, which limits a cell to five store writes a second.
const INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of records in a batch; the store limits the operations of a transaction.
const RECORDS_MAX: usize = 64;
/// Estimated size of a batch at which no further record is added.
const BYTES_MAX: usize = 512 * 1024;
/// Estimated bytes of one task in a record.
const TASK_BYTES: usize = 128;
/// Estimated bytes of one span in a record.
const SPAN_BYTES: usize = 32;

/// A job's part of a batch.
#[derive(Debug)]
struct Part {
    job: JobId,
    pending: Vec<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Counted {
    view: u64,
    lease: Duration,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    /// The list version and the longest lease in it, if it contains that record.
    census: Option<Counted>,
    parts: Vec<Part>,
    removed: Vec<JobId>,
}

/// The pending writes and the batch in flight.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    dirty: BTreeSet<JobId>,
    removed: Vec<JobId>,
    batch: Option<Batch>,
    number: u64,
    /// The earliest time of the next batch.
    quiet: Time,
    /// Whether the last batch failed or its outcome is unknown; the cell continues without the
    /// store.
    pub(crate) isolated: bool,
}

impl Ledger {
    /// Marks a job's record to be written.
    pub(crate) fn mark(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    pub(crate) fn unmark(&mut self, job: JobId) {
        self.dirty.remove(&job);
    }

    /// Marks a job's record to be removed.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.removed.push(job);
    }

    pub(crate) fn clear(&mut self) {
        *self = Ledger { number: self.number, ..Ledger::default() };
    }

    /// Returns `true` if the result of a run that a worker retains is waiting to be written or
    /// being written.
    pub(crate) fn keeps(&self, job: &Job, worker: WorkerId, key: Key) -> bool {
        self.has(job, key, |pending| {
            pending.attempt == key.attempt
                && pending.keeper.is_some_and(|keeper| keeper.worker == worker)
        })
    }

    /// Returns `true` if the end of any run of a task is waiting to be written or being written.
    pub(crate) fn writes(&self, job: &Job, key: Key) -> bool {
        self.has(job, key, |_| true)
    }

    fn has(&self, job: &Job, key: Key, is_meant: impl Fn(&Pending) -> bool) -> bool {
        let is_it = |pending: &Pending| pending.task == key.task && is_meant(pending);
        let flying = self.batch.iter().flat_map(|batch| &batch.parts);
        job.pending.iter().any(&is_it)
            || flying.filter(|part| part.job == key.job).any(|part| part.pending.iter().any(&is_it))
    }
}

impl Cell {
    /// Returns the time at which a batch is due, if there is anything to write.
    pub(crate) fn ledger_due(&self) -> Option<Time> {
        let ledger = &self.ledger;
        let idle = ledger.dirty.is_empty() && ledger.removed.is_empty() && !self.census.stale;
        (ledger.batch.is_none() && !idle).then_some(ledger.quiet)
    }

    /// Sends a batch if one is due.
    pub(crate) fn write(&mut self) {
        if self.ownership.epoch().is_none() || self.ledger_due().is_none_or(|due| due > self.now) {
            return;
        }
        let mut records = Vec::new();
        let mut parts = Vec::new();
        let mut bytes = 0;
        let mut census = None;
        if std::mem::take(&mut self.census.stale) {
            let record = self.census_record();
            census = Some(Counted { view: record.view, lease: record.lease });
            records.push(record);
        }
        while let Some(job) = self.ledger.dirty.pop_first() {
            let entry = &mut self.jobs[job];
            entry.writing += 1;
            bytes += entry.live.len() * TASK_BYTES
                + (entry.done.gaps() + entry.cancelled.gaps()) * SPAN_BYTES;
            records.push(entry.record());
            parts.push(Part { job, pending: std::mem::take(&mut entry.pending) });
            if parts.len() >= RECORDS_MAX || bytes >= BYTES_MAX {
                break;
            }
        }
        let removed = std::mem::take(&mut self.ledger.removed);
        let names = removed.iter().map(|&id| self.jobs[id].name.clone()).collect();
        self.ledger.number += 1;
        let number = self.ledger.number;
        let batch = Batch { number, census, parts, removed };
        self.ledger.batch = Some(batch);
        self.actions.push(Action::Record { batch: number, records, removed: names });
    }

    fn landed(&mut self, number: u64) -> Option<Batch> {
        let batch = self.ledger.batch.take_if(|batch| batch.number == number)?;
        self.ledger.quiet = self.now + INTERVAL;
        for part in &batch.parts {
            self.jobs[part.job].writing -= 1;
        }
        Some(batch)
    }

    /// Handles a batch that was stored.
    pub(crate) fn recorded(&mut self, number: u64) {
        let Some(batch) = self.landed(number) else { return };
        self.ledger.isolated = false;
        if let Some(census) = batch.census {
            self.counted(census.view, census.lease);
        }
        let records = batch.parts.len();
        for part in batch.parts {
            for pending in &part.pending {
                self.settled(part.job, pending);
            }
            self.finish_job(part.job);
        }
        for job in batch.removed {
            self.removed(job);
        }
        self.note_cell(Number::RecordWritten, format!("batch {number} of {records} records"));
    }

    /// Handles a batch that has to be written again.
    pub(crate) fn record_failed(&mut self, number: u64) {
        let Some(batch) = self.landed(number) else { return };
        for part in batch.parts {
            let job = &mut self.jobs[part.job];
            let later = std::mem::replace(&mut job.pending, part.pending);
            job.pending.extend(later);
            self.ledger.mark(part.job);
        }
        self.ledger.removed.extend(batch.removed);
        self.census.stale |= batch.census.is_some();
        if !std::mem::replace(&mut self.ledger.isolated, true) {
            let reason = format!("batch {number} could not be settled; results stay with workers");
            self.note_cell(Number::CellIsolated, reason);
        }
    }
}
