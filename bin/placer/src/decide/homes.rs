//! Applies the configuration and manages the homes of jobs.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::status::Phase;
use cowslipchute_follow::Change;
use cowslipchute_ports::kv;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Spec;
use cowslipchute_resource::job;
use cowslipchute_resource::key::HOME;
use cowslipchute_resource::policy;
use cowslipchute_tenure::directory;

use crate::journal::Subject;
use crate::message::Request;
use crate::message::Step;
use crate::message::Term;

use super::CELLS_EVERY;
use super::Decide;
use super::RETRY_DELAY;
use super::host;

/// Interval between checks whether parked jobs can move to another cell.
const DEPARTURES_EVERY: Duration = Duration::from_secs(1);

impl Decide {
    pub(super) fn on_config(&mut self, change: Change) {
        match change {
            Change::Put { name, spec, .. } => self.on_put(name, *spec),
            Change::Removed { kind, name, .. } => self.on_removed(kind, &name),
            Change::InForce { revision } => self.on_in_force(revision),
        }
    }

    fn on_put(&mut self, name: id::Service, spec: Spec) {
        match spec {
            Spec::Job(spec) => {
                let mut actions = Vec::new();
                self.directory.declared(self.now(), &name, &Arc::new(spec), &mut actions);
                self.carry_out_homes(actions);
            }
            Spec::Team(spec) => {
                let amount = Some(self.share(&spec));
                self.catalogue.teams.insert(name.clone(), Arc::new(spec));
                self.step_all_cells(&Event::Share { team: name, amount });
            }
            Spec::Policy(spec) => self.on_policy(spec),
            Spec::Service(_) => {}
        }
    }

    fn on_removed(&mut self, kind: Kind, name: &id::Service) {
        match kind {
            Kind::Job => {
                let mut actions = Vec::new();
                self.directory.undeclared(name, &mut actions);
                self.carry_out_homes(actions);
            }
            Kind::Team => {
                self.catalogue.teams.remove(name);
                self.step_all_cells(&Event::Share { team: name.clone(), amount: None });
            }
            Kind::Policy => self.on_policy(policy::Spec::default()),
            Kind::Service => {}
        }
    }

    fn on_policy(&mut self, spec: policy::Spec) {
        let spec = Arc::new(spec);
        self.catalogue.policy = spec.clone();
        self.step_all_cells(&Event::Policy { spec });
    }

    fn on_in_force(&mut self, revision: id::Revision) {
        let mut actions = Vec::new();
        self.directory.set_declared_revision(revision, &mut actions);
        self.carry_out_homes(actions);
        if !self.catalogue.read {
            self.catalogue.read = true;
            let instance = self.context.ownership.instance.clone();
            let reason = format!("revision {revision}");
            self.note(LogEvent::ConfigApplied, Subject::plain(instance), reason);
        }
    }

    fn step_all_cells(&mut self, event: &Event) {
        for term in self.terms() {
            self.step_cell(&term, event.clone());
        }
    }

    pub(super) fn on_homes(&mut self, step: &Step) {
        let now = self.now();
        let mut actions = Vec::new();
        match step {
            Step::Snapshot { snapshot } => {
                self.directory.load_homes(now, &snapshot.entries, &mut actions);
            }
            Step::Put { entry } => self.directory.update_home(now, entry, &mut actions),
            Step::Deleted { key, revision } => {
                if let Some(name) = key.strip_prefix(HOME) {
                    self.directory.remove_home(now, name, *revision);
                }
            }
        }
        self.carry_out_homes(actions);
    }

    pub(super) fn carry_out_homes(&mut self, actions: Vec<directory::Action>) {
        for action in actions {
            match action {
                directory::Action::Claim { txn } => self.request(Request::Claim { txn }),
                directory::Action::Assigned { cell, name, spec } => {
                    if let Some(term) = self.active_term(&cell) {
                        self.set_job_sent(&term, &name, true);
                        self.step_cell(&term, Event::Job { name, spec });
                    }
                }
                directory::Action::Removed { cell, name } => {
                    if let Some(term) = self.active_term(&cell) {
                        self.withdraw(&term, name);
                    }
                }
            }
        }
    }

    /// Notifies a cell that a job was removed. While a worker of the cell may still have runs that
    /// are not known yet, the job's tasks are only cancelled: its home and record must stay until
    /// none of its runs can exist. Otherwise a new job of the same name could start elsewhere
    /// beside the old runs.
    fn withdraw(&mut self, term: &Term, name: id::Job) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        let ready = host.cell().is_some_and(|cell| cell.phase() == Phase::Ready);
        // A cell that does not know the job must receive it first, so that it has the job's home
        // removed.
        if !ready || !host.sent_jobs.contains(&name) {
            let spec = job::Spec { tasks: 0, cancelled: true, ..job::Spec::default() };
            let spec = Arc::new(spec);
            self.step_cell(term, Event::Job { name: name.clone(), spec });
        }
        if ready {
            self.set_job_sent(term, &name, false);
            self.step_cell(term, Event::JobRemoved { name });
        } else if let Some(host) = self.hosts.get_mut(term) {
            host.withdrawn.insert(name);
        }
    }

    /// Notifies a cell that has become ready of the jobs removed in the meantime.
    fn withdraw_waiting(&mut self, term: &Term) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        if host.withdrawn.is_empty() {
            return;
        }
        for name in std::mem::take(&mut host.withdrawn) {
            self.withdraw(term, name);
        }
    }

    fn active_term(&self, cell: &str) -> Option<Term> {
        let active = |term: &&Term| self.hosts[*term].phase == host::Phase::Active;
        self.hosts.keys().find(|term| &*term.cell == cell && active(term)).cloned()
    }

    fn set_job_sent(&mut self, term: &Term, job: &id::Job, sent: bool) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        if sent {
            host.sent_jobs.insert(job.clone());
            host.departing.remove(job);
            host.withdrawn.remove(job);
        } else {
            host.sent_jobs.remove(job);
        }
    }

    /// Sends the jobs of a newly loaded cell to it.
    pub(super) fn send_jobs(&mut self, term: &Term) {
        let mut actions = Vec::new();
        self.directory.add_owned_cell(&term.cell, &mut actions);
        self.carry_out_homes(actions);
    }

    pub(super) fn tick_homes(&mut self) {
        let now = self.now();
        if self.cells_due <= now {
            self.cells_due = now + CELLS_EVERY;
            self.request(Request::Cells);
        }
        let mut actions = Vec::new();
        self.directory.tick(now, &mut actions);
        self.carry_out_homes(actions);
    }

    pub(super) fn on_cells(&mut self, outcome: Result<Vec<id::Cell>, kv::Error>) {
        match outcome {
            Ok(cells) => self.directory.set_cells(cells),
            Err(_) => self.cells_due = self.now() + RETRY_DELAY,
        }
    }

    pub(super) fn on_claimed(&mut self, txn: &kv::Txn, outcome: Result<kv::TxnOutcome, kv::Error>) {
        let mut actions = Vec::new();
        self.directory.claim_ended(self.now(), outcome, txn, RETRY_DELAY, &mut actions);
        self.carry_out_homes(actions);
    }

    /// Lets jobs that are too large for every worker of their cell seek another home. The cell is
    /// notified that they were removed, so that none of their tasks can start in the meantime.
    pub(super) fn tick_departures(&mut self) {
        let now = self.now();
        if now < self.departures_due {
            return;
        }
        self.departures_due = now + DEPARTURES_EVERY;
        for term in self.terms() {
            self.withdraw_waiting(&term);
            for job in self.departing(&term) {
                self.set_job_sent(&term, &job, false);
                self.step_cell(&term, Event::JobRemoved { name: job });
            }
        }
    }

    /// Returns the parked jobs that can leave a cell, marked as departing: none of their tasks runs
    /// or ever ran there.
    fn departing(&mut self, term: &Term) -> Vec<id::Job> {
        let Some(host) = self.hosts.get_mut(term) else { return Vec::new() };
        let candidates = std::mem::take(&mut host.parked);
        let Some(cell) = host.cell() else { return Vec::new() };
        if candidates.is_empty() || cell.phase() != Phase::Ready {
            return Vec::new();
        }
        let counts = cell.jobs();
        let unstarted = |job: &id::Job| {
            counts.get(job).is_some_and(|job| job.running + job.done + job.cancelled == 0)
        };
        let parked: Vec<id::Job> =
            candidates.into_iter().filter(|job| cell.parked(job).is_some()).collect();
        let mut departing = Vec::new();
        for job in parked {
            let recorded = host.revisions.contains_key(&job) || host.writing.is_some();
            if unstarted(&job) && !recorded && self.directory.can_move(&job) {
                host.departing.insert(job.clone());
                departing.push(job);
            } else {
                host.parked.insert(job);
            }
        }
        departing
    }
}
