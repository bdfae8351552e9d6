//! One run: one cell, its fake workers and the work offered, on one queue of virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::cell::Settings;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Former;
use cowslipchute_cell::record::Record;
use cowslipchute_ports::worker::Phase;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::agenda::Agenda;
use crate::memory;
use crate::processor;
use crate::sample::interval;
use crate::tasks::figures::Figures;
use crate::tasks::fleet::Fleet;
use crate::tasks::fleet::WARM;
use crate::tasks::hidden;
use crate::tasks::hidden::Job;
use crate::tasks::hidden::Nature;
use crate::tasks::machine::Machine;
use crate::tasks::next::Next;
use crate::tasks::policy::Kind;
use crate::tasks::policy::Policy;
use crate::tasks::run::Checkpoints;
use crate::tasks::workers::GRID;
use crate::tasks::workers::TO_WORKER;
use crate::tasks::workers::worker_name;

/// A batch of records is in the store after this long.
const STORE: Duration = Duration::from_millis(5);
/// An urgent job that arrived this long before the end should have started.
const URGENT_GRACE: Duration = Duration::from_secs(20);
/// Virtual time passes at least this much between two ticks, whatever the policy asks.
const TICK_MIN: Duration = Duration::from_millis(1);
/// Jobs that arrive at once when a run begins, in seconds of the stream.
const BACKLOG: f64 = 150.0;
/// Separates the generator of the noise from that of the jobs.
const NOISE_STREAM: u64 = 0x6e6f_6973_6500;

/// One run of one deployment under one policy.
pub(super) struct World<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) agenda: Agenda<Next>,
    pub(super) policy: Box<dyn Policy>,
    pub(super) due: Option<Time>,
    /// What reading the processor's time costs.
    pub(super) reading: Duration,
    pub(super) stream: StdRng,
    pub(super) noise: StdRng,
    pub(super) nature: Nature,
    pub(super) jobs: Vec<Job>,
    pub(super) names: HashMap<id::Job, usize>,
    pub(super) checkpoints: Checkpoints,
    pub(super) machines: Vec<Machine>,
    pub(super) listed: Vec<bool>,
    pub(super) instances: HashMap<id::Instance, usize>,
    pub(super) version: u64,
    pub(super) places: HashMap<Key, usize>,
    pub(super) done: HashMap<Key, id::Attempt>,
    pub(super) urgent_waiting: HashMap<usize, Time>,
    pub(super) actions: Vec<Action>,
    pub(super) figures: Figures,
}

/// A task, by its job's place and its own.
pub(super) type Key = (usize, id::TaskIndex);

/// Runs one deployment under one policy.
pub fn run(fleet: &Fleet, kind: Kind, seed: u64) -> Figures {
    let mut world = World::open(fleet, kind, seed);
    world.begin(kind);
    world.play();
    world.count()
}

fn stored_bytes(record: &Record) -> usize {
    serde_json::to_vec(record).expect("a record always has a JSON form").len()
}

impl World<'_> {
    fn open(fleet: &Fleet, kind: Kind, seed: u64) -> World<'_> {
        let machine = |worker| Machine::open(worker_name(worker), fleet.capacity);
        let settings = Settings { cell: "domain-0/0".into(), seed };
        World {
            fleet,
            agenda: Agenda::open(),
            policy: kind.open(settings),
            due: None,
            reading: processor::reading(),
            stream: StdRng::seed_from_u64(seed),
            noise: StdRng::seed_from_u64(seed ^ NOISE_STREAM),
            nature: Nature::open(seed),
            jobs: Vec::new(),
            names: HashMap::new(),
            checkpoints: Checkpoints::default(),
            machines: (0..fleet.workers).map(machine).collect(),
            listed: vec![true; fleet.workers],
            instances: (0..fleet.workers).map(|n| (worker_name(n), n)).collect(),
            version: 0,
            places: HashMap::new(),
            done: HashMap::new(),
            urgent_waiting: HashMap::new(),
            actions: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn begin(&mut self, kind: Kind) {
        self.step(Event::Policy { spec: kind.spec(self.fleet) });
        for team in hidden::teams() {
            self.step(Event::Share { team, amount: None });
        }
        self.step(Event::OwnershipAcquired {
            epoch: 1,
            former: Former::Released,
            records: Vec::new(),
        });
        self.publish();
        for service in self.fleet.services {
            let job = self.nature.service(service);
            self.arrive(job);
        }
        if self.fleet.offered > 0.0 {
            let backlog = (self.fleet.jobs_per_second() * BACKLOG) as usize;
            for _ in 0..backlog.max(1) {
                let job = self.nature.batch(self.fleet);
                self.arrive(job);
            }
            self.agenda.at(Time::ZERO, Next::Batch);
            self.agenda.at(WARM, Next::Urgent);
        }
        for worker in 0..self.machines.len() {
            let skew = GRID * worker as u32 / self.machines.len() as u32;
            self.agenda.at(skew, Next::Grid(worker));
        }
        self.plan_faults();
    }

    /// Spreads the faults over the workers and the run; worker 0 is left alone.
    fn plan_faults(&mut self) {
        let stride = self.fleet.workers / (self.fleet.deaths + self.fleet.failing + 1);
        for death in 0..self.fleet.deaths {
            let at = self.fleet.length * (death as u32 + 1) / (self.fleet.deaths as u32 + 1);
            self.agenda.at(at, Next::Death(stride * (death + 1)));
        }
        for failing in 0..self.fleet.failing {
            let worker = stride * (self.fleet.deaths + failing + 1);
            self.agenda.at(self.fleet.length / 5, Next::Failing(worker));
        }
    }

    fn play(&mut self) {
        while let Some(next) = self.agenda.next_until(self.fleet.length) {
            self.happen(next);
        }
    }

    fn happen(&mut self, next: Next) {
        match next {
            Next::Batch => {
                let job = self.nature.batch(self.fleet);
                self.arrive(job);
                let gap = interval(&mut self.stream, self.fleet.jobs_per_second());
                self.agenda.after(gap, Next::Batch);
            }
            Next::Urgent => self.urgent(),
            Next::Sent { worker, sequence, exchange } => self.sent(worker, sequence, &exchange),
            Next::Reported { sequence, report } => self.step(Event::Reported { sequence, report }),
            Next::Failed { worker, sequence } => {
                let worker = worker_name(worker);
                self.step(Event::Failed { sequence, worker, maybe_received: true });
            }
            Next::Recorded(batch) => self.step(Event::BatchStored { batch }),
            Next::Tick => self.tick(),
            Next::Grid(worker) => self.grid(worker),
            Next::Death(worker) => self.death(worker),
            Next::Failing(worker) => self.machines[worker].failing = true,
            Next::Dropped => self.publish(),
            Next::Back(worker) => {
                self.machines[worker].restart(self.agenda.now());
                self.listed[worker] = true;
                self.publish();
            }
        }
    }

    // The work offered.

    fn arrive(&mut self, mut job: Job) -> usize {
        job.arrived = self.agenda.now();
        let name = job.name.clone();
        let spec = Arc::new(job.spec.clone());
        let number = self.jobs.len();
        self.jobs.push(job);
        self.names.insert(name.clone(), number);
        self.step(Event::Job { name, spec });
        number
    }

    fn urgent(&mut self) {
        let job = self.nature.urgent(self.fleet);
        self.urgent_waiting.insert(self.jobs.len(), self.agenda.now());
        self.figures.counts.urgent += 1;
        self.arrive(job);
        let every = 1.0 / self.fleet.urgent_every.as_secs_f64();
        let gap = interval(&mut self.stream, every);
        self.agenda.after(gap, Next::Urgent);
    }

    // The owner.

    pub(super) fn step(&mut self, event: Event) {
        let now = self.agenda.now();
        let mut actions = std::mem::take(&mut self.actions);
        let before = processor::now();
        self.policy.step(now, event, &mut actions);
        let due = self.policy.next_due();
        self.figures.spent += (processor::now() - before).saturating_sub(self.reading);
        self.figures.counts.steps += 1;
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        self.schedule(due, now);
    }

    fn schedule(&mut self, due: Option<Time>, earliest: Time) {
        let Some(due) = due else { return };
        let due = due.max(earliest);
        if self.due.is_none_or(|known| due < known) {
            self.due = Some(due);
            self.agenda.at(due, Next::Tick);
        }
    }

    fn tick(&mut self) {
        let now = self.agenda.now();
        if self.due != Some(now) {
            return;
        }
        // Kept in place during the step, so that it schedules nothing for this very moment.
        self.step(Event::Tick);
        self.due = None;
        let due = self.policy.next_due();
        if due.is_some_and(|due| due <= now) {
            self.figures.counts.spins += 1;
        }
        self.schedule(due, now + TICK_MIN);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Exchange { sequence, worker, exchange, .. } => {
                self.figures.counts.exchanges += 1;
                self.figures.counts.commands += exchange.commands.len() as u64;
                let worker = self.instances[&worker];
                self.agenda.after(TO_WORKER, Next::Sent { worker, sequence, exchange });
            }
            Action::Record { batch, records, .. } => {
                self.figures.counts.batches += 1;
                let bytes = records.iter().map(stored_bytes).sum::<usize>();
                self.figures.counts.record_bytes += bytes as u64;
                self.agenda.after(STORE, Next::Recorded(batch));
            }
            Action::Note { .. } => {}
        }
    }

    // The end.

    fn count(mut self) -> Figures {
        let late = self.fleet.length.saturating_sub(URGENT_GRACE);
        let waiting = self.urgent_waiting.values().filter(|&&arrived| arrived < late).count();
        self.figures.counts.urgent_waiting = waiting as u64;
        let wanted: u64 = self.fleet.services.iter().map(|s| u64::from(s.tasks)).sum();
        let runs = self.machines.iter().flat_map(|machine| machine.runs.values());
        let running =
            runs.filter(|run| run.phase == Phase::Running && self.jobs[run.job].is_service());
        self.figures.counts.services_waiting = wanted.saturating_sub(running.count() as u64);
        let before = memory::in_use();
        drop(self.policy);
        self.figures.state_bytes = before.saturating_sub(memory::in_use());
        self.figures
    }
}
