//! Acquiring a cell's ownership, fencing its workers and losing the ownership.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::Time;

use crate::cell::Cell;
use crate::event::Former;
use crate::lease;
use crate::record::Record;
use crate::stage::Fencing;
use crate::stage::Ownership;
use crate::stage::Unowned;
use crate::worker::Fence;
use crate::worker::WorkerId;

impl Cell {
    /// Acquires the ownership and rebuilds the state from the stored records; the workers'
    /// inventories add the runs.
    pub(crate) fn acquire(&mut self, epoch: Epoch, former: Former, records: &[Record]) {
        if self.ownership.epoch().is_some_and(|current| current >= epoch) {
            return;
        }
        self.clear();
        self.load_records(records);
        self.load_membership(records);
        let fencing = Unowned.acquire(epoch, self.now, former);
        self.ownership = Ownership::Fencing(fencing);
        self.note_cell(LogEvent::CellOwned, format!("epoch {epoch}, former owner {former:?}"));
        self.touch_all();
        self.reconcile_all();
        self.fencing_changed = true;
    }

    pub(crate) fn update_former(&mut self, former: Former) {
        if let Ownership::Fencing(fencing) = &mut self.ownership {
            // The previous owner may have granted leases until now, so their expiry is counted
            // from now.
            *fencing = Fencing { former, since: self.now, ..*fencing };
            self.fencing_changed = true;
            self.touch_all();
        }
    }

    pub(crate) fn lose_ownership(&mut self, reason: &str) {
        if self.ownership.epoch().is_none() {
            return;
        }
        self.clear();
        self.ownership = Ownership::Unowned(Unowned);
        self.note_cell(LogEvent::CellLost, reason);
    }

    /// Clears the state that belongs to an ownership; declarations, policy and worker list stay.
    fn clear(&mut self) {
        self.writer.clear();
        self.timers.clear();
        self.touched.clear();
        self.queue.clear();
        self.totals.best_effort = Default::default();
        self.totals.runs = 0;
        self.eviction_budget = Default::default();
        for team in &mut self.teams {
            team.used = Default::default();
        }
        self.reset_jobs();
        let now = self.now;
        for (_, worker) in self.workers.iter_mut() {
            worker.reset(now);
            worker.allocations.clear();
            worker.committed = Default::default();
            worker.timer = None;
            worker.touched = false;
        }
        self.free_capacity.fill(Default::default());
    }

    /// Returns the time by which all leases granted by the previous owner have expired, or `None`
    /// if it may still be renewing them.
    pub(crate) fn former_expiry(&self) -> Option<Time> {
        match self.ownership {
            Ownership::Fencing(fencing) if fencing.former != Former::Unheard => {
                Some(lease::expiry(fencing.since, self.membership.lease_max))
            }
            _ => None,
        }
    }

    /// Makes the cell ready, so that queued tasks may start, once every run in it is known or
    /// certain to have ended.
    pub(crate) fn check_ready(&mut self) {
        if !std::mem::take(&mut self.fencing_changed) {
            return;
        }
        let Ownership::Fencing(fencing) = self.ownership else { return };
        // A list older than the previous owner's may lack workers that it used.
        let is_list_behind =
            self.list_version == 0 || self.list_version < self.membership.stored_version;
        if is_list_behind || self.workers.iter().any(|(_, w)| w.fence == Fence::Unfenced) {
            return;
        }
        self.ownership = Ownership::Ready(fencing.finish());
        self.lease_changed();
        let expired = self.workers.iter().filter(|(_, w)| w.fence == Fence::Expired).count();
        let all = self.workers.len();
        self.note_cell(LogEvent::CellReady, format!("{all} workers, {expired} of them waited out"));
        self.enqueue_all();
    }

    fn touch_all(&mut self) {
        let workers: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id).collect();
        for id in workers {
            self.touch(id);
        }
    }
}
