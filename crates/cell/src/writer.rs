//! Batched writes of the state that must outlive the workers.
//!
//! A batch holds the complete new record of each job that changed, so applying it is idempotent.
//! One batch is in flight at a time; later changes go into the next one.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
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
struct Bound {
    view: u64,
    lease: Duration,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    /// The list version and the longest lease in it, if it contains that record.
    membership: Option<Bound>,
    parts: Vec<Part>,
    removed: Vec<JobId>,
}

/// The pending writes and the batch in flight.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    dirty: BTreeSet<JobId>,
    removed: Vec<JobId>,
    batch: Option<Batch>,
    last_number: u64,
    /// The earliest time of the next batch.
    next_batch: Time,
    /// Whether the last batch failed or its outcome is unknown; the cell continues without the
    /// store.
    pub(crate) isolated: bool,
}

impl Writer {
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
        *self = Writer { last_number: self.last_number, ..Writer::default() };
    }

    /// Returns `true` if the result of a run that a worker retains is waiting to be written or
    /// being written.
    pub(crate) fn has_result(&self, job: &Job, worker: WorkerId, key: Key) -> bool {
        self.has_pending(job, key, |pending| {
            pending.attempt == key.attempt
                && pending.holder.is_some_and(|holder| holder.worker == worker)
        })
    }

    /// Returns `true` if the end of any run of a task is waiting to be written or being written.
    pub(crate) fn has_end(&self, job: &Job, key: Key) -> bool {
        self.has_pending(job, key, |_| true)
    }

    fn has_pending(&self, job: &Job, key: Key, is_relevant: impl Fn(&Pending) -> bool) -> bool {
        let is_match = |pending: &Pending| pending.task == key.task && is_relevant(pending);
        let in_flight = self.batch.iter().flat_map(|batch| &batch.parts);
        job.pending.iter().any(&is_match)
            || in_flight
                .filter(|part| part.job == key.job)
                .any(|part| part.pending.iter().any(&is_match))
    }
}

impl Cell {
    /// Returns the time at which a batch is due, if there is anything to write.
    pub(crate) fn write_due(&self) -> Option<Time> {
        let writer = &self.writer;
        let is_idle =
            writer.dirty.is_empty() && writer.removed.is_empty() && !self.membership.dirty;
        (writer.batch.is_none() && !is_idle).then_some(writer.next_batch)
    }

    /// Sends a batch if one is due.
    pub(crate) fn write(&mut self) {
        if self.ownership.epoch().is_none() || self.write_due().is_none_or(|due| due > self.now) {
            return;
        }
        let mut records = Vec::new();
        let mut parts = Vec::new();
        let mut bytes = 0;
        let mut membership = None;
        if std::mem::take(&mut self.membership.dirty) {
            let record = self.membership_record();
            membership = Some(Bound { view: record.view, lease: record.lease });
            records.push(record);
        }
        while let Some(job) = self.writer.dirty.pop_first() {
            let entry = &mut self.jobs[job];
            entry.writes_in_flight += 1;
            bytes += entry.live.len() * TASK_BYTES
                + (entry.done.span_count() + entry.cancelled.span_count()) * SPAN_BYTES;
            records.push(entry.record());
            parts.push(Part { job, pending: std::mem::take(&mut entry.pending) });
            if parts.len() >= RECORDS_MAX || bytes >= BYTES_MAX {
                break;
            }
        }
        let removed = std::mem::take(&mut self.writer.removed);
        let names = removed.iter().map(|&id| self.jobs[id].name.clone()).collect();
        self.writer.last_number += 1;
        let number = self.writer.last_number;
        let batch = Batch { number, membership, parts, removed };
        self.writer.batch = Some(batch);
        self.actions.push(Action::Record { batch: number, records, removed: names });
    }

    fn finish_batch(&mut self, number: u64) -> Option<Batch> {
        let batch = self.writer.batch.take_if(|batch| batch.number == number)?;
        self.writer.next_batch = self.now + INTERVAL;
        for part in &batch.parts {
            self.jobs[part.job].writes_in_flight -= 1;
        }
        Some(batch)
    }

    /// Handles a batch that was stored.
    pub(crate) fn handle_recorded_batch(&mut self, number: u64) {
        let Some(batch) = self.finish_batch(number) else { return };
        self.writer.isolated = false;
        if let Some(membership) = batch.membership {
            self.membership_stored(membership.view, membership.lease);
        }
        let records = batch.parts.len();
        for part in batch.parts {
            for pending in &part.pending {
                self.apply_stored_end(part.job, pending);
            }
            self.schedule_reap(part.job);
        }
        for job in batch.removed {
            self.record_removed(job);
        }
        self.note_cell(LogEvent::RecordWritten, format!("batch {number} of {records} records"));
    }

    /// Handles a batch that has to be written again.
    pub(crate) fn handle_failed_batch(&mut self, number: u64) {
        let Some(batch) = self.finish_batch(number) else { return };
        for part in batch.parts {
            let job = &mut self.jobs[part.job];
            let later = std::mem::replace(&mut job.pending, part.pending);
            job.pending.extend(later);
            self.writer.mark(part.job);
        }
        self.writer.removed.extend(batch.removed);
        self.membership.dirty |= batch.membership.is_some();
        if !std::mem::replace(&mut self.writer.isolated, true) {
            let reason = format!("batch {number} could not be settled; results stay with workers");
            self.note_cell(LogEvent::CellIsolated, reason);
        }
    }
}
