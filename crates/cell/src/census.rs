//! The stored list version and lease bound by which a later owner fences all workers in use.
//!
//! The list lags, so an owner may use a worker that the next owner's list doesn't show yet. The
//! next owner would fence all workers that it sees, become ready and start a task that still runs
//! on the worker that it doesn't see. So a worker is given tasks only after the list version that
//! shows it is stored, in a batch that is written after the list was received and is conditional on
//! the ownership; a new owner waits for a list of at least that version. This also keeps an owner
//! that was replaced while it was paused from using a worker that it alone has fenced.
//!
//! The policy may change, so the next owner can't tell from its own policy how long a lease it has
//! to wait out. The same record holds the longest lease that may be in force, and no longer one is
//! granted. It becomes shorter with the policy once all longer leases have expired.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;

use crate::cell::Cell;
use crate::lease;
use crate::record::Record;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// The job name of the record that holds the list version; it is not a valid name of a job.
pub const LIST: &str = "@list";

/// The stored list version and lease bound, and the pending changes to them.
#[derive(Debug, Default)]
pub(crate) struct Census {
    /// The stored list version.
    pub(crate) stored: u64,
    /// The longest lease that may be granted: the store has at least this bound, or gets it in the
    /// same write as the first list version; zero before that.
    pub(crate) lease: Duration,
    /// The longest lease that may be in force, including those granted by former owners.
    pub(crate) lease_max: Duration,
    /// The time since which no lease longer than the policy's has been granted.
    pub(crate) since: Time,
    /// The number of the next write, which increases within a cell.
    next: u64,
    /// The number of the last write that the store has.
    done: u64,
    /// Whether a write is needed because a worker was listed or the lease has changed.
    pub(crate) stale: bool,
}

impl Cell {
    pub(crate) fn load_census(&mut self, records: &[Record]) {
        let stored = records.iter().find(|record| &*record.job == LIST);
        self.census.stored = stored.map_or(0, |record| record.view);
        self.census.lease = stored.map_or(Duration::ZERO, |record| record.lease);
        // Without a record no task was ever started in this cell.
        let is_new = self.census.lease.is_zero();
        self.census.lease_max = if is_new { self.policy.lease } else { self.census.lease };
        self.census.next += 1;
        self.census.done = self.census.next - 1;
        // A later owner waits for a list as new as the stored one, which shows all workers in use.
        let is_known = self.view <= self.census.stored;
        let by = if is_known { self.census.done } else { self.census.next };
        for (_, worker) in self.workers.iter_mut() {
            worker.counted_by = worker.counted_by.map(|_| by);
        }
        self.census.stale = !is_known;
        self.census.stale |= self.census.stored > 0 && self.policy.lease > self.census.lease;
    }

    /// Records that a list shows an incarnation of a worker for the first time.
    ///
    /// Comparing list versions is not enough: a list stored under the same version may have shown
    /// fewer workers, since the plan also determines which of them belong to the cell.
    pub(crate) fn count_in(&mut self, id: WorkerId) {
        self.workers[id].counted_by = Some(self.census.next);
        self.census.stale = true;
    }

    /// Returns `true` if every later owner will know of a worker.
    pub(crate) fn is_counted(&self, worker: &Worker) -> bool {
        worker.counted_by.is_some_and(|by| by <= self.census.done)
    }

    /// Handles a change of the policy's lease or of the ownership.
    pub(crate) fn change_lease(&mut self) {
        self.census.since = self.now;
        self.census.stale |= !self.census.lease.is_zero() && self.policy.lease > self.census.lease;
    }

    /// Returns the lease to grant; zero while none may be granted.
    pub(crate) fn lease(&self) -> Duration {
        self.policy.lease.min(self.census.lease)
    }

    /// Marks the lease bound to be shortened once all longer leases have expired.
    pub(crate) fn check_lease(&mut self) {
        self.census.stale |= self.policy.lease < self.census.lease_max && self.is_lease_over();
    }

    /// Returns `true` if every lease longer than the policy's has expired.
    fn is_lease_over(&self) -> bool {
        let lapse = lease::lapse(self.census.since, self.census.lease_max);
        self.ownership.is_ready() && lapse <= self.now
    }

    /// Builds the record to be written and limits the leases granted from now on accordingly.
    pub(crate) fn census_record(&mut self) -> Record {
        let floor = if self.is_lease_over() { Duration::ZERO } else { self.census.lease_max };
        let lease = self.policy.lease.max(floor);
        let census = &mut self.census;
        census.next += 1;
        census.lease_max = lease;
        // The write may fail; until it is confirmed, the shorter of both leases is granted.
        census.lease = if census.lease.is_zero() { lease } else { census.lease.min(lease) };
        // Our list may be older than the one that the former owner used.
        let view = self.view.max(census.stored);
        Record { job: id::Job::from(LIST), view, lease, ..Record::default() }
    }

    /// Handles a stored write of the list version and the lease bound.
    pub(crate) fn counted(&mut self, version: u64, lease: Duration) {
        self.census.lease = lease;
        self.census.stored = version;
        // Only one write is in flight at a time.
        let done = self.census.next - 1;
        let before = std::mem::replace(&mut self.census.done, done);
        let new: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.counted_by.is_some_and(|by| by > before && by <= done))
            .map(|(id, _)| id)
            .collect();
        for id in new {
            self.mark(id);
            self.refresh(id);
        }
    }
}
