//! Simulation of one cell, its fake workers and its load, on one queue of virtual time.

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

use crate::cpu_time;
use crate::event_queue::Queue;
use crate::memory;
use crate::sample::interval;
use crate::tasks::figures::Figures;
use crate::tasks::fleet::Fleet;
use crate::tasks::fleet::WARM_UP;
use crate::tasks::machine::Machine;
use crate::tasks::model;
use crate::tasks::model::Job;
use crate::tasks::model::Model;
use crate::tasks::policy::Kind;
use crate::tasks::policy::Policy;
use crate::tasks::run::Checkpoints;
use crate::tasks::sim_event::SimEvent;
use crate::tasks::workers::ADVANCE_INTERVAL;
use crate::tasks::workers::WORKER_DELAY;
use crate::tasks::workers::worker_name;

/// Latency of writing a batch of records to the store.
const STORE_DELAY: Duration = Duration::from_millis(5);
/// Urgent jobs that arrived at least this long before the end are expected to have started.
const URGENT_START_GRACE: Duration = Duration::from_secs(20);
/// Minimum time between two ticks, so that a policy that is always due can't stop virtual time.
const TICK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Backlog at the start of a run, in seconds of the arrival stream.
const BACKLOG_SECONDS: f64 = 150.0;
/// Distinguishes the seed of the measurement noise from that of the jobs.
const NOISE_STREAM: u64 = 0x6e6f_6973_6500;

/// Simulation of one deployment under one policy.
pub(super) struct Simulation<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) queue: Queue<SimEvent>,
    pub(super) policy: Box<dyn Policy>,
    pub(super) next_tick: Option<Time>,
    /// Processor time that one reading of the clock costs.
    pub(super) clock_cost: Duration,
    pub(super) stream: StdRng,
    pub(super) noise: StdRng,
    pub(super) model: Model,
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

/// A task: the index of its job and its index within the job.
pub(super) type Key = (usize, id::TaskIndex);

/// Simulates one deployment under one policy.
pub fn run(fleet: &Fleet, kind: Kind, seed: u64) -> Figures {
    let mut simulation = Simulation::open(fleet, kind, seed);
    simulation.start(kind);
    simulation.run_events();
    simulation.finish()
}

fn encoded_len(record: &Record) -> usize {
    serde_json::to_vec(record).expect("records serialize to JSON").len()
}

impl Simulation<'_> {
    fn open(fleet: &Fleet, kind: Kind, seed: u64) -> Simulation<'_> {
        let machine = |worker| Machine::open(worker_name(worker), fleet.capacity);
        let settings = Settings { cell: "domain-0/0".into(), seed };
        Simulation {
            fleet,
            queue: Queue::open(),
            policy: kind.open(settings),
            next_tick: None,
            clock_cost: cpu_time::reading_cost(),
            stream: StdRng::seed_from_u64(seed),
            noise: StdRng::seed_from_u64(seed ^ NOISE_STREAM),
            model: Model::open(seed),
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

    fn start(&mut self, kind: Kind) {
        self.step(Event::Policy { spec: kind.spec(self.fleet) });
        for team in model::teams() {
            self.step(Event::Share { team, amount: None });
        }
        self.step(Event::OwnershipAcquired {
            epoch: 1,
            former: Former::Released,
            records: Vec::new(),
        });
        self.publish_list();
        for service in self.fleet.services {
            let job = self.model.service(service);
            self.add_job(job);
        }
        if self.fleet.offered > 0.0 {
            let backlog = (self.fleet.jobs_per_second() * BACKLOG_SECONDS) as usize;
            for _ in 0..backlog.max(1) {
                let job = self.model.batch(self.fleet);
                self.add_job(job);
            }
            self.queue.at(Time::ZERO, SimEvent::Batch);
            self.queue.at(WARM_UP, SimEvent::Urgent);
        }
        for worker in 0..self.machines.len() {
            let offset = ADVANCE_INTERVAL * worker as u32 / self.machines.len() as u32;
            self.queue.at(offset, SimEvent::Advance(worker));
        }
        self.schedule_faults();
    }

    /// Spreads the faults over the workers and over time; worker 0 has none.
    fn schedule_faults(&mut self) {
        let stride = self.fleet.workers / (self.fleet.crashes + self.fleet.failing + 1);
        for crash in 0..self.fleet.crashes {
            let at = self.fleet.length * (crash as u32 + 1) / (self.fleet.crashes as u32 + 1);
            self.queue.at(at, SimEvent::Crash(stride * (crash + 1)));
        }
        for failing in 0..self.fleet.failing {
            let worker = stride * (self.fleet.crashes + failing + 1);
            self.queue.at(self.fleet.length / 5, SimEvent::FailRuns(worker));
        }
    }

    fn run_events(&mut self) {
        while let Some(event) = self.queue.next_until(self.fleet.length) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Batch => {
                let job = self.model.batch(self.fleet);
                self.add_job(job);
                let gap = interval(&mut self.stream, self.fleet.jobs_per_second());
                self.queue.after(gap, SimEvent::Batch);
            }
            SimEvent::Urgent => self.add_urgent(),
            SimEvent::Sent { worker, sequence, exchange } => {
                self.deliver(worker, sequence, &exchange)
            }
            SimEvent::Reported { sequence, report } => {
                self.step(Event::Reported { sequence, report })
            }
            SimEvent::Failed { worker, sequence } => {
                let worker = worker_name(worker);
                self.step(Event::Failed { sequence, worker, maybe_received: true });
            }
            SimEvent::Recorded(batch) => self.step(Event::BatchStored { batch }),
            SimEvent::Tick => self.tick(),
            SimEvent::Advance(worker) => self.advance_worker(worker),
            SimEvent::Crash(worker) => self.crash_worker(worker),
            SimEvent::FailRuns(worker) => self.machines[worker].failing = true,
            SimEvent::ListChange => self.publish_list(),
            SimEvent::Restart(worker) => {
                self.machines[worker].restart(self.queue.now());
                self.listed[worker] = true;
                self.publish_list();
            }
        }
    }

    // Load.

    fn add_job(&mut self, mut job: Job) -> usize {
        job.arrived = self.queue.now();
        let name = job.name.clone();
        let spec = Arc::new(job.spec.clone());
        let index = self.jobs.len();
        self.jobs.push(job);
        self.names.insert(name.clone(), index);
        self.step(Event::Job { name, spec });
        index
    }

    fn add_urgent(&mut self) {
        let job = self.model.urgent(self.fleet);
        self.urgent_waiting.insert(self.jobs.len(), self.queue.now());
        self.figures.counts.urgent += 1;
        self.add_job(job);
        let per_second = 1.0 / self.fleet.urgent_interval.as_secs_f64();
        let gap = interval(&mut self.stream, per_second);
        self.queue.after(gap, SimEvent::Urgent);
    }

    // Cell owner.

    pub(super) fn step(&mut self, event: Event) {
        let now = self.queue.now();
        let mut actions = std::mem::take(&mut self.actions);
        let before = cpu_time::now();
        self.policy.step(now, event, &mut actions);
        let due = self.policy.next_due();
        self.figures.policy_time += (cpu_time::now() - before).saturating_sub(self.clock_cost);
        self.figures.counts.steps += 1;
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.schedule_tick(due, now);
    }

    fn schedule_tick(&mut self, due: Option<Time>, earliest: Time) {
        let Some(due) = due else { return };
        let due = due.max(earliest);
        if self.next_tick.is_none_or(|known| due < known) {
            self.next_tick = Some(due);
            self.queue.at(due, SimEvent::Tick);
        }
    }

    fn tick(&mut self) {
        let now = self.queue.now();
        if self.next_tick != Some(now) {
            return;
        }
        // `next_tick` stays set during the step, so that the step schedules no second tick for the
        // same time.
        self.step(Event::Tick);
        self.next_tick = None;
        let due = self.policy.next_due();
        if due.is_some_and(|due| due <= now) {
            self.figures.counts.spins += 1;
        }
        self.schedule_tick(due, now + TICK_INTERVAL_MIN);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Exchange { sequence, worker, exchange, .. } => {
                self.figures.counts.exchanges += 1;
                self.figures.counts.commands += exchange.commands.len() as u64;
                let worker = self.instances[&worker];
                self.queue.after(WORKER_DELAY, SimEvent::Sent { worker, sequence, exchange });
            }
            Action::Record { batch, records, .. } => {
                self.figures.counts.batches += 1;
                let bytes = records.iter().map(encoded_len).sum::<usize>();
                self.figures.counts.record_bytes += bytes as u64;
                self.queue.after(STORE_DELAY, SimEvent::Recorded(batch));
            }
            Action::Note { .. } => {}
        }
    }

    // Results.

    fn finish(mut self) -> Figures {
        let started_by = self.fleet.length.saturating_sub(URGENT_START_GRACE);
        let waiting = self.urgent_waiting.values().filter(|&&arrived| arrived < started_by).count();
        self.figures.counts.urgent_waiting = waiting as u64;
        let expected: u64 = self.fleet.services.iter().map(|s| u64::from(s.tasks)).sum();
        let runs = self.machines.iter().flat_map(|machine| machine.runs.values());
        let running =
            runs.filter(|run| run.phase == Phase::Running && self.jobs[run.job].is_service());
        self.figures.counts.services_waiting = expected.saturating_sub(running.count() as u64);
        let bytes_before = memory::allocated_bytes();
        drop(self.policy);
        self.figures.state_bytes = bytes_before.saturating_sub(memory::allocated_bytes());
        self.figures
    }
}
