//! The planner: its state and its door. Each other module adds one duty.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslipchute_base::entity::Table;
use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::TaskId;
use foldhash::HashMap;

use crate::action::Action;
use crate::action::Note;
use crate::advice::Question;
pub use crate::census::Census;
use crate::crash::Crash;
use crate::event::Event;
use crate::interfere::Model;
use crate::job::Job;
use crate::load::Rhythm;
use crate::occurrence::Calendar;
use crate::order::Timer;
use crate::passed::Placements;
use crate::pin::Pin;
use crate::probation::Quiet;
use crate::reservation::Reservation;
use crate::reserve::Reserve;
use crate::sending::Sending;
use crate::settings::Settings;
use crate::share::Share;
use crate::wave::Waves;
use crate::worker::Worker;
use crate::worker::WorkerId;
use crate::write::Writing;

/// Decides for one cell while this process owns it.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    /// The rank of the ownership, if the cell is owned.
    pub(crate) epoch: Option<id::Epoch>,
    /// When this ownership began.
    pub(crate) owned_at: Time,
    /// Orders may be sent until then.
    pub(crate) valid_until: Time,
    pub(crate) config: Option<Arc<Config>>,
    /// Failure domains in which nothing more may be started ([`crate::evacuation`]).
    pub(crate) evacuated: BTreeSet<id::Domain>,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Rises with each job that becomes known.
    pub(crate) arrivals: u64,
    /// Jobs that may have a task to place.
    pub(crate) waiting: BTreeSet<JobId>,
    /// Jobs whose end is in the store, until they are forgotten.
    pub(crate) ended: HashMap<JobId, State>,
    pub(crate) ended_order: VecDeque<(Time, JobId)>,
    pub(crate) workers: Table<Worker>,
    /// The newest incarnation of each name.
    pub(crate) names: HashMap<id::Instance, WorkerId>,
    /// How many incarnations have ended or were forgotten in this ownership.
    pub(crate) incarnations_ended: u32,
    /// The last crash at each address, as far as that is remembered.
    pub(crate) crashed_at: HashMap<SocketAddr, Crash>,
    /// Entries of the directory whose service the configuration doesn't name.
    pub(crate) strangers: HashMap<id::Instance, Registration>,
    /// Mean work of each queue's jobs, in core-seconds.
    pub(crate) works: HashMap<Arc<str>, f64>,
    /// Logarithm of the speed of the cell's short runs, as a part of what was estimated.
    pub(crate) speed: f64,
    /// What the advisory service is being asked.
    pub(crate) asking: Option<Question>,
    /// The time of day.
    pub(crate) calendar: Calendar,
    /// Room kept for short tasks.
    pub(crate) reserve: Reserve,
    /// What tasks that last hold of the cell.
    pub(crate) share: Share,
    /// Tasks that last which took room kept for short ones.
    pub(crate) given_up: u64,
    /// Workers that are kept for a task which waits.
    pub(crate) reservations: Vec<Reservation>,
    /// The step on probation that needs more quiet workers than a part of the cell, if there is one.
    pub(crate) quiet_first: Option<Quiet>,
    /// Which images slow which.
    pub(crate) model: Model,
    /// How fast loads turn.
    pub(crate) rhythm: Rhythm,
    /// Work of tasks that fill and found no room in the last placing pass, in seconds of the whole
    /// cell's work.
    pub(crate) fill_backlog: f64,
    /// How fast starts may be sent.
    pub(crate) sending: Sending,
    /// When tasks that fill are placed again.
    pub(crate) fills_at: Time,
    /// Tasks that may be started on one worker only ([`crate::pin`]).
    pub(crate) pins: BTreeMap<TaskId, Pin>,
    /// Who was placed lately.
    pub(crate) placements: Placements,
    /// How often a worker was rated for a step that waits, in this ownership.
    pub(crate) ratings: u64,
    /// Waves of upkeep.
    pub(crate) waves: Waves,
    /// What is due when.
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    /// Whether a placing pass may find something that the last one did not.
    pub(crate) room_changed: bool,
    pub(crate) writing: Writing,
    pub(crate) actions: Vec<Action>,
}

impl Planner {
    /// Opens a planner that owns nothing yet.
    pub fn open(settings: Settings) -> Planner {
        Planner {
            sending: Sending::open(settings.link),
            settings,
            now: Time::ZERO,
            epoch: None,
            owned_at: Time::ZERO,
            valid_until: Time::ZERO,
            config: None,
            evacuated: BTreeSet::new(),
            jobs: HashMap::default(),
            arrivals: 0,
            waiting: BTreeSet::new(),
            ended: HashMap::default(),
            ended_order: VecDeque::new(),
            workers: Table::default(),
            names: HashMap::default(),
            incarnations_ended: 0,
            crashed_at: HashMap::default(),
            strangers: HashMap::default(),
            works: HashMap::default(),
            speed: 0.0,
            asking: None,
            calendar: Calendar::default(),
            reserve: Reserve::default(),
            share: Share::default(),
            given_up: 0,
            reservations: Vec::new(),
            quiet_first: None,
            model: Model::default(),
            rhythm: Rhythm::default(),
            fill_backlog: 0.0,
            fills_at: Time::ZERO,
            pins: BTreeMap::new(),
            placements: Placements::default(),
            ratings: 0,
            waves: Waves::default(),
            timers: BTreeSet::new(),
            room_changed: false,
            writing: Writing::default(),
            actions: Vec::new(),
        }
    }

    /// Takes one event and appends what is to be done, in order. Time never goes back.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        self.take(event);
        actions.append(&mut self.actions);
    }

    /// Draws the consequences of the events taken in since the last call: what is due, what starts
    /// where, what is written. Called after a batch of events, since looking once for many is
    /// cheaper than looking after each.
    pub fn settle(&mut self, now: Time, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        if self.owns(now) {
            self.write();
            self.run_orders();
            self.forget_ended();
        }
        actions.append(&mut self.actions);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Owned { epoch, jobs, records, learnt } => {
                self.own(epoch, jobs, records, learnt);
            }
            Event::Renewed { until } => self.valid_until = self.valid_until.max(until),
            Event::Disowned => self.disown(),
            Event::Config { config } => self.configure(config),
            Event::Evacuated { domains } => self.set_evacuated(domains),
            Event::Job { job, accepted } => self.learn(job, accepted),
            Event::Listed { registration } => self.list(&registration),
            Event::Unlisted { name } => self.unlist(&name),
            Event::Held { target, outcome } => self.held(&target, outcome),
            Event::Started { target, run, outcome } => self.started(&target, run, outcome),
            Event::Stopped { target, run, outcome } => self.stopped(&target, run, outcome),
            Event::Paced { target, run, percent, outcome } => {
                self.paced(&target, run, percent, outcome);
            }
            Event::Advised { step, outcome } => self.advised(step, outcome),
            Event::Wave { wave, begun } => self.demand(wave, begun),
            Event::Machines { machines, asked } => self.list_machines(machines, asked),
            Event::Upkept { wave, machine, outcome } => self.upkept(wave, &machine, outcome),
            Event::Wall { wall } => self.calendar.read(self.now, wall),
            Event::Written { batch } => self.written(batch),
        }
    }

    /// Tells when [`Planner::settle`] next has something to do, as far as that is known now.
    pub fn next_due(&self) -> Option<Time> {
        self.epoch?;
        [self.write_due(), self.order_due()].into_iter().flatten().min()
    }

    /// Tells whether the cell is owned and the owner's lease has not run out.
    pub fn owns(&self, now: Time) -> bool {
        self.epoch.is_some() && now < self.valid_until
    }

    /// Returns the state of a job as the store holds it, or nothing for one that isn't known here.
    pub fn state(&self, job: JobId) -> Option<State> {
        match self.jobs.get(&job) {
            Some(job) => Some(job.state()),
            None => self.ended.get(&job).copied(),
        }
    }

    /// Counts the jobs of each queue of which no task has started.
    pub fn pending(&self) -> HashMap<Arc<str>, u32> {
        let mut counts = HashMap::default();
        for job in self.jobs.values() {
            let timed = job.accepted.spec.schedule.is_some();
            if !job.started && !timed && job.end.is_none() {
                *counts.entry(job.accepted.queue.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    fn configure(&mut self, config: Arc<Config>) {
        for job in self.jobs.values_mut() {
            job.terms = crate::job::Terms::of(Some(&config), &job.accepted.queue);
        }
        self.config = Some(config);
        self.admit_strangers();
        self.room_changed = true;
    }

    pub(crate) fn note(
        &mut self,
        event: Number,
        job: Option<JobId>,
        run: Option<Run>,
        worker: Option<id::Instance>,
        detail: impl Into<Cow<'static, str>>,
    ) {
        let note = Note { event, job, run, worker, detail: detail.into() };
        self.actions.push(Action::Note(note));
    }
}
