//! Evacuated failure domains.
//!
//! Load pattern: an operator empties a failure domain while the cell is busy, so a third of the room is gone for new
//! work at once, and comes back later all at once. Nothing more is started there from then on; starts that were
//! decided on and not sent are withdrawn and placed elsewhere. What runs there goes on to its end: stopping it throws
//! work away just when the rest of the cell has the least room.
//!
//! The set of evacuated domains outlives an ownership, as the configuration does: an owner is told the whole set before
//! it owns the cell, and again whenever it changes. Nothing is restored on silence.

use std::collections::BTreeSet;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;

use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

impl Planner {
    /// Takes over which failure domains are evacuated, in place of what was known.
    pub(crate) fn set_evacuated(&mut self, domains: BTreeSet<id::Domain>) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        if before == self.evacuated {
            return;
        }
        let added: Vec<id::Domain> = self.evacuated.difference(&before).cloned().collect();
        let restored: Vec<id::Domain> = before.difference(&self.evacuated).cloned().collect();
        for domain in added {
            self.evacuate_domain(&domain);
        }
        for domain in restored {
            let workers = self.workers_in(&domain).len();
            let detail = format!("{domain}: {workers} workers");
            self.note(LogEvent::DomainRestored, None, None, None, detail);
        }
        self.room_changed = true;
    }

    fn evacuate_domain(&mut self, domain: &id::Domain) {
        let workers = self.workers_in(domain);
        let runs = self.runs_in(domain);
        let detail = format!("{domain}: {} workers, {runs} runs", workers.len());
        self.note(LogEvent::DomainEvacuated, None, None, None, detail);
        for worker in workers {
            self.withdraw_starts(worker);
        }
    }

    /// Returns `true` if a worker's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, worker: &Worker) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(&worker.domain)
    }

    /// Returns how many runs are still in each evacuated failure domain.
    pub(crate) fn evacuated_runs(&self) -> Vec<(id::Domain, i64)> {
        let count = |domain: &id::Domain| (domain.clone(), self.runs_in(domain) as i64);
        self.evacuated.iter().map(count).collect()
    }

    fn runs_in(&self, domain: &id::Domain) -> usize {
        self.workers_in(domain).iter().map(|&id| self.workers[id].runs.len()).sum()
    }

    fn workers_in(&self, domain: &id::Domain) -> Vec<WorkerId> {
        let there = self.workers.iter().filter(|(_, worker)| worker.domain == *domain);
        there.map(|(id, _)| id).collect()
    }
}
