//! Removal of jobs from their home cell.

use cowslipchute_base::id;
use cowslipchute_ports::kv;

use crate::home::Home;
use crate::home::may_run;
use crate::key;

use super::Action;
use super::Directory;
use super::Removal;

impl Directory {
    /// Returns `true` if the job could move to a cell that it hasn't tried yet.
    pub fn can_move(&self, name: &id::Job) -> bool {
        self.next_home(name).is_some()
    }

    /// Starts the removal of a job from its cell and returns the transaction to commit together
    /// with the deletion of the job's record, once nothing of the job is left in the cell.
    ///
    /// The home of a job that is no longer declared is deleted; if `depart` is set, the job gives
    /// up its home for another cell. Otherwise the job was declared again and keeps its home;
    /// writing it again makes a removal that is still in flight fail its guard.
    ///
    /// Returns `None` if the job's home is not this cell.
    pub fn begin_removal(
        &mut self,
        name: &id::Job,
        cell: &id::Cell,
        depart: bool,
    ) -> Option<kv::Txn> {
        let stored =
            self.homes.get(name).filter(|stored| stored.home.cell.as_ref() == Some(cell))?;
        let key = key::home(name);
        let base_revision = stored.revision;
        let put = |home: &Home| {
            let value = home.to_bytes();
            kv::Change::Put { key: key.clone(), value, lease: 0 }
        };
        let change = match self.next_home(name) {
            _ if !self.jobs.contains_key(name) => kv::Change::Delete { key: key.clone() },
            Some(home) if depart => put(&home),
            _ => put(&stored.home),
        };
        let guards = vec![kv::Precondition::Unchanged(key, base_revision)];
        self.homes.get_mut(name)?.removal = Some(Removal { base_revision, written: false });
        Some(kv::Txn { preconditions: guards, changes: vec![change] })
    }

    /// Records that the removal of a job from its cell is in the store.
    pub fn removal_written(&mut self, name: &id::Job, actions: &mut Vec<Action>) {
        let Some(stored) = self.homes.get_mut(name) else { return };
        let Some(removal) = &mut stored.removal else { return };
        removal.written = true;
        if stored.is_removal_complete() {
            stored.removal = None;
            self.notify_home_cell(name, actions);
        }
    }

    /// Returns the home value by which a job requests another cell, if there is one left to try.
    fn next_home(&self, name: &id::Job) -> Option<Home> {
        let stored = self.homes.get(name)?;
        let spec = self.jobs.get(name)?;
        let mut tried = stored.home.tried.clone();
        tried.extend(stored.home.cell.clone());
        let eligible = |cell: &&id::Cell| may_run(spec, cell) && !tried.contains(cell);
        self.cells.iter().find(eligible)?;
        Some(Home { cell: None, tried })
    }
}
