//! Claims of home cells for jobs that have none.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;

use crate::home::Home;
use crate::home::may_run;
use crate::key;
use crate::rank;

use super::Action;
use super::Directory;

/// Maximum number of jobs claimed in one transaction; the store accepts 128 operations.
const MAX_CLAIM_JOBS: usize = 100;

impl Directory {
    /// Claims the waiting jobs that are due.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.next_due().is_none_or(|due| now < due) {
            return;
        }
        let mut txn = kv::Txn::default();
        let mut next = Time::MAX;
        for (name, &since) in &self.waiting {
            let Some((cell, rank)) = self.best_claim(name) else { continue };
            let due = since + self.rank_delay * rank as u32;
            if due > now || self.claiming.len() == MAX_CLAIM_JOBS {
                next = next.min(due);
                continue;
            }
            self.claiming.push(name.clone());
            self.add_claim(&mut txn, name, cell);
        }
        self.scan_at = next;
        if !self.claiming.is_empty() {
            actions.push(Action::Claim { txn });
        }
    }

    /// Handles the outcome of a claim. After a failure the next claim waits for `retry`.
    pub fn claim_ended(
        &mut self,
        now: Time,
        outcome: Result<kv::TxnOutcome, kv::Error>,
        txn: &kv::Txn,
        retry: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.claiming.clear();
        self.scan_at = Time::ZERO;
        match outcome {
            Ok(verdict) if verdict.applied => {
                for change in &txn.changes {
                    let kv::Change::Put { key, value, lease } = change else { continue };
                    let (key, value, lease) = (key.clone(), value.clone(), *lease);
                    let revision = verdict.revision;
                    self.update_home(now, &kv::Entry { key, value, revision, lease }, actions);
                }
            }
            Ok(verdict) => {
                for entry in &verdict.current {
                    self.update_home(now, entry, actions);
                }
                // A guard on a deleted key returns no entry; the watch reports the deletion.
                self.retry_at = now + retry;
            }
            // The guards make a repeated claim safe whether or not the first took effect.
            Err(_) => self.retry_at = now + retry,
        }
    }

    /// Returns the time at which [`Directory::tick`] next has something to do.
    pub fn next_due(&self) -> Option<Time> {
        let idle =
            !self.claiming.is_empty() || self.owned_cells.is_empty() || self.waiting.is_empty();
        let due = self.scan_at.max(self.retry_at);
        (!idle && due < Time::MAX).then_some(due)
    }

    fn add_claim(&self, txn: &mut kv::Txn, name: &id::Job, cell: id::Cell) {
        let key = key::home(name);
        let stored = self.homes.get(name);
        txn.preconditions.push(match stored {
            Some(stored) => kv::Precondition::Unchanged(key.clone(), stored.revision),
            None => kv::Precondition::Missing(key.clone()),
        });
        let tried = stored.map(|stored| stored.home.tried.clone()).unwrap_or_default();
        let value = Home { cell: Some(cell), tried }.to_bytes();
        txn.changes.push(kv::Change::Put { key, value, lease: 0 });
    }

    /// Returns the best-ranked owned cell for a job and its rank among all cells that may run it.
    pub(super) fn best_claim(&self, name: &id::Job) -> Option<(id::Cell, usize)> {
        let spec = self.jobs.get(name)?;
        let tried = self.homes.get(name).map_or(&[][..], |stored| &stored.home.tried);
        let eligible = |cell: &&id::Cell| may_run(spec, cell) && !tried.contains(cell);
        let ranked = self.owned_cells.iter().filter(eligible).map(|cell| {
            let others = self.cells.iter().filter(eligible).map(|cell| &**cell);
            (rank::rank(name, cell, others), cell)
        });
        ranked.min().map(|(rank, cell)| (cell.clone(), rank))
    }
}
