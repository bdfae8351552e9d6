//! Evacuated failure domains.
//!
//! An operator may evacuate a failure domain of a busy cell: a third of the capacity becomes
//! unavailable for new work at once, and all of it returns at once later. Nothing more is started
//! in the domain; starts that were decided on but not sent are withdrawn and placed elsewhere. Runs
//! there continue to their end, since stopping them would waste work just when the rest of the cell
//! has the least free capacity.
//!
//! The set of evacuated domains outlives an ownership, as the configuration does: an owner receives
//! the whole set before it owns the cell, and again whenever it changes. Missing information never
//! restores a domain.

use std::collections::BTreeSet;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;

use crate::planner::Planner;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

impl Planner {
    /// Replaces the set of evacuated failure domains.
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

    /// Returns the number of remaining runs in each evacuated failure domain.
    pub(crate) fn evacuated_runs(&self) -> Vec<(id::Domain, i64)> {
        let count = |domain: &id::Domain| (domain.clone(), self.runs_in(domain) as i64);
        self.evacuated.iter().map(count).collect()
    }

    fn runs_in(&self, domain: &id::Domain) -> usize {
        self.workers_in(domain).iter().map(|&id| self.workers[id].runs.len()).sum()
    }

    fn workers_in(&self, domain: &id::Domain) -> Vec<WorkerId> {
        let in_domain = self.workers.iter().filter(|(_, worker)| worker.domain == *domain);
        in_domain.map(|(id, _)| id).collect()
    }
}
