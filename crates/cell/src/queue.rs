//! The queue of jobs with waiting tasks, in the order in which they are placed.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::id::Time;

use crate::cell::Cell;
use crate::job::JobId;
use crate::worker::WorkerId;

/// A waiting job's entry in the queue, ordered by priority and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Item {
    /// The priority: urgent jobs first, then by class.
    priority: u8,
    order: u64,
    pub(crate) job: JobId,
}

/// The priority of urgent jobs.
const URGENT: u8 = 0;
/// The priority of paying jobs.
const PAYING: u8 = 1;
/// Interval at which all blocked jobs are tried again.
const BLOCKED_RETRY_INTERVAL: Duration = Duration::from_secs(30);

impl Item {
    /// Returns `true` if the job may preempt trial and batch runs.
    pub(crate) fn may_preempt(self) -> bool {
        self.priority <= PAYING
    }
}

/// The queue of jobs with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Jobs to be tried in the next placement.
    pub(crate) open: BTreeSet<Item>,
    /// Jobs that found no worker; they are tried on workers that free capacity.
    pub(crate) blocked: BTreeSet<Item>,
    /// Jobs whose team has used up its share.
    pub(crate) over_quota: BTreeSet<Item>,
    /// The time at which blocked jobs that may preempt were last tried again.
    pub(crate) preempt_retried: Time,
    /// Workers that may have more free capacity than before.
    pub(crate) freed: Vec<WorkerId>,
    /// The time at which blocked jobs are next tried again on all workers.
    pub(crate) blocked_retry_due: Time,
}

impl Queue {
    pub(crate) fn clear(&mut self) {
        *self = Queue::default();
    }

    fn remove(&mut self, item: &Item) {
        self.open.remove(item);
        self.blocked.remove(item);
        self.over_quota.remove(item);
    }
}

impl Cell {
    fn queue_item(&self, id: JobId) -> Item {
        let job = &self.jobs[id];
        let priority = match job.class() {
            _ if job.is_urgent() => URGENT,
            Class::Paying => PAYING,
            Class::Trial => 2,
            Class::Batch => 3,
        };
        Item { priority, order: job.order, job: id }
    }

    /// Queues a job for placement if it has waiting tasks.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        self.dequeue(id);
        let job = &self.jobs[id];
        if job.spec.is_none() || job.parked.is_some() || job.is_cancelled() || job.waiting() == 0 {
            return;
        }
        let item = self.queue_item(id);
        self.jobs[id].queue_item = Some(item);
        self.queue.open.insert(item);
    }

    /// Tries all blocked jobs again at an interval: a job that waits for a first measurement beside
    /// paying tasks gets no event if that measurement never comes.
    pub(crate) fn retry_blocked(&mut self) {
        if self.now < self.queue.blocked_retry_due {
            return;
        }
        self.queue.blocked_retry_due = self.now + BLOCKED_RETRY_INTERVAL;
        let blocked: Vec<JobId> = self.queue.blocked.iter().map(|item| item.job).collect();
        for id in blocked {
            self.enqueue(id);
        }
    }

    pub(crate) fn dequeue(&mut self, id: JobId) {
        if let Some(item) = self.jobs[id].queue_item.take() {
            self.queue.remove(&item);
        }
    }

    pub(crate) fn enqueue_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            self.check_fit(id);
            self.enqueue(id);
        }
    }

    /// Records that a worker may have more free capacity than before.
    pub(crate) fn mark_freed(&mut self, id: WorkerId) {
        if self.queue.freed.last() != Some(&id) {
            self.queue.freed.push(id);
        }
    }

    pub(crate) fn unmark_freed(&mut self, id: WorkerId) {
        self.queue.freed.retain(|&worker| worker != id);
    }
}
