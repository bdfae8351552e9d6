//! The planner: its state and its door. Each other module adds one duty.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslipchute_base::entity::Table;
use cowslipchute_base::event::Event as LogEvent;
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
use crate::advice::Query;
use crate::bypass::Placements;
pub use crate::census::Census;
use crate::command::Timer;
use crate::crash::Crash;
use crate::event::Event;
use crate::interference::Model;
use crate::job::Job;
use crate::load::Periodicity;
use crate::occurrence::WallClock;
use crate::pin::Pin;
use crate::probation::Isolation;
use crate::quota::Quota;
use crate::rate_limit::Limiter;
use crate::reservation::Reservation;
use crate::reserve::Reserve;
use crate::rollout::Rollouts;
use crate::settings::Settings;
use crate::worker::Worker;
use crate::worker::WorkerId;
use crate::write::Writes;

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
    pub(crate) lease_until: Time,
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
    pub(crate) ended_expiry: VecDeque<(Time, JobId)>,
    pub(crate) workers: Table<Worker>,
    /// The newest incarnation of each name.
    pub(crate) workers_by_name: HashMap<id::Instance, WorkerId>,
    /// How many incarnations have ended or were forgotten in this ownership.
    pub(crate) incarnations_ended: u32,
    /// The last crash at each address, as far as that is remembered.
    pub(crate) crashed_at: HashMap<SocketAddr, Crash>,
    /// Entries of the directory whose service the configuration doesn't name.
    pub(crate) unconfigured: HashMap<id::Instance, Registration>,
    /// Mean work of each queue's jobs, in core-seconds.
    pub(crate) mean_work: HashMap<Arc<str>, f64>,
    /// Logarithm of the speed of the cell's short runs, as a part of what was estimated.
    pub(crate) log_speed: f64,
    /// What the advisory service is being asked.
    pub(crate) pending_query: Option<Query>,
    /// The time of day.
    pub(crate) wall_clock: WallClock,
    /// Room kept for short tasks.
    pub(crate) reserve: Reserve,
    /// What tasks that last hold of the cell.
    pub(crate) share: Quota,
    /// Tasks that last which took room kept for short ones.
    pub(crate) reserve_overrides: u64,
    /// Workers that are kept for a task which waits.
    pub(crate) reservations: Vec<Reservation>,
    /// The step on probation that needs more quiet workers than a part of the cell, if there is one.
    pub(crate) isolation_priority: Option<Isolation>,
    /// Which images slow which.
    pub(crate) interference: Model,
    /// How fast loads turn.
    pub(crate) rhythm: Periodicity,
    /// Work of tasks that fill and found no room in the last placing pass, in seconds of the whole
    /// cell's work.
    pub(crate) best_effort_backlog: f64,
    /// How fast starts may be sent.
    pub(crate) sending: Limiter,
    /// When tasks that fill are placed again.
    pub(crate) best_effort_due: Time,
    /// Tasks that may be started on one worker only ([`crate::pin`]).
    pub(crate) pins: BTreeMap<TaskId, Pin>,
    /// Who was placed lately.
    pub(crate) placements: Placements,
    /// How often a worker was rated for a step that waits, in this ownership.
    pub(crate) ratings: u64,
    /// Waves of upkeep.
    pub(crate) rollouts: Rollouts,
    /// What is due when.
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    /// Whether a placing pass may find something that the last one did not.
    pub(crate) room_changed: bool,
    pub(crate) writes: Writes,
    pub(crate) actions: Vec<Action>,
}

impl Planner {
    /// Opens a planner that owns nothing yet.
    pub fn open(settings: Settings) -> Planner {
        Planner {
            sending: Limiter::open(settings.link_bytes_per_second),
            settings,
            now: Time::ZERO,
            epoch: None,
            owned_at: Time::ZERO,
            lease_until: Time::ZERO,
            config: None,
            evacuated: BTreeSet::new(),
            jobs: HashMap::default(),
            arrivals: 0,
            waiting: BTreeSet::new(),
            ended: HashMap::default(),
            ended_expiry: VecDeque::new(),
            workers: Table::default(),
            workers_by_name: HashMap::default(),
            incarnations_ended: 0,
            crashed_at: HashMap::default(),
            unconfigured: HashMap::default(),
            mean_work: HashMap::default(),
            log_speed: 0.0,
            pending_query: None,
            wall_clock: WallClock::default(),
            reserve: Reserve::default(),
            share: Quota::default(),
            reserve_overrides: 0,
            reservations: Vec::new(),
            isolation_priority: None,
            interference: Model::default(),
            rhythm: Periodicity::default(),
            best_effort_backlog: 0.0,
            best_effort_due: Time::ZERO,
            pins: BTreeMap::new(),
            placements: Placements::default(),
            ratings: 0,
            rollouts: Rollouts::default(),
            timers: BTreeSet::new(),
            room_changed: false,
            writes: Writes::default(),
            actions: Vec::new(),
        }
    }

    /// Takes one event and appends what is to be done, in order. Time never goes back.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        self.dispatch(event);
        actions.append(&mut self.actions);
    }

    /// Draws the consequences of the events taken in since the last call: what is due, what starts
    /// where, what is written. Called after a batch of events, since looking once for many is
    /// cheaper than looking after each.
    pub fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        if self.owns(now) {
            self.place_and_write();
            self.run_timers();
            self.forget_ended();
        }
        actions.append(&mut self.actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::OwnershipAcquired { epoch, jobs, records, learnt } => {
                self.take_over(epoch, jobs, records, learnt);
            }
            Event::LeaseRenewed { until } => self.lease_until = self.lease_until.max(until),
            Event::OwnershipLost => self.release_ownership(),
            Event::Config { config } => self.configure(config),
            Event::Evacuated { domains } => self.set_evacuated(domains),
            Event::Job { job, accepted } => self.update_job(job, accepted),
            Event::Listed { registration } => self.update_entry(&registration),
            Event::Unlisted { name } => self.remove_entry(&name),
            Event::HeartbeatResult { target, outcome } => {
                self.handle_heartbeat_result(&target, outcome)
            }
            Event::StartResult { target, run, outcome } => {
                self.handle_start_result(&target, run, outcome)
            }
            Event::StopResult { target, run, outcome } => {
                self.handle_stop_result(&target, run, outcome)
            }
            Event::ThrottleResult { target, run, percent, outcome } => {
                self.handle_throttle_result(&target, run, percent, outcome);
            }
            Event::AdviceResult { step, outcome } => self.handle_advice(step, outcome),
            Event::Rollout { rollout, started } => self.add_rollout(rollout, started),
            Event::Machines { machines, requested_at } => {
                self.list_machines(machines, requested_at)
            }
            Event::MaintenanceResult { rollout, machine, outcome } => {
                self.handle_maintenance_result(rollout, &machine, outcome)
            }
            Event::WallClock { wall } => self.wall_clock.update(self.now, wall),
            Event::Written { batch } => self.handle_written(batch),
        }
    }

    /// Tells when [`Planner::advance`] next has something to do, as far as that is known now.
    pub fn next_due(&self) -> Option<Time> {
        self.epoch?;
        [self.write_due(), self.next_timer()].into_iter().flatten().min()
    }

    /// Tells whether the cell is owned and the owner's lease has not run out.
    pub fn owns(&self, now: Time) -> bool {
        self.epoch.is_some() && now < self.lease_until
    }

    /// Returns the state of a job as the store holds it, or nothing for one that isn't known here.
    pub fn state(&self, job: JobId) -> Option<State> {
        match self.jobs.get(&job) {
            Some(job) => Some(job.state()),
            None => self.ended.get(&job).copied(),
        }
    }

    /// Counts the jobs of each queue of which no task has started.
    pub fn queued_jobs(&self) -> HashMap<Arc<str>, u32> {
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
            job.policy = crate::job::Policy::of(Some(&config), &job.accepted.queue);
        }
        self.config = Some(config);
        self.apply_deferred_entries();
        self.room_changed = true;
    }

    pub(crate) fn note(
        &mut self,
        event: LogEvent,
        job: Option<JobId>,
        run: Option<Run>,
        worker: Option<id::Instance>,
        detail: impl Into<Cow<'static, str>>,
    ) {
        let note = Note { event, job, run, worker, detail: detail.into() };
        self.actions.push(Action::Note(note));
    }
}
