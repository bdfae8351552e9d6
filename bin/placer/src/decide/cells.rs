//! Carries out the actions of cells and reports the results to them.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Sequence;
use cowslipchute_cell::record::Record;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;
use cowslipchute_ports::worker;
use cowslipchute_resource::key::CELL;
use cowslipchute_resource::team;
use cowslipchute_tenure::event::Event as Tenure;

use crate::journal::Subject;
use crate::message::Answer;
use crate::message::Completion;
use crate::message::Exchange;
use crate::message::Request;
use crate::message::Term;
use crate::records::Batch;
use crate::records::Edit;
use crate::records::Loaded;
use crate::records::Written;

use super::Decide;
use super::RETRY_DELAY;
use super::host::Phase;

impl Decide {
    pub(super) fn on_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Ownership(event) => self.step_manager(event),
            Answer::Revoked => {}
            Answer::Loaded { term, outcome } => self.on_loaded(&term, outcome),
            Answer::Written { term, number, written } => self.on_written(&term, number, written),
            Answer::Claimed { txn, outcome } => self.on_claimed(&txn, outcome),
            Answer::Cells { outcome } => self.on_cells(outcome),
        }
    }

    /// Steps a cell and carries out its actions.
    pub(super) fn step_cell(&mut self, term: &Term, event: Event) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(term) else { return };
        let Some(cell) = host.cell() else { return };
        let mut actions = Vec::new();
        cell.step(now, event, &mut actions);
        for action in actions {
            self.carry_out_for(term, action);
        }
    }

    fn carry_out_for(&mut self, term: &Term, action: Action) {
        match action {
            Action::Exchange { sequence, worker, address, exchange } => {
                self.send_exchange(term, sequence, worker, address, exchange);
            }
            Action::Record { batch, records, removed } => {
                self.write_records(term, batch, &records, &removed);
            }
            // The ownership manager has reported it.
            Action::Note { event: LogEvent::CellOwned, .. } => {}
            Action::Note { event, subject, run, reason } => {
                self.record_parked_job(term, event, &subject, run.is_some());
                self.note(event, Subject::run(subject, run), reason);
            }
        }
    }

    /// Records a job whose tasks are all parked: it may be able to run in another cell.
    fn record_parked_job(
        &mut self,
        term: &Term,
        event: LogEvent,
        subject: &id::Instance,
        run: bool,
    ) {
        if event == LogEvent::TaskParked
            && !run
            && let Some(host) = self.hosts.get_mut(term)
        {
            host.parked.insert(subject.clone());
        }
    }

    fn send_exchange(
        &mut self,
        term: &Term,
        sequence: Sequence,
        worker: id::Instance,
        address: std::net::SocketAddr,
        exchange: worker::Exchange,
    ) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        // A cell that is being closed renews nothing and starts nothing.
        if host.phase != Phase::Active {
            return;
        }
        let permit = host.permit.clone();
        let request = Exchange {
            term: term.clone(),
            permit,
            sequence,
            worker: worker.clone(),
            address,
            exchange,
        };
        host.exchanges += 1;
        if self.outputs.workers.send(request).is_err() {
            host.exchanges -= 1;
            self.context.metrics.exchange("refused", std::time::Duration::ZERO);
            self.step_cell(term, Event::Failed { sequence, worker, maybe_received: false });
        }
    }

    pub(super) fn on_completion(&mut self, completion: Completion) {
        let Some(host) = self.hosts.get_mut(&completion.term) else { return };
        host.exchanges -= 1;
        let (term, sequence, worker) = (completion.term, completion.sequence, completion.worker);
        match completion.outcome {
            Ok(report) => {
                self.context.metrics.exchange("reported", completion.took);
                self.check_epoch(&term, report.epoch);
                self.step_cell(&term, Event::Reported { sequence, report });
            }
            Err(error) => {
                let maybe_received = matches!(error, worker::Error::Unknown(_));
                let outcome = if maybe_received { "unknown" } else { "unsent" };
                self.context.metrics.exchange(outcome, completion.took);
                self.step_cell(&term, Event::Failed { sequence, worker, maybe_received });
            }
        }
        self.settle_host(&term);
    }

    /// Handles a worker that obeys a higher epoch, which shows that the cell has another owner.
    fn check_epoch(&mut self, term: &Term, epoch: id::Epoch) {
        if epoch > term.epoch {
            self.step_manager(Tenure::HigherEpoch { cell: term.cell.clone(), epoch });
        }
    }

    fn on_loaded(&mut self, term: &Term, outcome: Result<Loaded, kv::Error>) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(term) else { return };
        if host.phase != Phase::Loading {
            return;
        }
        let Ok(loaded) = outcome else {
            host.load_at = Some(now + RETRY_DELAY);
            return;
        };
        host.load_at = None;
        host.phase = Phase::Active;
        host.revisions = loaded.revisions;
        let former = host.former;
        let spec = self.catalogue.policy.clone();
        self.step_cell(term, Event::Policy { spec });
        let owned = Event::OwnershipAcquired { epoch: term.epoch, former, records: loaded.records };
        self.step_cell(term, owned);
        self.send_shares(term);
        self.send_workers(term);
        self.send_jobs(term);
    }

    pub(super) fn send_workers(&mut self, term: &Term) {
        let Some(version) = self.view.as_ref().map(|view| view.version) else { return };
        let members = self.cell_workers(&term.cell).cloned().collect();
        self.step_cell(term, Event::Listed { view: list::View { version, members } });
    }

    /// Sends every cell its workers, after a new list or a new plan.
    pub(super) fn send_workers_to_all(&mut self) {
        for term in self.terms() {
            self.send_workers(&term);
        }
    }

    pub(super) fn terms(&self) -> Vec<Term> {
        self.hosts.keys().cloned().collect()
    }

    fn send_shares(&mut self, term: &Term) {
        for (team, spec) in self.catalogue.teams.clone() {
            let amount = Some(self.share(&spec));
            self.step_cell(term, Event::Share { team, amount });
        }
    }

    /// Returns the fraction of a team's quota that one cell may use: the domain's share divided by
    /// the number of its cells. The fractions never add up to more than the share.
    pub(super) fn share(&self, spec: &team::Spec) -> Amount {
        let domain = &*self.context.ownership.domain;
        let share = spec.shares.get(domain).copied().unwrap_or(Amount::ZERO);
        let slices = self.manager.plan().cell_count().max(1);
        Amount {
            cpu_milli: share.cpu_milli / slices,
            memory_mib: share.memory_mib / slices,
            accelerators: (u32::from(share.accelerators) / slices) as u16,
        }
    }

    fn write_records(&mut self, term: &Term, number: u64, records: &[Record], gone: &[id::Job]) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        assert!(host.writing.is_none(), "a cell has one batch in flight");
        host.writing = Some(number);
        host.removing = gone.to_vec();
        let owner_key = format!("{CELL}{}", term.cell);
        let mut edits = Vec::with_capacity(records.len() + gone.len());
        for record in records {
            let value = serde_json::to_vec(record).expect("a record always has a JSON form");
            let revision = host.revisions.get(&record.job).copied();
            let along = kv::Txn::default();
            edits.push(Edit { job: record.job.clone(), revision, value: Some(value), along });
        }
        for job in gone {
            let depart = host.departing.contains(job);
            let along = self.directory.begin_removal(job, &term.cell, depart).unwrap_or_default();
            let revision = host.revisions.get(job).copied();
            edits.push(Edit { job: job.clone(), revision, value: None, along });
        }
        let cell = term.cell.clone();
        let batch = Batch { number, owner_key, owner_revision: host.revision, cell, edits };
        self.request(Request::Write { term: term.clone(), batch });
    }

    fn on_written(&mut self, term: &Term, number: u64, written: Written) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        host.writing = None;
        for learnt in written.revisions {
            match learnt.revision {
                Some(revision) => host.revisions.insert(learnt.job, revision),
                None => host.revisions.remove(&learnt.job),
            };
        }
        let leaving = std::mem::take(&mut host.removing);
        if written.complete {
            self.step_cell(term, Event::BatchStored { batch: number });
            self.on_left(term, &leaving);
        } else {
            self.on_write_failed(term, number, written.ownership_lost, written.error);
        }
        self.settle_host(term);
    }

    fn on_left(&mut self, term: &Term, jobs: &[id::Job]) {
        let mut actions = Vec::new();
        for job in jobs {
            self.directory.removal_written(job, &mut actions);
            if let Some(host) = self.hosts.get_mut(term) {
                host.departing.remove(job);
            }
        }
        self.carry_out_homes(actions);
    }

    fn on_write_failed(
        &mut self,
        term: &Term,
        number: u64,
        deposed: bool,
        error: Option<kv::Error>,
    ) {
        if deposed {
            let reason = format!("epoch {} no longer stands in the store", term.epoch);
            let subject = Subject::plain(term.cell.clone());
            self.note(LogEvent::RecordRefused, subject, reason);
            self.step_manager(Tenure::Changed);
        }
        if let Some(error) = error {
            let subject = Subject::plain(term.cell.clone());
            self.note(LogEvent::StoreUnsettled, subject, error.to_string());
        }
        self.step_cell(term, Event::BatchFailed { batch: number });
    }

    pub(super) fn tick_cells(&mut self) {
        let now = self.now();
        for term in self.terms() {
            let Some(host) = self.hosts.get_mut(&term) else { continue };
            if host.next_due().is_none_or(|due| due > now) {
                continue;
            }
            if host.phase == Phase::Loading {
                host.load_at = None;
                self.request(Request::Load { term });
            } else {
                self.step_cell(&term, Event::Tick);
            }
        }
    }
}
