//! A cell with a constant number of open jobs: a job that ends is followed by another of its kind.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::record;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::settings::Settings;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::deployment::Limits;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::executor::Timestamp;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;

use crate::decisions::load::Kind;
use crate::decisions::load::Load;
use crate::decisions::tally::Tally;
use crate::decisions::worker::Worker;

/// Time between two turns of the owner. Commands and writes are answered in the next one.
const TURN: Duration = Duration::from_millis(5);
/// Time in which services are placed before other jobs arrive.
const SERVICES_FIRST: Duration = Duration::from_secs(5);
/// Time before anything is measured.
const WARM_UP: Duration = Duration::from_secs(4);
/// Lease of an owner that is never lost.
const LEASE: Duration = Duration::from_secs(3600);
/// Time after which a takeover is given up.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(15);

/// A cell under load.
pub struct Cell {
    planner: Planner,
    now: Time,
    epoch: id::Epoch,
    workers: Vec<Worker>,
    index: HashMap<id::Instance, usize>,
    /// The store: jobs that have not ended, and records.
    jobs: BTreeMap<JobId, Arc<Accepted>>,
    records: BTreeMap<JobId, Record>,
    submitted: u64,
    actions: Vec<Action>,
    /// Results of what the owner asked for, to be delivered in the next turn.
    results: Vec<Event>,
    /// Costs and counts since the last reset.
    pub tally: Tally,
}

impl Cell {
    /// Creates a cell and runs it until it is steady.
    pub fn open(workers: usize, load: Load) -> Cell {
        let workers: Vec<Worker> = (0..workers).map(Worker::new).collect();
        let names = workers.iter().map(|worker| worker.registration.name.clone());
        let mut cell = Cell {
            planner: Planner::open(Settings::default()),
            now: Duration::from_secs(1000),
            epoch: 0,
            index: names.zip(0..).collect(),
            workers,
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
            submitted: 0,
            actions: Vec::new(),
            results: Vec::new(),
            tally: Tally::default(),
        };
        cell.acquire();
        cell.submit_many(Kind::Service, load.services);
        cell.run(SERVICES_FIRST);
        cell.submit_many(Kind::Short, load.short);
        cell.submit_many(Kind::BestEffort, load.best_effort);
        cell.run(WARM_UP);
        cell.tally = Tally::default();
        cell
    }

    /// Runs the cell for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.turn();
        }
    }

    /// Replaces the owner, and runs the cell until every worker has answered the new one. Returns
    /// the time until then, or `None` if that took too long.
    pub fn take_over(&mut self) -> Option<Duration> {
        self.tally = Tally::default();
        self.planner = Planner::open(Settings::default());
        self.results.clear();
        self.workers.iter_mut().for_each(Worker::drop_heartbeat);
        let began = self.now;
        self.read_store();
        self.acquire();
        while self.now < began + TAKEOVER_LIMIT {
            self.turn();
            if self.answering() == self.workers.len() as i64 {
                return Some(self.now - began);
            }
        }
        None
    }

    /// Returns the number of jobs and records in the store.
    pub fn stored(&self) -> (usize, usize) {
        (self.jobs.len(), self.records.len())
    }

    /// Returns the number of waiting tasks by kind.
    pub fn waiting(&self) -> Vec<(&'static str, i64)> {
        let census = self.planner.census();
        let tasks = census.tasks().filter(|&(_, state, _)| state == "waiting");
        tasks.map(|(kind, _, count)| (kind, count)).collect()
    }

    fn answering(&self) -> i64 {
        let census = self.planner.census();
        census.workers().find(|&(state, _)| state == "answering").map_or(0, |(_, count)| count)
    }

    /// Decodes the stored jobs and records as a new owner does.
    fn read_store(&mut self) {
        let jobs: Vec<Vec<u8>> = self.jobs.values().map(|job| record::encode(&**job)).collect();
        let records: Vec<Vec<u8>> = self.records.values().map(Record::encode).collect();
        self.tally.measure("decoding jobs", || {
            for job in &jobs {
                let decoded: Result<Accepted, _> = record::decode(job);
                std::hint::black_box(decoded.expect("it was just encoded"));
            }
        });
        self.tally.measure("decoding records", || {
            for record in &records {
                std::hint::black_box(Record::decode(record).expect("it was just encoded"));
            }
        });
    }

    fn acquire(&mut self) {
        self.epoch += 1;
        let jobs = self.jobs.iter().map(|(&job, accepted)| (job, accepted.clone())).collect();
        let records = self.records.iter().map(|(&job, record)| (job, record.clone())).collect();
        let until = self.now + LEASE;
        let listed = self.workers.iter().map(|worker| worker.registration.clone());
        let listed = listed.map(|registration| Event::Listed { registration });
        let mut events = vec![
            Event::Config { config: config() },
            Event::OwnershipAcquired { epoch: self.epoch, jobs, records, estimates: None },
            Event::LeaseRenewed { until },
        ];
        events.extend(listed);
        self.step_all(events);
        self.advance();
    }

    fn turn(&mut self) {
        self.now += TURN;
        let mut events = std::mem::take(&mut self.results);
        for worker in &mut self.workers {
            if let Some((target, report)) = worker.advance(self.now) {
                events.push(Event::HeartbeatResult { target, outcome: Ok(report) });
            }
        }
        if events.is_empty() && self.planner.next_due().is_none_or(|due| due > self.now) {
            return;
        }
        self.step_all(events);
        self.advance();
    }

    fn step_all(&mut self, events: Vec<Event>) {
        for event in events {
            let kind = kind(&event);
            let (planner, actions) = (&mut self.planner, &mut self.actions);
            self.tally.measure(kind, || planner.step(self.now, event, actions));
        }
    }

    fn advance(&mut self) {
        self.tally.advance(&mut self.planner, self.now, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.tally.count(&action);
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        let (now, clock) = (self.now, self.now.as_millis() as Timestamp);
        match action {
            Action::Write { batch, changes } => {
                self.results.push(Event::Written { batch });
                self.store(changes);
            }
            Action::Start { target, start } => {
                self.workers[self.index[&target.name]].start(now, start.run);
                let (run, outcome) = (start.run, Ok(clock));
                self.results.push(Event::StartResult { target, run, outcome });
            }
            Action::Stop { target, run } => {
                self.workers[self.index[&target.name]].stop(run);
                self.results.push(Event::StopResult { target, run, outcome: Ok(clock) });
            }
            Action::Throttle { target, run, percent } => {
                self.workers[self.index[&target.name]].throttle(run, percent);
                let outcome = Ok(clock);
                self.results.push(Event::ThrottleResult { target, run, percent, outcome });
            }
            Action::Heartbeat { target, heartbeat } => {
                self.workers[self.index[&target.name]].heartbeat(now, target, heartbeat);
            }
            _ => {}
        }
    }

    fn store(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Progress { job, record } => drop(self.records.insert(job, record)),
                Change::End { job, .. } => {
                    self.jobs.remove(&job);
                    self.records.remove(&job);
                    self.submit(Kind::of(job));
                }
            }
        }
    }

    fn submit_many(&mut self, kind: Kind, count: usize) {
        (0..count).for_each(|_| self.submit(kind));
    }

    fn submit(&mut self, kind: Kind) {
        let job = kind.job(self.submitted);
        self.submitted += 1;
        let accepted = kind.accepted(job);
        self.jobs.insert(job, accepted.clone());
        self.results.push(Event::Job { job, accepted });
    }
}

fn kind(event: &Event) -> &'static str {
    match event {
        Event::OwnershipAcquired { .. } => "ownership acquired",
        Event::Listed { .. } => "worker listed",
        Event::Job { .. } => "job",
        Event::HeartbeatResult { outcome: Ok(report), .. } if !report.ended.is_empty() => {
            "heartbeat result with ends"
        }
        Event::HeartbeatResult { .. } => "heartbeat result",
        Event::StartResult { .. } => "start result",
        Event::StopResult { .. } => "stop result",
        Event::ThrottleResult { .. } => "throttle result",
        Event::Written { .. } => "write completed",
        _ => "other event",
    }
}

fn config() -> Arc<Config> {
    let queue = |name: &str, priority| Queue {
        name: name.into(),
        host: "host".into(),
        prefix: "/".into(),
        service: "desk".into(),
        priority,
        max_attempts: 3,
        slack_factor: 1.5,
        allowance: Duration::from_millis(250),
        advice: None,
    };
    let limits = Limits {
        max_header_bytes: 1 << 14,
        max_body_bytes: 1 << 18,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let queues = vec![queue("serving", 0), queue("short", 1), queue("filling", 2)];
    Arc::new(Config { version: 1, queues, services: Vec::new(), limits })
}
