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
pub(crate) struct Place {
    /// The priority: urgent jobs first, then by class.
    rank: u8,
    order: u64,
    pub(crate) job: JobId,
}

/// The rank of urgent jobs.
const URGENT: u8 = 0;
/// The rank of paying jobs.
const PAYING: u8 = 1;
/// Interval at which all blocked jobs are tried again.
const REVISIT: Duration = Duration::from_secs(30);

impl Place {
    /// Returns `true` if the job may preempt trial and batch runs.
    pub(crate) fn may_preempt(self) -> bool {
        self.rank <= PAYING
    }
}

/// The queue of jobs with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Jobs to be tried in the next placement.
    pub(crate) open: BTreeSet<Place>,
    /// Jobs that found no worker; they are tried on workers that free capacity.
    pub(crate) blocked: BTreeSet<Place>,
    /// Jobs whose team has used up its share.
    pub(crate) capped: BTreeSet<Place>,
    /// The time at which blocked jobs that may preempt were last tried again.
    pub(crate) urged: Time,
    /// Workers that may have more free capacity than before.
    pub(crate) freed: Vec<WorkerId>,
    /// The time at which blocked jobs are next tried again on all workers.
    pub(crate) revisit: Time,
}

impl Queue {
    pub(crate) fn clear(&mut self) {
        *self = Queue::default();
    }

    fn remove(&mut self, place: &Place) {
        self.open.remove(place);
        self.blocked.remove(place);
        self.capped.remove(place);
    }
}

impl Cell {
    fn rank(&self, id: JobId) -> Place {
        let job = &self.jobs[id];
        let rank = match job.class() {
            _ if job.is_urgent() => URGENT,
            Class::Paying => PAYING,
            Class::Trial => 2,
            Class::Batch => 3,
        };
        Place { rank, order: job.order, job: id }
    }

    /// Queues a job for placement if it has waiting tasks.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        self.dequeue(id);
        let job = &self.jobs[id];
        if job.spec.is_none() || job.parked.is_some() || job.is_cancelled() || job.waiting() == 0 {
            return;
        }
        let place = self.rank(id);
        self.jobs[id].place = Some(place);
        self.queue.open.insert(place);
    }

    /// Tries all blocked jobs again at an interval: a job that waits for a first measurement beside
    /// paying tasks gets no event if that measurement never comes.
    pub(crate) fn revisit(&mut self) {
        if self.now < self.queue.revisit {
            return;
        }
        self.queue.revisit = self.now + REVISIT;
        let blocked: Vec<JobId> = self.queue.blocked.iter().map(|place| place.job).collect();
        for id in blocked {
            self.enqueue(id);
        }
    }

    pub(crate) fn dequeue(&mut self, id: JobId) {
        if let Some(place) = self.jobs[id].place.take() {
            self.queue.remove(&place);
        }
    }

    pub(crate) fn enqueue_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            self.refit_job(id);
            self.enqueue(id);
        }
    }

    /// Records that a worker may have more free capacity than before.
    pub(crate) fn mark(&mut self, id: WorkerId) {
        if self.queue.freed.last() != Some(&id) {
            self.queue.freed.push(id);
        }
    }

    pub(crate) fn forget_free(&mut self, id: WorkerId) {
        self.queue.freed.retain(|&freed| freed != id);
    }
}
