//! A simulation of fake workers, a fake store and any number of owners that checks all invariants
//! after every step.

#![allow(dead_code, reason = "each test binary uses a part of it")]

mod check;
pub mod fleet;
pub mod play;
mod wires;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::cell::Cell;
use cowslipchute_cell::cell::Settings;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Former;
use cowslipchute_cell::event::Sequence;
use cowslipchute_cell::record::Record;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_ports::list::View;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_resource::job;
use cowslipchute_resource::policy;
use fleet::Fake;

/// Time increment of a simulation step.
pub const STEP: Duration = Duration::from_millis(100);

type Key = (id::Job, TaskIndex);

/// An exchange in flight: the request until it is delivered, then the answer.
#[derive(Debug)]
pub struct Transfer {
    pub owner: usize,
    pub worker: String,
    sequence: Sequence,
    exchange: Option<Exchange>,
    answer: Option<Event>,
}

/// A batch that was sent to the store.
#[derive(Debug)]
struct Batch {
    epoch: Epoch,
    number: u64,
    records: Vec<Record>,
    removed: Vec<id::Job>,
}

#[derive(Debug)]
pub struct Owner {
    pub name: String,
    pub cell: Cell,
    pub alive: bool,
    pub frozen: bool,
    /// Whether it gets no list updates.
    pub lags: bool,
    epoch: Epoch,
    waiting: VecDeque<Event>,
    batches: VecDeque<Batch>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub records: BTreeMap<id::Job, Record>,
    pub epoch: Epoch,
    /// The records at the end of each former epoch.
    former_records: BTreeMap<Epoch, BTreeMap<id::Job, Record>>,
    pub down: bool,
    /// Number of answers still to be lost after the batch was applied.
    pub lose_answers: u32,
    pub writes: u32,
}

#[derive(Debug, Default)]
pub struct World {
    pub now: Time,
    pub fakes: BTreeMap<String, Fake>,
    /// The platform's current state of the workers: name, incarnation and whether it is leaving.
    pub listed: BTreeMap<String, (u64, bool)>,
    /// The workers as listed under the current version.
    last_listed: BTreeMap<String, (u64, bool)>,
    version: u64,
    /// Racks that the plan doesn't assign to the cell yet.
    pub unplanned: BTreeSet<String>,
    pub owners: Vec<Owner>,
    pub store: Store,
    pub jobs: BTreeMap<id::Job, Arc<job::Spec>>,
    /// Whether new owners are told of the jobs only later.
    pub jobs_late: bool,
    pub shares: BTreeMap<id::Team, Option<Amount>>,
    pub policy: policy::Spec,
    pub transfers: Vec<Transfer>,
    /// Exchanges that were reported as lost and may still arrive, with their workers.
    pub late_exchanges: Vec<(String, Exchange)>,
    /// Workers whose answers are delayed.
    pub held_back: BTreeSet<String>,
    pub notes: Vec<String>,
    last_attempts: BTreeMap<Key, Attempt>,
    completed: BTreeSet<Key>,
    cancelled: BTreeSet<id::Job>,
    ends: BTreeMap<Key, &'static str>,
}

impl World {
    pub fn add_worker(&mut self, name: &str, rack: &str, capacity: Amount) {
        let index = self.fakes.len() as u64 + 1;
        self.fakes.insert(name.to_owned(), Fake::new(name, rack, capacity, index));
        self.listed.insert(name.to_owned(), (1, false));
    }

    pub fn fake(&mut self, name: &str) -> &mut Fake {
        self.fakes.get_mut(name).expect("a worker of the world")
    }

    /// Lists a worker's current incarnation; owners see it when the list is published.
    pub fn list(&mut self, name: &str) {
        let incarnation = self.fakes[name].incarnation;
        self.listed.insert(name.to_owned(), (incarnation, false));
    }

    /// Returns `true` if a job of this name was ever cancelled or removed.
    pub fn was_used(&self, name: &str) -> bool {
        self.cancelled.contains(name)
    }

    /// Returns the platform's list; its version increases with each change, even one that no owner
    /// saw.
    pub fn view(&mut self) -> View {
        if self.last_listed != self.listed {
            self.version += 1;
            self.last_listed = self.listed.clone();
        }
        let is_planned = |name: &&String| !self.unplanned.contains(&self.fakes[*name].rack);
        let planned = self.listed.iter().filter(|(name, _)| is_planned(name));
        let members = planned.map(|(name, &(incarnation, leaving))| {
            let fake = &self.fakes[name];
            Member {
                instance: name.as_str().into(),
                incarnation,
                role: Role::Worker,
                state: if leaving { State::Leaving } else { State::Live },
                domain: "d1".into(),
                rack: fake.rack.as_str().into(),
                address: "127.0.0.1:1".parse().expect("an address"),
                service: "".into(),
                slots: 0,
                connections: 0,
                capacity: fake.capacity,
            }
        });
        View { version: self.version, members: members.collect() }
    }

    /// Publishes the list to every owner that doesn't lag.
    pub fn publish(&mut self) {
        self.version += 1;
        let view = self.view();
        for owner in 0..self.owners.len() {
            if !self.owners[owner].lags {
                self.deliver_event(owner, Event::Listed { view: view.clone() });
            }
        }
    }

    pub fn broadcast(&mut self, event: &Event) {
        for owner in 0..self.owners.len() {
            self.deliver_event(owner, event.clone());
        }
    }

    pub fn declare(&mut self, name: &str, spec: job::Spec) {
        let name: id::Job = name.into();
        let spec = Arc::new(spec);
        if spec.cancelled {
            self.cancelled.insert(name.clone());
        }
        self.jobs.insert(name.clone(), spec.clone());
        self.broadcast(&Event::Job { name, spec });
    }

    pub fn undeclare(&mut self, name: &str) {
        let name: id::Job = name.into();
        self.cancelled.insert(name.clone());
        self.jobs.remove(&name);
        self.broadcast(&Event::JobRemoved { name });
    }

    /// Opens an owner process that doesn't own the cell yet.
    pub fn open(&mut self, name: &str) -> usize {
        let seed = self.owners.len() as u64 + 1;
        let cell = Cell::open(Settings { cell: "d1/0".into(), seed });
        self.owners.push(Owner {
            name: name.to_owned(),
            cell,
            alive: true,
            frozen: false,
            lags: false,
            epoch: 0,
            waiting: VecDeque::new(),
            batches: VecDeque::new(),
        });
        let owner = self.owners.len() - 1;
        self.deliver_event(owner, Event::Policy { spec: Arc::new(self.policy.clone()) });
        let shares: Vec<_> = self.shares.iter().map(|(t, s)| (t.clone(), *s)).collect();
        for (team, amount) in shares {
            self.deliver_event(owner, Event::Share { team, amount });
        }
        let view = self.view();
        self.deliver_event(owner, Event::Listed { view });
        if !self.jobs_late {
            self.send_jobs(owner);
        }
        owner
    }

    /// Sends all job declarations to an owner.
    pub fn send_jobs(&mut self, owner: usize) {
        let jobs: Vec<_> = self.jobs.iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        for (name, spec) in jobs {
            self.deliver_event(owner, Event::Job { name, spec });
        }
    }

    pub fn owner(&mut self, name: &str) -> usize {
        match self.owners.iter().position(|owner| owner.name == name && owner.alive) {
            Some(owner) => owner,
            None => self.open(name),
        }
    }

    /// Makes an owner take the cell's ownership under a new epoch.
    pub fn own(&mut self, owner: usize, former: Former) {
        self.store.former_records.insert(self.store.epoch, self.store.records.clone());
        self.store.epoch += 1;
        let epoch = self.store.epoch;
        self.owners[owner].epoch = epoch;
        let records = self.store.records.values().cloned().collect();
        self.deliver_event(owner, Event::OwnershipAcquired { epoch, former, records });
    }

    /// Delivers an event to an owner; a frozen one gets it when it is thawed.
    pub fn deliver_event(&mut self, owner: usize, event: Event) {
        let target = &mut self.owners[owner];
        if !target.alive {
            return;
        }
        if target.frozen {
            target.waiting.push_back(event);
            return;
        }
        let mut actions = Vec::new();
        target.cell.step(self.now, event, &mut actions);
        for action in actions {
            self.perform(owner, action);
        }
        self.check();
    }

    pub fn freeze(&mut self, owner: usize) {
        self.owners[owner].frozen = true;
    }

    pub fn thaw(&mut self, owner: usize) {
        self.owners[owner].frozen = false;
        while let Some(event) = self.owners[owner].waiting.pop_front() {
            self.deliver_event(owner, event);
        }
    }

    fn perform(&mut self, owner: usize, action: Action) {
        match action {
            Action::Exchange { sequence, worker, exchange, .. } => {
                let busy =
                    |transfer: &Transfer| transfer.owner == owner && transfer.worker == *worker;
                assert!(!self.transfers.iter().any(busy), "one exchange in flight for a worker");
                let (worker, exchange) = (worker.to_string(), Some(exchange));
                self.transfers.push(Transfer { owner, worker, sequence, exchange, answer: None });
            }
            Action::Record { batch: number, records, removed } => {
                let owner = &mut self.owners[owner];
                let epoch = owner.epoch;
                let busy = owner.batches.iter().any(|batch| batch.epoch == epoch);
                assert!(!busy, "one batch in flight under an epoch");
                owner.batches.push_back(Batch { epoch, number, records, removed });
            }
            Action::Note { event, subject, run, reason } => {
                let run = run.map(|r| format!(" {}/{}", r.job, r.task)).unwrap_or_default();
                let owner = &self.owners[owner].name;
                self.notes.push(format!("{owner} {}{run} {subject}: {reason}", event.name()));
            }
        }
    }

    /// Completes an owner's oldest batch; returns `false` if there is none.
    pub fn complete_batch(&mut self, owner: usize) -> bool {
        let Some(batch) = self.owners[owner].batches.pop_front() else { return false };
        let number = batch.number;
        let event = if self.store.down {
            Event::BatchFailed { batch: number }
        } else if batch.epoch != self.store.epoch && batch.epoch == self.owners[owner].epoch {
            Event::OwnershipLost
        } else if batch.epoch != self.store.epoch {
            Event::BatchFailed { batch: number }
        } else {
            self.apply(batch);
            let lost = self.store.lose_answers > 0;
            self.store.lose_answers = self.store.lose_answers.saturating_sub(1);
            match lost {
                true => Event::BatchFailed { batch: number },
                false => Event::BatchStored { batch: number },
            }
        };
        self.deliver_event(owner, event);
        true
    }

    fn apply(&mut self, batch: Batch) {
        self.store.writes += 1;
        for record in batch.records {
            self.check_record(&record);
            self.store.records.insert(record.job.clone(), record);
        }
        for job in batch.removed {
            self.store.records.remove(&job);
            self.ends.retain(|key, _| key.0 != job);
        }
    }

    /// Sends an owner a tick if one is due.
    pub fn tick(&mut self, owner: usize) -> bool {
        let target = &self.owners[owner];
        let is_due = target.cell.next_due().is_some_and(|due| due <= self.now);
        let can_tick = target.alive && !target.frozen && is_due;
        if can_tick {
            self.deliver_event(owner, Event::Tick);
        }
        can_tick
    }

    /// Advances the time in steps and delivers everything in flight after each.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.deliver_all();
        while self.now < end {
            self.now += STEP;
            self.check();
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..20 {
            let mut busy = false;
            for owner in 0..self.owners.len() {
                busy |= self.tick(owner);
                busy |= self.complete_batch(owner);
            }
            let mut index = 0;
            while index < self.transfers.len() {
                let before = self.transfers.len();
                let has_progressed = self.deliver(index);
                busy |= has_progressed;
                index += usize::from(!has_progressed || self.transfers.len() >= before);
            }
            if !busy {
                return;
            }
        }
    }
}
