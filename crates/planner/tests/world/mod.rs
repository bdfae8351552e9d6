//! A world for the planner in virtual time: a store, workers, and an owner that can be replaced.
//!
//! These invariants are checked after every step: a task never runs twice at once, nor again after
//! an end that was acknowledged, before or after the start; a step never begins before the steps that it depends on are done;
//! no worker is given more than its capacity, or its capacity a moment ago; a job's end is shown
//! only after the store holds it; what is acknowledged can be read from the store; a task that
//! crashes its workers is ended as crashed, and no other task because of their crashes; nothing is
//! started in an evacuated failure domain.

#![allow(dead_code, reason = "each test file uses a part of the world")]

pub mod admission;
mod calm;
mod capacity;
mod check;
mod commands;
mod crashes;
mod evacuations;
mod gangs;
pub mod job_wait;
pub mod link;
pub mod looks;
mod machines;
mod owner;
pub mod processor;
mod restarts;
pub mod service_wait;
mod stream;
pub mod tail;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_admission::forecast::Forecast;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change;
use cowslipchute_planner::bound::Bound;
use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::settings::Features;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::TaskId;
use cowslipchute_standin::site::crashes::Crashes;
use cowslipchute_standin::site::ends::Ends;
use cowslipchute_standin::site::worker::Worker;

/// One-way delay between the owner and anyone else.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
/// Interval at which time advances.
const TICK: Duration = Duration::from_millis(5);
/// Timeout of a command without a response.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Delay of the store's responses, unless it is slow.
pub const STORE_DELAY: Duration = Duration::from_millis(4);
/// Duration of the owner's lease from a renewal on.
const LEASE: Duration = Duration::from_millis(2500);

/// What arrives at a time.
#[derive(Clone, Debug)]
enum Arrival {
    /// An action reaches the worker that it is for.
    Command(u32, Action),
    /// A waiting heartbeat checks again whether something has ended.
    Heartbeat(u32, Action, Time),
    /// A command that was left unanswered is carried out.
    DelayedCommand(Action),
    /// A write reaches the store.
    Write(u32, u64, Vec<Change>),
    /// An event reaches the owner of a term.
    Event(u32, Event),
    /// A connection for a command is open, which is given up at the given time.
    Connection(u32, Action, Time),
    /// A client submits a job.
    Submit(JobId, Accepted),
    /// An instance receives the forecast that it requested at a time, with these jobs reported.
    Forecast(usize, Arc<Forecast>, Time, Vec<JobId>),
}

/// The world.
pub struct World {
    pub now: Time,
    pub planner: Option<Planner>,
    /// Number of the current owner; also its epoch.
    pub term: u32,
    pub owned_at: Time,
    /// Configuration of the last owner.
    pub config: Option<Arc<Config>>,
    pub workers: BTreeMap<String, Worker>,
    pub incarnations: u32,
    pub jobs: BTreeMap<JobId, Arc<Accepted>>,
    pub records: BTreeMap<JobId, Record>,
    pub ends: BTreeMap<JobId, State>,
    /// Jobs that the store has ever held.
    pub specs: BTreeMap<JobId, Arc<Accepted>>,
    /// When each was submitted, and when its end was stored.
    pub submitted_at: BTreeMap<JobId, Time>,
    pub ended_at: BTreeMap<JobId, Time>,
    /// Wait of service tasks beside free capacity.
    pub service_waits: service_wait::ServiceWaits,
    /// What observers that look at regular times have found, if it is watched.
    pub looks: Option<looks::Looks>,
    /// Time for which jobs have nothing running beside free capacity, if it is watched.
    pub job_wait: Option<job_wait::Watch>,
    /// Actual duration of a task where it differs from the estimate.
    pub actual_work: BTreeMap<JobId, Duration>,
    /// Tasks of a job that take longer than the others.
    pub tails: BTreeMap<JobId, tail::Tail>,
    /// What the last owner had learnt, if it is handed over.
    pub hands_over: bool,
    pub estimates: Option<Estimates>,
    /// Whether the store answers, and how long it takes.
    pub store_up: bool,
    /// Size of the largest record that the store takes, if it has a limit.
    pub max_record_bytes: Option<usize>,
    /// Whether the store refuses every write.
    pub store_refuses: bool,
    pub store_delay: Duration,
    pub renewals: bool,
    /// Delay until the owner has CPU time to send its commands, except for heartbeats.
    pub command_delay: Duration,
    /// The owner's link, if it is narrow.
    pub link: Option<link::Link>,
    /// The owner's processor, if it is limited.
    pub processor: Option<processor::Processor>,
    arrivals: BTreeMap<(Time, u64), Arrival>,
    sequence: u64,
    /// Tasks whose end has been acknowledged for good.
    acknowledged: BTreeSet<TaskId>,
    /// Delayed starts that were carried out after an end of their task was acknowledged.
    pub late_starts: Vec<String>,
    /// Ends of runs, and starts that came after them.
    run_ends: Ends,
    /// Tasks of which a run has ended done, on any incarnation.
    finished: BTreeSet<TaskId>,
    /// The instances that accept jobs, if they control admission.
    pub instances: Option<admission::Instances>,
    /// Optional parts of the planners that are opened from now on.
    pub features: Features,
    /// Workers that the advisory service permits.
    pub allowed: BTreeSet<String>,
    pub log_lines: Vec<String>,
    pub starts: u64,
    /// Speed limits that owners have sent.
    pub speed_limits: u64,
    pub machines: machines::Machines,
    pub crashes: Crashes,
    pub restarts: restarts::Restarts,
    pub evacuations: evacuations::Evacuations,
    /// Machines whose workers have left.
    left: BTreeSet<String>,
    calm: calm::Calm,
    /// Jobs with a task whose worker ended by itself right after its start.
    crash_victims: BTreeSet<JobId>,
    /// What workers that have shrunk may hold.
    bounds: BTreeMap<String, capacity::Bound>,
}

impl World {
    pub fn open() -> World {
        World {
            now: Duration::from_secs(1000),
            planner: None,
            term: 0,
            owned_at: Time::ZERO,
            config: None,
            workers: BTreeMap::new(),
            incarnations: 0,
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
            ends: BTreeMap::new(),
            specs: BTreeMap::new(),
            submitted_at: BTreeMap::new(),
            ended_at: BTreeMap::new(),
            service_waits: service_wait::ServiceWaits::default(),
            looks: None,
            job_wait: None,
            actual_work: BTreeMap::new(),
            tails: BTreeMap::new(),
            hands_over: false,
            estimates: None,
            store_up: true,
            max_record_bytes: None,
            store_refuses: false,
            store_delay: STORE_DELAY,
            renewals: true,
            command_delay: Duration::ZERO,
            link: None,
            processor: None,
            arrivals: BTreeMap::new(),
            sequence: 0,
            acknowledged: BTreeSet::new(),
            late_starts: Vec::new(),
            run_ends: Ends::default(),
            finished: BTreeSet::new(),
            instances: None,
            features: Features::default(),
            allowed: BTreeSet::new(),
            log_lines: Vec::new(),
            starts: 0,
            speed_limits: 0,
            machines: machines::Machines::default(),
            crashes: Crashes::default(),
            restarts: restarts::Restarts::default(),
            evacuations: evacuations::Evacuations::default(),
            left: BTreeSet::new(),
            calm: calm::Calm::default(),
            crash_victims: BTreeSet::new(),
            bounds: BTreeMap::new(),
        }
    }

    fn push(&mut self, at: Time, arrival: Arrival) {
        self.sequence += 1;
        self.arrivals.insert((at, self.sequence), arrival);
    }

    pub fn submit(&mut self, id: JobId, accepted: Accepted) {
        self.submitted_at.entry(id).or_insert(self.now);
        if !self.admits(id, &accepted) {
            return;
        }
        let accepted = Arc::new(accepted);
        self.jobs.insert(id, accepted.clone());
        self.specs.insert(id, accepted.clone());
        self.tell(Event::Job { job: id, accepted });
    }

    pub fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut accepted = Accepted::clone(job);
        accepted.cancelled = true;
        let accepted = Arc::new(accepted);
        self.jobs.insert(id, accepted.clone());
        self.tell(Event::Job { job: id, accepted });
    }

    fn tell(&mut self, event: Event) {
        let term = self.term;
        self.push(self.now + ONE_WAY_DELAY, Arrival::Event(term, event));
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
                let has_expired = worker.has_lease_expired(self.now);
                self.run_ends.observe(&worker.host(), &worker.ended, has_expired, self.now);
                let finished = std::mem::take(&mut worker.completed);
                self.finished.extend(finished.into_iter().map(|run| run.task));
            }
            self.join_gangs();
            self.advance_crashes();
            self.advance_restarts();
            self.advance_machines();
            self.advance_evacuations();
            if self.renewals && self.store_up && self.processor.is_none() {
                let queue =
                    self.link.as_ref().map_or(Duration::ZERO, |link| link.queue_delay(self.now));
                let renewed = Event::LeaseRenewed { until: self.now + LEASE };
                self.push(self.now + queue, Arrival::Event(self.term, renewed));
            }
            while let Some((&key, _)) = self.arrivals.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let arrival = self.arrivals.remove(&key).expect("it was just looked up");
                self.arrive(arrival);
            }
            self.advance_planner();
            self.check();
            self.watch_calm();
            self.watch_service_wait();
            self.watch_looks();
            self.watch_job_wait();
        }
    }

    fn advance_planner(&mut self) {
        if self.processor.is_some() {
            self.advance_processor();
            return;
        }
        let Some(planner) = &mut self.planner else { return };
        let mut actions = Vec::new();
        planner.advance(self.now, &mut actions);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Note(note) = action {
                let run = note.run.map(|run| format!(" {}#{}", run.task, run.attempt));
                let worker = note.worker.map(|worker| format!(" {worker}"));
                let text = format!(
                    "{:?}{}{} {}",
                    note.event,
                    run.unwrap_or_default(),
                    worker.unwrap_or_default(),
                    note.detail
                );
                self.log_lines.push(text.trim_end().to_owned());
            } else if let Some(processor) = &mut self.processor {
                processor.add(action);
            } else {
                self.send(action);
            }
        }
    }

    /// Sends a command or a write of the current owner.
    fn send(&mut self, action: Action) {
        let term = self.term;
        match action {
            Action::Write { batch, changes } => {
                let queue = self.transmit(link::write_bytes(&changes));
                let at = self.now + queue + self.store_delay / 2;
                self.push(at, Arrival::Write(term, batch, changes));
            }
            command => {
                let is_heartbeat = matches!(command, Action::Heartbeat { .. });
                let delay = if is_heartbeat { Duration::ZERO } else { self.command_delay };
                let now = self.now;
                let queue = self.transmit(link::command_bytes(&command));
                if queue > TIMEOUT {
                    let event = commands::failed(command, Failure::Unknown);
                    self.push(now + TIMEOUT, Arrival::Event(term, event));
                } else {
                    self.push(now + queue + delay + ONE_WAY_DELAY, Arrival::Command(term, command));
                }
            }
        }
    }

    /// Sends bytes over the owner's link; returns how long it takes until the last of them has
    /// left.
    fn transmit(&mut self, bytes: usize) -> Duration {
        let now = self.now;
        self.link.as_mut().map_or(Duration::ZERO, |link| link.send(now, bytes))
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Event(term, event) => {
                if term != self.term {
                    return;
                }
                let Some(planner) = &mut self.planner else { return };
                if let Some(processor) = &mut self.processor {
                    processor.receive(self.now, processor::Input::Event(event));
                    return;
                }
                let mut actions = Vec::new();
                planner.step(self.now, event, &mut actions);
                self.act(actions);
            }
            Arrival::Connection(term, command, timeout_at) => {
                if let (Some(processor), true) = (&mut self.processor, term == self.term) {
                    let input = processor::Input::Connection(command, timeout_at);
                    processor.receive(self.now, input);
                }
            }
            Arrival::Write(term, batch, changes) => self.write(term, batch, changes),
            Arrival::Command(term, action) => self.receive(term, action),
            Arrival::Submit(id, accepted) => self.submit(id, accepted),
            Arrival::Forecast(index, forecast, requested_at, jobs) => {
                let instances = self.instances.as_mut().expect("an instance requested it");
                instances.receive(index, Forecast::clone(&forecast), requested_at, &jobs);
            }
            Arrival::DelayedCommand(action) => self.carry_out_late(&action),
            Arrival::Heartbeat(term, action, until) => self.wait_for_end(term, action, until),
        }
    }

    fn write(&mut self, term: u32, batch: u64, changes: Vec<Change>) {
        if !self.store_up {
            // The writer retries until the write is there.
            self.push(self.now + Duration::from_millis(100), Arrival::Write(term, batch, changes));
            return;
        }
        // The store refuses writers that aren't the owner any more.
        if term != self.term {
            return;
        }
        for change in changes {
            if let Some(event) = self.refusal(batch, &change) {
                let at = self.now + self.store_delay / 2;
                self.push(at, Arrival::Event(term, event));
                continue;
            }
            match change {
                Change::Progress { job, record } => {
                    self.check_record_size(job, &record);
                    self.records.insert(job, record);
                }
                Change::End { job, state } => {
                    self.records.remove(&job);
                    self.jobs.remove(&job);
                    self.check_crashed_job(job, state);
                    let before = self.ends.insert(job, state);
                    assert_eq!(before, None, "a job ends once: {job:x}");
                    self.ended_at.insert(job, self.now);
                }
            }
        }
        let at = self.now + self.store_delay / 2;
        self.push(at, Arrival::Event(term, Event::Written { batch }));
    }

    /// Checks that a record is within the bound that decides on the acceptance of its job.
    fn check_record_size(&self, job: JobId, record: &Record) {
        let accepted = &self.jobs[&job];
        let queue = self.config.as_ref().and_then(|config| config.queue(&accepted.queue));
        let attempts = queue.map_or(0, |queue| queue.max_attempts);
        let bound = Bound::of(&accepted.spec, attempts).bytes_with(record.occurrences.len());
        let bytes = record.encode().len();
        assert!(bytes <= bound, "the record of {job:x} has {bytes} bytes of {bound}");
    }

    /// Returns what the owner hears of a change that the store refuses.
    fn refusal(&self, batch: u64, change: &Change) -> Option<Event> {
        let (job, bytes) = match change {
            Change::Progress { job, record } => (*job, record.encode().len()),
            Change::End { job, .. } => (*job, 0),
        };
        let lasting = self.max_record_bytes.is_some_and(|limit| bytes > limit);
        let reason = format!("{bytes} bytes");
        (lasting || self.store_refuses).then(|| Event::WriteRefused { batch, job, lasting, reason })
    }

    fn answer(&mut self, term: u32, event: Event) {
        self.push(self.now + ONE_WAY_DELAY, Arrival::Event(term, event));
    }

    /// Renders the progress of each job.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for id in self.specs.keys() {
            let state = match self.ends.get(id) {
                Some(state) => format!("{state:?}, in the store"),
                None => {
                    let planner = self.planner.as_ref();
                    let state = planner.and_then(|planner| planner.state(*id));
                    state.map_or(String::from("not known"), |state| format!("{state:?}"))
                }
            };
            let runs = self.workers.values().map(|worker| {
                let active = worker.active.keys().filter(|run| run.task.job == *id);
                (worker.name.clone(), active.count())
            });
            let places: Vec<String> = runs
                .filter(|(_, count)| *count > 0)
                .map(|(name, count)| format!("{name} x{count}"))
                .collect();
            let places = if places.is_empty() { String::from("-") } else { places.join(", ") };
            let _ = writeln!(text, "{id:x}: {state}; running: {places}");
        }
        text
    }
}
