//! The directory of jobs and their home cells. A job has at most one home cell at a time, decided
//! by compare-and-swap on the job's home key.
//!
//! All owners rank the cells for a job in the same order, and each waits for a delay per rank of
//! its best cell before it claims the job. So usually a single write is made for a job, and many
//! jobs share a transaction. The delay only saves writes; the store decides.

mod claim;
mod removal;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_resource::job;
use cowslipchute_resource::key::HOME;

use crate::home::Home;

/// A job's home as stored.
#[derive(Clone, Debug)]
struct Entry {
    home: Home,
    revision: id::Revision,
    /// The removal of the job from its cell, while it is being written.
    removal: Option<Removal>,
}

/// The removal of a job from its cell. Until the written home is read back, the cell receives
/// no further updates of the job, so that it can't restart a job that may get another home.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision of the home before the removal.
    base_revision: id::Revision,
    /// Whether the removal is in the store.
    written: bool,
}

impl Entry {
    /// Returns `true` if the removal is written and its result has been read back.
    fn is_removal_complete(&self) -> bool {
        self.removal.is_some_and(|removal| removal.written && self.revision > removal.base_revision)
    }
}

/// An action requested by a directory.
#[derive(Clone, Debug)]
pub enum Action {
    /// Commit a transaction and report its outcome to [`Directory::claim_ended`]. At most one claim
    /// is in flight.
    Claim {
        /// The transaction.
        txn: kv::Txn,
    },
    /// Notify a cell of a job whose home it is, or of a change of the job's declaration.
    Assigned {
        /// The cell.
        cell: id::Cell,
        /// The job.
        name: id::Job,
        /// The job's desired state.
        spec: Arc<job::Spec>,
    },
    /// Notify a cell that a job is no longer declared or has its home elsewhere.
    Removed {
        /// The cell.
        cell: id::Cell,
        /// The job.
        name: id::Job,
    },
}

/// All declared jobs and their home cells, as known to one placer.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    rank_delay: Duration,
    jobs: BTreeMap<id::Job, Arc<job::Spec>>,
    homes: BTreeMap<id::Job, Entry>,
    /// Jobs without a home, with the time since which they have had none.
    waiting: BTreeMap<id::Job, Time>,
    /// All cells in the store.
    cells: BTreeSet<id::Cell>,
    /// The cells that this placer owns.
    owned_cells: BTreeSet<id::Cell>,
    /// The jobs of the claim in flight.
    claiming: Vec<id::Job>,
    retry_at: Time,
    /// The earliest time at which a waiting job may be due; no scan is needed before.
    scan_at: Time,
    /// Revision up to which all job declarations are known.
    declared_revision: id::Revision,
    /// Whether the homes were read at least once; before that every job seems to have none.
    homes_loaded: bool,
}

impl Directory {
    /// Opens an empty directory. A claim is delayed by `rank_delay` per rank of the claiming cell.
    pub fn open(rank_delay: Duration) -> Directory {
        Directory { rank_delay, ..Directory::default() }
    }

    /// Sets all cells of the deployment.
    pub fn set_cells(&mut self, cells: impl IntoIterator<Item = id::Cell>) {
        self.cells = cells.into_iter().collect();
        self.scan_at = Time::ZERO;
    }

    /// Records that this placer owns a cell, and assigns to the cell the jobs whose home it is.
    pub fn add_owned_cell(&mut self, cell: &id::Cell, actions: &mut Vec<Action>) {
        self.owned_cells.insert(cell.clone());
        self.scan_at = Time::ZERO;
        for (name, stored) in &self.homes {
            if stored.home.cell.as_ref() != Some(cell) {
                continue;
            }
            self.notify_cell(name, stored, actions);
        }
    }

    /// Sets the revision up to which all job declarations are known.
    ///
    /// A job is declared before it gets a home. If the declarations are known up to the home's
    /// revision and don't contain the job, the job was removed; below that revision its declaration
    /// may just not have arrived yet.
    pub fn set_declared_revision(&mut self, revision: id::Revision, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.declared_revision, revision);
        for (name, stored) in &self.homes {
            if stored.revision > before && !self.jobs.contains_key(name) {
                self.notify_cell(name, stored, actions);
            }
        }
    }

    /// Records that this placer no longer owns a cell.
    pub fn remove_owned_cell(&mut self, cell: &id::Cell) {
        self.owned_cells.remove(cell);
        let here = |stored: &&mut Entry| stored.home.cell.as_ref() == Some(cell);
        for stored in self.homes.values_mut().filter(here) {
            stored.removal = None;
        }
    }

    /// Records a new or changed declaration of a job.
    pub fn declared(
        &mut self,
        now: Time,
        name: &id::Job,
        spec: &Arc<job::Spec>,
        actions: &mut Vec<Action>,
    ) {
        self.jobs.insert(name.clone(), spec.clone());
        self.notify_home_cell(name, actions);
        self.update_waiting(now, name);
    }

    /// Records that a job is no longer declared.
    pub fn undeclared(&mut self, name: &id::Job, actions: &mut Vec<Action>) {
        self.jobs.remove(name);
        self.waiting.remove(name);
        let Some(stored) = self.homes.get(name).filter(|s| s.removal.is_none()) else { return };
        let Some(cell) = stored.home.cell.clone().filter(|cell| self.owned_cells.contains(cell))
        else {
            return;
        };
        actions.push(Action::Removed { cell, name: name.clone() });
    }

    /// Replaces all homes by those read from the store.
    pub fn load_homes(&mut self, now: Time, entries: &[kv::Entry], actions: &mut Vec<Action>) {
        let names = entries.iter().filter_map(|entry| entry.key.strip_prefix(HOME));
        let present: BTreeSet<&str> = names.collect();
        self.homes.retain(|name, _| present.contains(&**name));
        self.homes_loaded = true;
        for entry in entries {
            self.update_home(now, entry, actions);
        }
        let names: Vec<id::Job> = self.jobs.keys().cloned().collect();
        for name in &names {
            self.update_waiting(now, name);
        }
    }

    /// Records the home at a key, unless it is older than the known one.
    pub fn update_home(&mut self, now: Time, entry: &kv::Entry, actions: &mut Vec<Action>) {
        let Some(name) = entry.key.strip_prefix(HOME) else { return };
        let Some(home) = Home::from_bytes(&entry.value) else { return };
        let name: id::Job = name.into();
        let known = self.homes.get(&name);
        if known.is_some_and(|stored| stored.revision >= entry.revision) {
            return;
        }
        let before = known.and_then(|stored| stored.home.cell.clone());
        let moved = before != home.cell;
        let removal = known.and_then(|stored| stored.removal).filter(|_| !moved);
        let mut stored = Entry { home, revision: entry.revision, removal };
        let removed = stored.is_removal_complete();
        if removed {
            stored.removal = None;
        }
        self.homes.insert(name.clone(), stored);
        if moved {
            self.notify_removed(before, &name, actions);
        }
        if moved || removed {
            self.notify_home_cell(&name, actions);
        }
        self.update_waiting(now, &name);
    }

    /// Records that the home key of a job was deleted at a revision.
    pub fn remove_home(&mut self, now: Time, name: &str, revision: id::Revision) {
        let Some((name, stored)) = self.homes.get_key_value(name) else { return };
        if stored.revision > revision {
            return;
        }
        let name = name.clone();
        self.homes.remove(&name);
        self.update_waiting(now, &name);
    }

    /// Returns `true` if a job is declared.
    pub fn is_declared(&self, name: &str) -> bool {
        self.jobs.contains_key(name)
    }

    fn update_waiting(&mut self, now: Time, name: &id::Job) {
        let homed = self.homes.get(name).is_some_and(|stored| stored.home.cell.is_some());
        if self.homes_loaded && !homed && self.jobs.contains_key(name) {
            self.waiting.entry(name.clone()).or_insert(now);
            let rank = self.best_claim(name).map(|(_, rank)| rank as u32);
            let due = rank.map_or(Time::MAX, |rank| now + self.rank_delay * rank);
            self.scan_at = self.scan_at.min(due);
        } else {
            self.waiting.remove(name);
        }
    }

    /// Notifies a job's home cell of the job, if this placer owns the cell.
    fn notify_home_cell(&self, name: &id::Job, actions: &mut Vec<Action>) {
        if let Some((name, stored)) = self.homes.get_key_value(name) {
            self.notify_cell(name, stored, actions);
        }
    }

    fn notify_cell(&self, name: &id::Job, stored: &Entry, actions: &mut Vec<Action>) {
        let Some(cell) = &stored.home.cell else { return };
        if stored.removal.is_some() || !self.owned_cells.contains(cell) {
            return;
        }
        let (cell, name) = (cell.clone(), name.clone());
        match self.jobs.get(&name) {
            Some(spec) => actions.push(Action::Assigned { cell, name, spec: spec.clone() }),
            None if stored.revision <= self.declared_revision => {
                actions.push(Action::Removed { cell, name })
            }
            None => {}
        }
    }

    fn notify_removed(&self, cell: Option<id::Cell>, name: &id::Job, actions: &mut Vec<Action>) {
        if let Some(cell) = cell.filter(|cell| self.owned_cells.contains(cell)) {
            actions.push(Action::Removed { cell, name: name.clone() });
        }
    }
}
