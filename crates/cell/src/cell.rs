//! The state machine of one cell, as run by the cell's owner.
//!
//! This module holds the state and the entry point [`Cell::step`]; each other module implements one
//! part of [`Cell`].

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::entity::Table;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Run;
use cowslipchute_resource::policy;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::account::Totals;
use crate::action::Action;
use crate::event::Event;
use crate::event::Sequence;
use crate::evict::Budget;
use crate::interference::Model;
use crate::job::Job;
use crate::job::JobId;
use crate::jobs::Undeclared;
use crate::membership::Membership;
use crate::queue::Queue;
use crate::quota::Team;
use crate::quota::TeamNames;
use crate::stage::Ownership;
use crate::stage::Unowned;
use crate::worker::Worker;
use crate::worker::WorkerId;
use crate::writer::Writer;

/// Settings of a cell that are fixed while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The cell's name.
    pub cell: id::Cell,
    /// The seed of all random sampling.
    pub seed: u64,
}

/// The scheduler of one cell's tasks.
#[derive(Debug)]
pub struct Cell {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    /// The time of the step in progress.
    pub(crate) now: Time,
    pub(crate) policy: Arc<policy::Spec>,
    pub(crate) ownership: Ownership,
    /// Version of the worker list in use; zero before the first one.
    pub(crate) list_version: u64,
    pub(crate) workers: Table<Worker>,
    pub(crate) worker_names: HashMap<id::Instance, WorkerId>,
    /// Exchanges in flight with workers that are no longer listed; such a worker may be listed
    /// again before its exchange ends.
    pub(crate) unlisted_exchanges: HashMap<id::Instance, Sequence>,
    pub(crate) racks: HashMap<id::Rack, u16>,
    pub(crate) jobs: Table<Job>,
    pub(crate) job_names: HashMap<id::Job, JobId>,
    /// The highest attempt of each removed job; a job declared again under the name starts above
    /// it.
    pub(crate) attempt_floors: HashMap<id::Job, id::Attempt>,
    pub(crate) arrivals: u64,
    /// Jobs in the order in which they were first seen, each until its time to be declared has
    /// expired.
    pub(crate) undeclared: VecDeque<Undeclared>,
    /// Jobs to be checked for removal at the end of the step.
    pub(crate) to_reap: Vec<JobId>,
    pub(crate) sequence: Sequence,
    pub(crate) writer: Writer,
    pub(crate) queue: Queue,
    pub(crate) teams: Vec<Team>,
    pub(crate) team_names: TeamNames,
    pub(crate) totals: Totals,
    pub(crate) eviction_budget: Budget,
    pub(crate) interference: Model,
    /// Workers in the order in which searches visit them.
    pub(crate) worker_ids: Vec<WorkerId>,
    /// Free capacity of each worker by the index of its id; zero where no task may start.
    pub(crate) free_capacity: Vec<Amount>,
    /// The next due time of each worker, at most one entry for each.
    pub(crate) timers: BTreeSet<(Time, WorkerId)>,
    /// Workers whose commands or timers changed in this step.
    pub(crate) touched: Vec<WorkerId>,
    /// Whether a worker may have become fenced, gone or expired in this step.
    pub(crate) fencing_changed: bool,
    pub(crate) membership: Membership,
    pub(crate) actions: Vec<Action>,
}

impl Cell {
    /// Opens a cell that is not owned yet, without workers and jobs.
    pub fn open(settings: Settings) -> Cell {
        let policy = policy::Spec::default();
        Cell {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            now: Time::ZERO,
            policy: Arc::new(policy),
            ownership: Ownership::Unowned(Unowned),
            list_version: 0,
            workers: Table::default(),
            worker_names: HashMap::new(),
            unlisted_exchanges: HashMap::new(),
            racks: HashMap::new(),
            jobs: Table::default(),
            job_names: HashMap::new(),
            attempt_floors: HashMap::new(),
            arrivals: 0,
            undeclared: VecDeque::new(),
            to_reap: Vec::new(),
            sequence: 0,
            writer: Writer::default(),
            queue: Queue::default(),
            teams: vec![Team::default()],
            team_names: TeamNames::default(),
            totals: Totals::default(),
            eviction_budget: Budget::default(),
            interference: Model::default(),
            worker_ids: Vec::new(),
            free_capacity: Vec::new(),
            timers: BTreeSet::new(),
            touched: Vec::new(),
            fencing_changed: false,
            membership: Membership::default(),
            actions: Vec::new(),
        }
    }

    /// Applies one event and appends the resulting actions in order.
    ///
    /// # Panics
    ///
    /// If `now` is earlier than in the previous call.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        self.take(event);
        self.finish_step();
        actions.append(&mut self.actions);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::OwnershipAcquired { epoch, former, records } => {
                self.acquire(epoch, former, &records)
            }
            Event::Former { former } => self.update_former(former),
            Event::OwnershipLost => self.lose_ownership("the ownership was given up or lost"),
            Event::Policy { spec } => self.set_policy(spec),
            Event::Share { team, amount } => self.set_share(&team, amount),
            Event::Job { name, spec } => self.declare_job(name, spec),
            Event::JobRemoved { name } => self.remove_job(&name),
            Event::Listed { view } => self.apply_list(&view),
            Event::Reported { sequence, report } => self.handle_report(sequence, &report),
            Event::Failed { sequence, worker, maybe_received } => {
                self.handle_failed_exchange(sequence, &worker, maybe_received)
            }
            Event::BatchStored { batch } => self.handle_recorded_batch(batch),
            Event::BatchFailed { batch } => self.handle_failed_batch(batch),
            Event::Tick => {}
        }
    }

    /// Completes a step: runs due timers, starts tasks, sends exchanges and records.
    fn finish_step(&mut self) {
        self.run_timers();
        self.check_ready();
        self.retry_blocked();
        self.place();
        self.reap();
        self.flush();
        self.check_lease_limit();
        self.write();
    }

    /// Returns the time at which an [`Event::Tick`] is next due.
    pub fn next_due(&self) -> Option<Time> {
        self.ownership.epoch()?;
        let timer = self.timers.first().map(|&(time, _)| time);
        let deferred = self.has_open_jobs().then_some(self.now);
        [timer, self.write_due(), self.undeclared_due(), deferred, self.preempt_retry_due()]
            .into_iter()
            .flatten()
            .min()
    }

    fn set_policy(&mut self, spec: Arc<policy::Spec>) {
        let before = std::mem::replace(&mut self.policy, spec);
        if before.lease != self.policy.lease {
            self.lease_changed();
        }
    }

    /// Reports a log event about a job, a worker or the cell.
    pub(crate) fn note(
        &mut self,
        event: LogEvent,
        subject: &id::Instance,
        reason: impl Into<String>,
    ) {
        let subject = subject.clone();
        self.actions.push(Action::Note { event, subject, run: None, reason: reason.into() });
    }

    /// Reports a log event about one run.
    pub(crate) fn note_run(
        &mut self,
        event: LogEvent,
        worker: &id::Instance,
        run: Run,
        reason: impl Into<String>,
    ) {
        let subject = worker.clone();
        self.actions.push(Action::Note { event, subject, run: Some(run), reason: reason.into() });
    }

    /// Reports a log event about the cell.
    pub(crate) fn note_cell(&mut self, event: LogEvent, reason: impl Into<String>) {
        let cell = self.settings.cell.clone();
        self.note(event, &cell, reason);
    }
}
