//! Homes of jobs: at most one cell at a time, decided by compare-and-swap on a key of the job's own.
//!
//! Every owner ranks the cells for a job in the same order and waits a moment for each cell that
//! ranks before its own, so that usually one write is made for a job, and many jobs share one
//! transaction. The wait saves writes; what decides is the store.

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

/// A home as the store holds it.
#[derive(Clone, Debug)]
struct Entry {
    home: Home,
    revision: id::Revision,
    /// The job's removal from its cell is being written.
    leaving: Option<Removal>,
}

/// A job's removal from its cell. Until what was written is seen, the cell is told nothing more
/// about the job, so that it can't start anew what may next have its home elsewhere.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision of the home that is given up.
    from: id::Revision,
    /// The removal is in the store.
    written: bool,
}

impl Entry {
    /// Tells whether the removal is written and what it left behind is seen.
    fn has_left(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving.written && self.revision > leaving.from)
    }
}

/// What a board wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Decide a transaction and tell [`Directory::claim_ended`]; there is never more than one.
    Claim {
        /// The transaction.
        txn: kv::Txn,
    },
    /// Tell a cell of a job that is at home there, or that its declaration changed.
    Assigned {
        /// The cell.
        cell: id::Cell,
        /// The job.
        name: id::Job,
        /// Its desired state.
        spec: Arc<job::Spec>,
    },
    /// Tell a cell that a job is no longer declared.
    Removed {
        /// The cell.
        cell: id::Cell,
        /// The job.
        name: id::Job,
    },
}

/// All declared jobs and their homes, as one placer knows them.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    rank_delay: Duration,
    jobs: BTreeMap<id::Job, Arc<job::Spec>>,
    homes: BTreeMap<id::Job, Entry>,
    /// Jobs without a home, and since when.
    waiting: BTreeMap<id::Job, Time>,
    /// Every cell that the store knows.
    cells: BTreeSet<id::Cell>,
    /// Those that this placer owns.
    own: BTreeSet<id::Cell>,
    claim: Vec<id::Job>,
    retry_at: Time,
    /// When the next waiting job may be due; no earlier, so that the others needn't be looked at.
    scan_at: Time,
    /// Revision up to which the declarations are known.
    declared_revision: id::Revision,
    /// Homes were read at least once; before that every job would seem to have none.
    homes_loaded: bool,
}

impl Directory {
    /// Opens a board that knows nothing. Each rank waits `rank_delay` for the one before it.
    pub fn open(rank_delay: Duration) -> Directory {
        Directory { rank_delay, ..Directory::default() }
    }

    /// Learns which cells there are in the whole deployment.
    pub fn set_cells(&mut self, cells: impl IntoIterator<Item = id::Cell>) {
        self.cells = cells.into_iter().collect();
        self.scan_at = Time::ZERO;
    }

    /// Learns that a cell is this placer's, and lists the jobs that are at home there.
    pub fn add_owned_cell(&mut self, cell: &id::Cell, actions: &mut Vec<Action>) {
        self.own.insert(cell.clone());
        self.scan_at = Time::ZERO;
        for (name, kept) in &self.homes {
            if kept.home.cell.as_ref() != Some(cell) {
                continue;
            }
            self.tell_kept(name, kept, actions);
        }
    }

    /// Learns up to which revision the declarations are known. A job that has a home was declared
    /// before it got one; if the declarations are known past that and it is not among them, it is
    /// gone. Any earlier it may just not be known here yet.
    pub fn set_declared_revision(&mut self, revision: id::Revision, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.declared_revision, revision);
        for (name, kept) in &self.homes {
            if kept.revision > before && !self.jobs.contains_key(name) {
                self.tell_kept(name, kept, actions);
            }
        }
    }

    /// Learns that a cell is no longer this placer's.
    pub fn remove_owned_cell(&mut self, cell: &id::Cell) {
        self.own.remove(cell);
        let here = |kept: &&mut Entry| kept.home.cell.as_ref() == Some(cell);
        for kept in self.homes.values_mut().filter(here) {
            kept.leaving = None;
        }
    }

    /// Learns of a job or a change of its declaration.
    pub fn declared(
        &mut self,
        now: Time,
        name: &id::Job,
        spec: &Arc<job::Spec>,
        actions: &mut Vec<Action>,
    ) {
        self.jobs.insert(name.clone(), spec.clone());
        self.tell(name, actions);
        self.wait_if_homeless(now, name);
    }

    /// Learns that a job is no longer declared.
    pub fn undeclared(&mut self, name: &id::Job, actions: &mut Vec<Action>) {
        self.jobs.remove(name);
        self.waiting.remove(name);
        let Some(kept) = self.homes.get(name).filter(|kept| kept.leaving.is_none()) else { return };
        let Some(cell) = kept.home.cell.clone().filter(|cell| self.own.contains(cell)) else {
            return;
        };
        actions.push(Action::Removed { cell, name: name.clone() });
    }

    /// Learns all homes at once.
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
            self.wait_if_homeless(now, name);
        }
    }

    /// Learns one home.
    pub fn update_home(&mut self, now: Time, entry: &kv::Entry, actions: &mut Vec<Action>) {
        let Some(name) = entry.key.strip_prefix(HOME) else { return };
        let Some(home) = Home::from_bytes(&entry.value) else { return };
        let name: id::Job = name.into();
        let known = self.homes.get(&name);
        if known.is_some_and(|kept| kept.revision >= entry.revision) {
            return;
        }
        let before = known.and_then(|kept| kept.home.cell.clone());
        let moved = before != home.cell;
        let leaving = known.and_then(|kept| kept.leaving).filter(|_| !moved);
        let mut kept = Entry { home, revision: entry.revision, leaving };
        let left = kept.has_left();
        if left {
            kept.leaving = None;
        }
        self.homes.insert(name.clone(), kept);
        if moved {
            self.leave(before, &name, actions);
        }
        if moved || left {
            self.tell(&name, actions);
        }
        self.wait_if_homeless(now, &name);
    }

    /// Learns that a job has no home key any more.
    pub fn remove_home(&mut self, now: Time, name: &str, revision: id::Revision) {
        let Some((name, kept)) = self.homes.get_key_value(name) else { return };
        if kept.revision > revision {
            return;
        }
        let name = name.clone();
        self.homes.remove(&name);
        self.wait_if_homeless(now, &name);
    }

    /// Tells whether a job is declared.
    pub fn is_declared(&self, name: &str) -> bool {
        self.jobs.contains_key(name)
    }

    fn wait_if_homeless(&mut self, now: Time, name: &id::Job) {
        let homed = self.homes.get(name).is_some_and(|kept| kept.home.cell.is_some());
        if self.homes_loaded && !homed && self.jobs.contains_key(name) {
            self.waiting.entry(name.clone()).or_insert(now);
            let rank = self.best_claim(name).map(|(_, rank)| rank as u32);
            let due = rank.map_or(Time::MAX, |rank| now + self.rank_delay * rank);
            self.scan_at = self.scan_at.min(due);
        } else {
            self.waiting.remove(name);
        }
    }

    /// Tells the owned cell in which a job is at home about it.
    fn tell(&self, name: &id::Job, actions: &mut Vec<Action>) {
        if let Some((name, kept)) = self.homes.get_key_value(name) {
            self.tell_kept(name, kept, actions);
        }
    }

    fn tell_kept(&self, name: &id::Job, kept: &Entry, actions: &mut Vec<Action>) {
        let Some(cell) = &kept.home.cell else { return };
        if kept.leaving.is_some() || !self.own.contains(cell) {
            return;
        }
        let (cell, name) = (cell.clone(), name.clone());
        match self.jobs.get(&name) {
            Some(spec) => actions.push(Action::Assigned { cell, name, spec: spec.clone() }),
            None if kept.revision <= self.declared_revision => {
                actions.push(Action::Removed { cell, name })
            }
            None => {}
        }
    }

    fn leave(&self, cell: Option<id::Cell>, name: &id::Job, actions: &mut Vec<Action>) {
        if let Some(cell) = cell.filter(|cell| self.own.contains(cell)) {
            actions.push(Action::Removed { cell, name: name.clone() });
        }
    }
}
