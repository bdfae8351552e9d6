//! The owner's processor, if it is limited: work takes virtual time, and what arrives meanwhile
//! waits.
//!
//! The owner works as its process does: a turn handles every event that is there and then sends
//! every command that was decided on, on one thread. Another thread renews the lease. An owner whose
//! lease has expired is replaced by one with an equal processor.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::backpressure::Load;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Failure;

use super::Arrival;
use super::ONE_WAY_DELAY;
use super::TICK;
use super::TIMEOUT;
use super::World;
use super::commands;

/// Processor time of a turn beside its events and commands.
const TURN_COST: Duration = Duration::from_micros(50);
/// Processor time of handling an event.
const EVENT_COST: Duration = Duration::from_micros(10);
/// Processor time of reading and parsing a response. With a command's own cost, its event and the
/// worker scores, a command takes 100 to 130 microseconds.
const RESPONSE_COST: Duration = Duration::from_micros(45);
/// Processor time of encoding and sending a command or a write.
const COMMAND_COST: Duration = Duration::from_micros(50);
/// Processor time of opening a connection to a worker.
const CONNECTION_COST: Duration = Duration::from_micros(150);
/// Processor time of scoring a worker for a step.
const SCORE_COST: Duration = Duration::from_nanos(200);
/// Processor time of reading and decoding a job or a record during a takeover.
const READ_COST: Duration = Duration::from_micros(20);
/// Processor time of adding a job or a record to a new owner's state.
const RESTORE_COST: Duration = Duration::from_micros(2);
/// Processor time of sending a renewal of the lease.
const RENEWAL_COST: Duration = Duration::from_micros(50);
/// Number of jobs and records that a takeover reads without interruption.
const PAGE_ENTRIES: usize = 100;
/// Duration of the owner's lease from a renewal on.
const LEASE_TTL: Duration = Duration::from_millis(1200);
/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(240);
/// Time between the end of a lease and the next owner's claim.
const CLAIM_DELAY: Duration = Duration::from_millis(100);
/// Longest sleep of the owner when nothing is due.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Time over which the owner's lag is measured.
const LAG_WINDOW: Duration = Duration::from_secs(1);

/// What waits for the owner's next turn.
#[derive(Debug)]
pub(super) enum Input {
    Event(Event),
    /// A connection for a command was opened; the command's timeout ends at the given time.
    Connection(Action, Time),
}

/// A unit of work that can't be interrupted.
#[derive(Debug)]
enum Work {
    Compute,
    Connect(Action),
    Send(Action),
}

/// The processor of the current owner, and what is known about the owners.
#[derive(Debug)]
pub struct Processor {
    /// Share of a core.
    pub share: f64,
    /// Whether a process could claim the cell.
    has_candidates: bool,
    /// Number of owners since it was last reset.
    pub owners: u32,
    /// Processor time that owners had and that they didn't need, since it was last reset.
    pub granted: Duration,
    pub unused: Duration,
    /// Processor time that is left of what has passed.
    credit: Duration,
    /// Worker scores that the current owner has computed.
    scores: u64,
    work: VecDeque<(Duration, Work)>,
    inbox: VecDeque<(Time, Input)>,
    /// Jobs and records that the takeover has yet to read.
    unread_entries: usize,
    connections: BTreeSet<id::Instance>,
    last_turn: Time,
    /// Age of the oldest input of each recent turn.
    lags: VecDeque<(Time, Duration)>,
    lease_until: Time,
    renewal_due: Time,
    /// End of the lease as far as the owner knows.
    known_until: Time,
    /// How far the owner is behind, as its process measures it.
    load: Load,
    /// Workers that the current owner has heard of.
    heard: BTreeSet<id::Instance>,
    takeover_time: Option<Duration>,
}

impl Processor {
    pub fn open(share: f64) -> Processor {
        Processor {
            share,
            has_candidates: true,
            owners: 0,
            granted: Duration::ZERO,
            unused: Duration::ZERO,
            credit: Duration::ZERO,
            scores: 0,
            work: VecDeque::new(),
            inbox: VecDeque::new(),
            unread_entries: 0,
            connections: BTreeSet::new(),
            last_turn: Time::ZERO,
            lags: VecDeque::new(),
            lease_until: Time::ZERO,
            renewal_due: Time::ZERO,
            known_until: Time::ZERO,
            load: Load::default(),
            heard: BTreeSet::new(),
            takeover_time: None,
        }
    }

    /// Begins an ownership: everything that belonged to the previous owner is gone.
    pub(super) fn begin(&mut self, now: Time, entries: usize, events: Vec<Event>) {
        *self = Processor {
            has_candidates: self.has_candidates,
            owners: self.owners + 1,
            granted: self.granted,
            unused: self.unused,
            inbox: events.into_iter().map(|event| (now, Input::Event(event))).collect(),
            unread_entries: entries,
            last_turn: now,
            lease_until: now + LEASE_TTL,
            renewal_due: now + RENEWAL_INTERVAL,
            known_until: now + LEASE_TTL,
            ..Processor::open(self.share)
        };
    }

    /// Returns when the lease ends that an owner has from now on.
    pub(super) fn first_lease_end(now: Time) -> Time {
        now + LEASE_TTL
    }

    pub(super) fn receive(&mut self, now: Time, input: Input) {
        self.inbox.push_back((now, input));
    }

    /// Adds the actions of a turn to the work.
    pub(super) fn add(&mut self, action: Action) {
        self.work.push_back((COMMAND_COST, Work::Send(action)));
    }

    /// Returns the age of the oldest input that waits or was handled in the last second.
    pub fn lag(&self, now: Time) -> Duration {
        let recent = self.lags.iter().filter(|(at, _)| *at + LAG_WINDOW >= now);
        let handled = recent.map(|(_, lag)| *lag).max().unwrap_or_default();
        let waiting = self.inbox.front().map_or(Duration::ZERO, |(at, _)| now - *at);
        handled.max(waiting)
    }

    /// Returns which part of their processor time owners used since this was last asked, in percent.
    pub fn take_utilization(&mut self) -> f64 {
        let granted = std::mem::take(&mut self.granted);
        let unused = std::mem::take(&mut self.unused);
        100.0 * (1.0 - unused.as_secs_f64() / granted.as_secs_f64())
    }

    /// Returns how long the owner took to hear of all workers, or `None` if it hasn't yet.
    pub fn takeover_time(&self) -> Option<Duration> {
        self.takeover_time
    }

    fn charge(&mut self, cost: Duration) {
        self.work.push_back((cost, Work::Compute));
    }

    /// Takes the next unit of work if there is processor time for it.
    fn next_work(&mut self) -> Option<Work> {
        let (cost, _) = self.work.front()?;
        self.credit = self.credit.checked_sub(*cost)?;
        self.work.pop_front().map(|(_, work)| work)
    }

    fn record_lag(&mut self, now: Time) {
        let lag = self.inbox.front().map_or(Duration::ZERO, |(at, _)| now - *at);
        self.load.lag = smooth(self.load.lag, lag);
        if !self.inbox.is_empty() {
            self.lags.push_back((now, lag));
        }
        while self.lags.front().is_some_and(|(at, _)| *at + LAG_WINDOW < now) {
            self.lags.pop_front();
        }
    }
}

impl World {
    /// Gives owners from now on this share of a core, or any amount of processor time.
    pub fn set_processor_share(&mut self, share: Option<f64>) {
        match (share, &mut self.processor) {
            (None, processor) => *processor = None,
            (Some(share), Some(processor)) => processor.share = share,
            (Some(share), None) => {
                // What the current owner has done before costs nothing any more.
                let connections = self.workers.values().map(|worker| worker.name.clone());
                let planner = self.planner.as_ref();
                self.processor = Some(Processor {
                    lease_until: Processor::first_lease_end(self.now),
                    connections: connections.collect(),
                    scores: planner.map_or(0, |planner| planner.census().scores()),
                    ..Processor::open(share)
                });
            }
        }
    }

    /// Sets whether there are processes that could own the cell; if not, the owner crashes too.
    pub fn set_candidates(&mut self, available: bool) {
        let processor = self.processor.as_mut().expect("the owner's processor is limited");
        processor.has_candidates = available;
        if !available {
            self.kill_owner();
        }
    }

    /// Advances the owner by a tick of processor time.
    pub(super) fn advance_processor(&mut self) {
        self.replace_owner();
        if let (Some(processor), Some(_)) = (&mut self.processor, &self.planner) {
            let credit = TICK.mul_f64(processor.share);
            processor.credit += credit;
            processor.granted += credit;
        }
        self.renew_lease();
        while self.planner.is_some() && self.advance_work() {}
        self.watch_takeover();
    }

    /// Does the next unit of work; returns `false` if there is none, or no processor time for it.
    fn advance_work(&mut self) -> bool {
        let Some(processor) = &mut self.processor else { return false };
        match processor.next_work() {
            Some(Work::Compute) => true,
            Some(Work::Connect(action)) => self.connect(action),
            Some(Work::Send(action)) => self.send_or_connect(action),
            None if !processor.work.is_empty() => false,
            None if self.read_page() || self.take_turn() => true,
            None => self.sleep(),
        }
    }

    /// Drops processor time that the owner doesn't use.
    fn sleep(&mut self) -> bool {
        if let Some(processor) = &mut self.processor {
            processor.unused += std::mem::take(&mut processor.credit);
        }
        false
    }

    /// Ends an ownership whose lease has expired in the store, and begins the next one.
    fn replace_owner(&mut self) {
        let now = self.now;
        let Some(processor) = &self.processor else { return };
        if !self.store_up || now < processor.lease_until {
            return;
        }
        let is_claimed = processor.has_candidates && now >= processor.lease_until + CLAIM_DELAY;
        self.planner = None;
        if let (true, Some(config)) = (is_claimed, self.config.clone()) {
            self.take_over(&config);
        }
    }

    /// Renews the lease if that is due, on a thread of its own, which takes turns with the other.
    fn renew_lease(&mut self) {
        let (now, delay) = (self.now, self.store_delay);
        let enabled = self.renewals && self.store_up && self.planner.is_some();
        let Some(processor) = &mut self.processor else { return };
        if !enabled || now < processor.renewal_due {
            return;
        }
        processor.renewal_due = now + RENEWAL_INTERVAL;
        processor.credit = processor.credit.saturating_sub(RENEWAL_COST);
        processor.lease_until = now + delay / 2 + LEASE_TTL;
        processor.known_until = now + LEASE_TTL;
    }

    /// Reads a page of what the takeover has yet to read.
    fn read_page(&mut self) -> bool {
        let Some(processor) = &mut self.processor else { return false };
        let entries = processor.unread_entries.min(PAGE_ENTRIES);
        processor.unread_entries -= entries;
        processor.charge(READ_COST * entries as u32);
        entries > 0
    }

    /// Takes a turn of the owner, if there is anything to do: handles all input, places tasks, and
    /// adds the resulting commands to the work.
    fn take_turn(&mut self) -> bool {
        let now = self.now;
        let (Some(processor), Some(planner)) = (&mut self.processor, &mut self.planner) else {
            return false;
        };
        let is_due = planner.next_due().is_some_and(|due| due <= now);
        if processor.inbox.is_empty() && !is_due && now < processor.last_turn + MAX_SLEEP {
            return false;
        }
        if processor.inbox.is_empty() && processor.last_turn == now {
            return false;
        }
        processor.last_turn = now;
        processor.record_lag(now);
        processor.charge(TURN_COST);
        let mut actions = Vec::new();
        let mut connected_commands = Vec::new();
        for (_, input) in std::mem::take(&mut processor.inbox) {
            processor.charge(input_cost(&input));
            let event = match input {
                Input::Event(event) => event,
                Input::Connection(command, timeout_at) if now < timeout_at => {
                    connected_commands.push(command);
                    continue;
                }
                // The command is dropped before it is sent, and its outcome counts as unknown.
                Input::Connection(command, _) => commands::failed(command, Failure::Unknown),
            };
            if let Event::HeartbeatResult { target, outcome: Ok(_) } = &event {
                processor.heard.insert(target.name.clone());
            }
            planner.step(now, event, &mut actions);
        }
        planner.step(now, Event::LeaseRenewed { until: processor.known_until }, &mut actions);
        planner.set_load(processor.load);
        let passes = planner.passes();
        planner.advance(now, &mut actions);
        let scores = planner.census().scores();
        let added = scores.saturating_sub(std::mem::replace(&mut processor.scores, scores));
        let cost = SCORE_COST * u32::try_from(added).unwrap_or(u32::MAX);
        processor.charge(cost);
        if planner.passes() > passes {
            let pass_time = cost.div_f64(processor.share);
            processor.load.pass_time = smooth(processor.load.pass_time, pass_time);
        }
        connected_commands.into_iter().for_each(|command| processor.add(command));
        self.act(actions);
        true
    }

    /// Sends a command or a write, or opens a connection for it first.
    fn send_or_connect(&mut self, action: Action) -> bool {
        let needs_connection = target_name(&action).is_some_and(|name| {
            let worker = self.workers.values().find(|worker| worker.name == *name);
            let is_reachable = worker.is_some_and(|worker| worker.up && !worker.partitioned);
            let processor = self.processor.as_mut().expect("the processor does the work");
            is_reachable && processor.connections.insert(name.clone())
        });
        if needs_connection {
            let processor = self.processor.as_mut().expect("the processor does the work");
            processor.work.push_front((CONNECTION_COST, Work::Connect(action)));
        } else {
            self.send(action);
        }
        true
    }

    fn connect(&mut self, action: Action) -> bool {
        let timeout_at = self.now + timeout(&action);
        let arrival = Arrival::Connection(self.term, action, timeout_at);
        self.push(self.now + ONE_WAY_DELAY * 2, arrival);
        true
    }

    /// Records when the current owner has heard of all workers.
    fn watch_takeover(&mut self) {
        let time = self.owned_for();
        let (Some(processor), true) = (&mut self.processor, self.planner.is_some()) else { return };
        if processor.takeover_time.is_some() {
            return;
        }
        let mut workers = self.workers.values();
        let is_heard = workers.all(|worker| {
            !worker.up
                || !worker.listed
                || worker.partitioned
                || processor.heard.contains(&worker.name)
        });
        if is_heard {
            processor.takeover_time = Some(time);
        }
    }
}

/// Returns a moving average after one more value, as the owner's process computes it.
fn smooth(average: Duration, value: Duration) -> Duration {
    average.mul_f64(0.8) + value.mul_f64(0.2)
}

/// Returns the processor time of reading and handling an input.
fn input_cost(input: &Input) -> Duration {
    match input {
        Input::Event(
            Event::HeartbeatResult { .. }
            | Event::StartResult { .. }
            | Event::StopResult { .. }
            | Event::ThrottleResult { .. }
            | Event::AdviceResult { .. }
            | Event::Written { .. },
        ) => RESPONSE_COST + EVENT_COST,
        Input::Event(Event::OwnershipAcquired { jobs, records, .. }) => {
            RESTORE_COST * (jobs.len() + records.len()) as u32
        }
        Input::Event(_) | Input::Connection(..) => EVENT_COST,
    }
}

fn target_name(action: &Action) -> Option<&id::Instance> {
    match action {
        Action::Start { target, .. }
        | Action::Stop { target, .. }
        | Action::Throttle { target, .. }
        | Action::Heartbeat { target, .. } => Some(&target.name),
        _ => None,
    }
}

/// Returns the time after which the client gives up a command.
fn timeout(action: &Action) -> Duration {
    match action {
        Action::Heartbeat { heartbeat, .. } => heartbeat.wait + TIMEOUT,
        _ => TIMEOUT,
    }
}
