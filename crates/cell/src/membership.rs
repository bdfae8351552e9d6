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
pub(crate) struct Membership {
    /// The stored list version.
    pub(crate) stored_version: u64,
    /// The longest lease that may be granted: the store has at least this bound, or gets it in the
    /// same write as the first list version; zero before that.
    pub(crate) lease_limit: Duration,
    /// The longest lease that may be in force, including those granted by previous owners.
    pub(crate) lease_max: Duration,
    /// The time since which no lease longer than the policy's has been granted.
    pub(crate) since: Time,
    /// The number of the next write, which increases within a cell.
    next: u64,
    /// The number of the last write that the store has.
    last_stored: u64,
    /// Whether a write is needed because a worker was listed or the lease has changed.
    pub(crate) dirty: bool,
}

impl Cell {
    pub(crate) fn load_membership(&mut self, records: &[Record]) {
        let stored = records.iter().find(|record| &*record.job == LIST);
        self.membership.stored_version = stored.map_or(0, |record| record.view);
        self.membership.lease_limit = stored.map_or(Duration::ZERO, |record| record.lease);
        // Without a record no task was ever started in this cell.
        let is_new = self.membership.lease_limit.is_zero();
        self.membership.lease_max =
            if is_new { self.policy.lease } else { self.membership.lease_limit };
        self.membership.next += 1;
        self.membership.last_stored = self.membership.next - 1;
        // A later owner waits for a list as new as the stored one, which shows all workers in use.
        let is_known = self.list_version <= self.membership.stored_version;
        let by = if is_known { self.membership.last_stored } else { self.membership.next };
        for (_, worker) in self.workers.iter_mut() {
            worker.known_from = worker.known_from.map(|_| by);
        }
        self.membership.dirty = !is_known;
        self.membership.dirty |=
            self.membership.stored_version > 0 && self.policy.lease > self.membership.lease_limit;
    }

    /// Records that a list shows an incarnation of a worker for the first time.
    ///
    /// Comparing list versions is not enough: a list stored under the same version may have shown
    /// fewer workers, since the plan also determines which of them belong to the cell.
    pub(crate) fn mark_listed(&mut self, id: WorkerId) {
        self.workers[id].known_from = Some(self.membership.next);
        self.membership.dirty = true;
    }

    /// Returns `true` if every later owner will know of a worker.
    pub(crate) fn is_known_to_later_owners(&self, worker: &Worker) -> bool {
        worker.known_from.is_some_and(|by| by <= self.membership.last_stored)
    }

    /// Handles a change of the policy's lease or of the ownership.
    pub(crate) fn lease_changed(&mut self) {
        self.membership.since = self.now;
        self.membership.dirty |= !self.membership.lease_limit.is_zero()
            && self.policy.lease > self.membership.lease_limit;
    }

    /// Returns the lease to grant; zero while none may be granted.
    pub(crate) fn grantable_lease(&self) -> Duration {
        self.policy.lease.min(self.membership.lease_limit)
    }

    /// Marks the lease bound to be shortened once all longer leases have expired.
    pub(crate) fn check_lease_limit(&mut self) {
        self.membership.dirty |=
            self.policy.lease < self.membership.lease_max && self.are_longer_leases_expired();
    }

    /// Returns `true` if every lease longer than the policy's has expired.
    fn are_longer_leases_expired(&self) -> bool {
        let expiry = lease::expiry(self.membership.since, self.membership.lease_max);
        self.ownership.is_ready() && expiry <= self.now
    }

    /// Builds the record to be written and limits the leases granted from now on accordingly.
    pub(crate) fn membership_record(&mut self) -> Record {
        let floor = if self.are_longer_leases_expired() {
            Duration::ZERO
        } else {
            self.membership.lease_max
        };
        let lease = self.policy.lease.max(floor);
        let membership = &mut self.membership;
        membership.next += 1;
        membership.lease_max = lease;
        // The write may fail; until it is confirmed, the shorter of both leases is granted.
        membership.lease_limit = if membership.lease_limit.is_zero() {
            lease
        } else {
            membership.lease_limit.min(lease)
        };
        // Our list may be older than the one that the previous owner used.
        let view = self.list_version.max(membership.stored_version);
        Record { job: id::Job::from(LIST), view, lease, ..Record::default() }
    }

    /// Handles a stored write of the list version and the lease bound.
    pub(crate) fn membership_stored(&mut self, version: u64, lease: Duration) {
        self.membership.lease_limit = lease;
        self.membership.stored_version = version;
        // Only one write is in flight at a time.
        let last_stored = self.membership.next - 1;
        let before = std::mem::replace(&mut self.membership.last_stored, last_stored);
        let new: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.known_from.is_some_and(|by| by > before && by <= last_stored)
            })
            .map(|(id, _)| id)
            .collect();
        for id in new {
            self.mark_freed(id);
            self.update_free_capacity(id);
        }
    }
}
