//! The planner: its state and its entry points. Each of the other modules adds one responsibility.

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
use crate::capacity::quota::Quota;
use crate::capacity::reservation::Reservation;
use crate::capacity::reserve::Reserve;
use crate::capacity::usage::ServiceStarts;
use crate::colocation::forecast_error::Factors;
use crate::colocation::interference::Model;
use crate::colocation::load::Periodicity;
use crate::colocation::throttle::SpeedChanges;
use crate::event::Event;
use crate::faults::crash::Crash;
use crate::faults::probation::Isolation;
use crate::maintenance::rollout::Rollouts;
use crate::owner::backpressure::Load;
pub use crate::owner::census::Census;
pub use crate::owner::census::Contacts;
use crate::owner::forecast;
use crate::owner::rate_limit::Limiter;
use crate::owner::start_window::Window;
use crate::placement::advice::Query;
use crate::placement::pin::Pin;
use crate::queue::bypass::Placements;
use crate::queue::durations::Durations;
use crate::queue::job::Job;
use crate::queue::occurrence::WallClock;
use crate::queue::share::Shares;
use crate::records::write::Writes;
use crate::service::freed::Freed;
use crate::service::overdue::Starts;
use crate::service::service_wait::Overrides;
use crate::service::service_wait::Waits;
use crate::settings::Settings;
use crate::workers::command::Timer;
use crate::workers::late_start::LateStarts;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Scheduler of one cell. It makes decisions while this process owns the cell.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    /// Fencing token of the ownership, if the cell is owned.
    pub(crate) epoch: Option<id::Epoch>,
    /// When this ownership began.
    pub(crate) owned_at: Time,
    /// End of the owner's lease; commands may be sent until then.
    pub(crate) lease_until: Time,
    pub(crate) config: Option<Arc<Config>>,
    /// Failure domains in which nothing may be started any more ([`crate::placement::evacuation`]).
    pub(crate) evacuated: BTreeSet<id::Domain>,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Number of jobs received; the arrival number of the latest one.
    pub(crate) arrivals: u64,
    /// Jobs that may have tasks to place.
    pub(crate) waiting: BTreeSet<JobId>,
    /// Final states of jobs whose end is stored, until their retention time has passed.
    pub(crate) ended: HashMap<JobId, State>,
    /// The ended jobs by the time at which they are removed.
    pub(crate) ended_expiry: VecDeque<(Time, JobId)>,
    pub(crate) workers: Table<Worker>,
    /// The newest incarnation of each name.
    pub(crate) workers_by_name: HashMap<id::Instance, WorkerId>,
    /// Generation of the next incarnation that becomes known; higher than those of all incarnations
    /// that have ended or were removed during this ownership.
    pub(crate) next_generation: u32,
    /// Last crash at each address, while it is remembered.
    pub(crate) crashed_at: HashMap<SocketAddr, Crash>,
    /// Directory entries whose service isn't in the configuration.
    pub(crate) unconfigured: HashMap<id::Instance, Registration>,
    /// Mean work of the jobs of each queue, in core-seconds.
    pub(crate) mean_work: HashMap<Arc<str>, f64>,
    /// Shares of the queues and of the sizes of jobs in contended capacity.
    pub(crate) shares: Shares,
    /// Logarithm of the speed of short runs in the cell, as a fraction of the estimated speed.
    pub(crate) log_speed: f64,
    /// Learnt durations; empty unless the feature is on.
    pub(crate) durations: Durations,
    /// The query to the advisory service that is in flight.
    pub(crate) pending_query: Option<Query>,
    /// Estimate of the wall clock.
    pub(crate) wall_clock: WallClock,
    /// Capacity reserved for short tasks.
    pub(crate) reserve: Reserve,
    /// Fraction of the cell that service tasks hold.
    pub(crate) quota: Quota,
    /// Number of service tasks that took capacity reserved for short tasks.
    pub(crate) reserve_overrides: u64,
    /// Times of the latest of these.
    pub(crate) recent_overrides: Overrides,
    /// When an overdue service task was last placed beside capacity that an observer saw.
    pub(crate) overdue_placed_at: Time,
    /// Workers on which runs have ended since the last placement pass.
    pub(crate) freed: Freed,
    /// Starts of short tasks that are on their way.
    pub(crate) short_starts: Starts,
    /// Log of the service tasks that wait.
    pub(crate) service_waits: Waits,
    /// When service tasks on silent workers are logged next.
    pub(crate) held_log_due: Time,
    /// When the use of the cell's capacity is logged next.
    pub(crate) usage_log_due: Time,
    /// Starts of service tasks since then.
    pub(crate) service_starts: ServiceStarts,
    /// Workers reserved for waiting tasks.
    pub(crate) reservations: Vec<Reservation>,
    /// The step on probation that needs more isolated workers than the usual fraction of the cell,
    /// if there is one.
    pub(crate) isolation_priority: Option<Isolation>,
    /// Model of the interference between images.
    pub(crate) interference: Model,
    /// Learnt accuracy of forecasts of headrooms.
    pub(crate) forecast_factors: Factors,
    /// Speed limits decided during this ownership.
    pub(crate) speed_changes: SpeedChanges,
    /// Periodicity of the loads.
    pub(crate) periodicity: Periodicity,
    /// Work of best-effort tasks that found no worker in the last placement pass, in seconds of the
    /// whole cell.
    pub(crate) best_effort_backlog: f64,
    /// Rate limiter of starts.
    pub(crate) start_limiter: Limiter,
    /// Window of starts in flight.
    pub(crate) start_window: Window,
    /// How far the owner is behind.
    pub(crate) load: Load,
    /// What forecasts for other instances are made from.
    pub(crate) forecasts: forecast::State,
    /// When the next placement pass may begin.
    pub(crate) next_pass_at: Time,
    /// When best-effort tasks are placed next.
    pub(crate) best_effort_due: Time,
    /// Tasks that may be started on one worker only ([`crate::placement::pin`]).
    pub(crate) pins: BTreeMap<TaskId, Pin>,
    /// Starts that may be carried out after their task has completed.
    pub(crate) late_starts: LateStarts,
    /// Recent placements.
    pub(crate) placements: Placements,
    /// Number of worker scores computed for waiting steps during this ownership.
    pub(crate) scores: u64,
    /// Number of placement passes.
    pub(crate) passes: u64,
    /// Maintenance rollouts.
    pub(crate) rollouts: Rollouts,
    /// Timers by due time.
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    /// Whether a placement pass may find something that the last one did not.
    pub(crate) room_changed: bool,
    pub(crate) writes: Writes,
    pub(crate) actions: Vec<Action>,
}

impl Planner {
    /// Returns a planner that doesn't own its cell yet.
    pub fn open(settings: Settings) -> Planner {
        Planner {
            start_limiter: Limiter::open(settings.link_bytes_per_second),
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
            next_generation: 0,
            crashed_at: HashMap::default(),
            unconfigured: HashMap::default(),
            mean_work: HashMap::default(),
            shares: Shares::default(),
            log_speed: 0.0,
            durations: Durations::default(),
            pending_query: None,
            wall_clock: WallClock::default(),
            reserve: Reserve::default(),
            quota: Quota::default(),
            reserve_overrides: 0,
            recent_overrides: Overrides::default(),
            overdue_placed_at: Time::ZERO,
            freed: Freed::default(),
            short_starts: Starts::default(),
            service_waits: Waits::default(),
            held_log_due: Time::ZERO,
            usage_log_due: Time::ZERO,
            service_starts: ServiceStarts::default(),
            reservations: Vec::new(),
            isolation_priority: None,
            interference: Model::default(),
            forecast_factors: Factors::default(),
            speed_changes: SpeedChanges::default(),
            periodicity: Periodicity::default(),
            best_effort_backlog: 0.0,
            start_window: Window::default(),
            load: Load::default(),
            forecasts: forecast::State::default(),
            next_pass_at: Time::ZERO,
            best_effort_due: Time::ZERO,
            pins: BTreeMap::new(),
            late_starts: LateStarts::default(),
            placements: Placements::default(),
            scores: 0,
            passes: 0,
            rollouts: Rollouts::default(),
            timers: BTreeSet::new(),
            room_changed: false,
            writes: Writes::default(),
            actions: Vec::new(),
        }
    }

    /// Handles one event and appends the resulting actions, in order. The time must not decrease.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        self.dispatch(event);
        actions.append(&mut self.actions);
    }

    /// Acts on the events handled since the last call: runs due timers, places tasks and writes
    /// changes. Call it after a batch of events, since one pass for many events is cheaper than one
    /// for each.
    pub fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        assert!(now >= self.now, "time never goes back");
        self.now = now;
        if self.owns(now) {
            self.place_and_write();
            self.run_timers();
            self.log_due_waits();
            self.log_held();
            self.log_usage();
            self.forget_ended();
        }
        actions.append(&mut self.actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::OwnershipAcquired { epoch, jobs, records, estimates } => {
                self.take_over(epoch, jobs, records, estimates);
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
            Event::WriteRefused { batch, job, lasting, reason } => {
                self.handle_refused(batch, job, lasting, reason);
            }
            Event::Written { batch } => self.handle_written(batch),
        }
    }

    /// Returns when [`Planner::advance`] next has work to do, as far as is known now.
    pub fn next_due(&self) -> Option<Time> {
        self.epoch?;
        [self.write_due(), self.next_timer()].into_iter().flatten().min()
    }

    /// Returns `true` if the cell is owned and the owner's lease has not expired.
    pub fn owns(&self, now: Time) -> bool {
        self.epoch.is_some() && now < self.lease_until
    }

    /// Returns the end of the owner's lease.
    pub fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Returns the state of a job as the store holds it, or `None` if the job isn't known.
    pub fn state(&self, job: JobId) -> Option<State> {
        match self.jobs.get(&job) {
            Some(job) => Some(job.state()),
            None => self.ended.get(&job).copied(),
        }
    }

    /// Counts the jobs of each queue that have no started task, except scheduled jobs.
    pub fn queued_jobs(&self) -> HashMap<Arc<str>, u32> {
        let mut counts = HashMap::default();
        for job in self.jobs.values() {
            let is_scheduled = job.accepted.spec.schedule.is_some();
            if !job.started && !is_scheduled && job.end.is_none() {
                *counts.entry(job.accepted.queue.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    fn configure(&mut self, config: Arc<Config>) {
        for job in self.jobs.values_mut() {
            job.policy = crate::queue::policy::Policy::of(Some(&config), &job.accepted.queue);
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
