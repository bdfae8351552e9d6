//! A cell that this placer owns, or whose ownership is ending.

use std::collections::BTreeSet;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::cell::Cell;
use cowslipchute_cell::event::Former;
use cowslipchute_cell::status::Counts;

use crate::message::Permit;
use crate::message::Term;
use crate::records::Revisions;
use crate::status;

/// Phase of the cell's ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its records are being read.
    Loading,
    /// The cell makes decisions.
    Active,
    /// The cell starts nothing more and is being closed.
    Quiescing,
    /// Ownership is lost; exchanges and writes in flight are completing.
    Ended,
}

/// A cell and its operations in flight.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) term: Term,
    pub(super) revision: id::Revision,
    pub(super) former: Former,
    pub(super) phase: Phase,
    pub(super) permit: Permit,
    pub(super) revisions: Revisions,
    /// Time to read the records again after a failed read.
    pub(super) load_at: Option<Time>,
    pub(super) exchanges: usize,
    /// Number of the batch being written.
    pub(super) writing: Option<u64>,
    pub(super) sent_jobs: BTreeSet<id::Job>,
    /// Jobs parked in this cell, to be checked for a move to another cell.
    pub(super) parked: BTreeSet<id::Job>,
    /// Removed jobs, to be reported to the cell once every run in it is known.
    pub(super) withdrawn: BTreeSet<id::Job>,
    /// Jobs that are moving to another cell.
    pub(super) departing: BTreeSet<id::Job>,
    /// Jobs whose removal is in the batch being written.
    pub(super) removing: Vec<id::Job>,
    cell: Cell,
}

impl Host {
    pub(super) fn open(term: Term, revision: id::Revision, former: Former, cell: Cell) -> Host {
        Host {
            term,
            revision,
            former,
            phase: Phase::Loading,
            permit: Permit::open(),
            revisions: Revisions::new(),
            load_at: None,
            exchanges: 0,
            writing: None,
            sent_jobs: BTreeSet::new(),
            parked: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            departing: BTreeSet::new(),
            removing: Vec::new(),
            cell,
        }
    }

    /// Returns the decider, unless ownership is lost.
    pub(super) fn cell(&mut self) -> Option<&mut Cell> {
        match self.phase {
            Phase::Active | Phase::Quiescing => Some(&mut self.cell),
            Phase::Loading | Phase::Ended => None,
        }
    }

    /// Returns `true` if nothing is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.exchanges == 0 && self.writing.is_none()
    }

    pub(super) fn is_current(&self, cell: &str) -> bool {
        &*self.term.cell == cell && self.phase != Phase::Ended
    }

    pub(super) fn next_due(&self) -> Option<Time> {
        match self.phase {
            Phase::Loading => self.load_at,
            Phase::Active => self.cell.next_due(),
            Phase::Quiescing | Phase::Ended => None,
        }
    }

    /// Returns the status of the cell, while it makes decisions.
    pub(super) fn detail(&self) -> Option<status::Detail> {
        (self.phase == Phase::Active).then(|| status::Detail::of(&self.cell))
    }

    /// Returns the status of one job of the cell, or of all of them.
    pub(super) fn jobs(&self, only: Option<&str>) -> Vec<status::Job> {
        if self.phase != Phase::Active {
            return Vec::new();
        }
        let wanted = |job: &id::Job| only.is_none_or(|name| **job == *name);
        let jobs = self.cell.jobs().into_iter().filter(|(job, _)| wanted(job));
        let describe = |(job, counts): (id::Job, Counts)| status::Job {
            cell: self.term.cell.clone(),
            tasks: counts,
            parked: self.cell.parked(&job).map(str::to_owned),
            job,
        };
        jobs.map(describe).collect()
    }
}
