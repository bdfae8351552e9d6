//! Runs the cell while this process owns it: passes events to the planner and executes its actions.

mod calls;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_base::panic;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change as RecordChange;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::backpressure::Load;
use cowslipchute_planner::event::BatchNumber;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Contacts;
use cowslipchute_planner::planner::Planner;
use cowslipchute_ports::executor::Advisor;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Fleet;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::machine::Machines;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock;
use crate::config::Current;
use crate::directory;
use crate::election::Notice;
use crate::event;
use crate::failpoint;
use crate::failpoint::Place;
use crate::inbox;
use crate::inbox::Queued;
use crate::lease::Lease;
use crate::log::Log;
use crate::retention;
use crate::rollouts;
use crate::rollouts::Status;
use crate::store_thread;
use crate::store_thread::StoreThread;
use crate::turn::Summary;
use crate::turn::Turn;
use crate::turn::millis;
use crate::writer::Writer;

/// Fraction of the workers that may be unanswered when a takeover counts as done: a few are gone and
/// never answer.
const MAX_UNANSWERED_FRACTION: f64 = 0.1;
/// Weight of one turn in the averages of the owner's load.
const LOAD_WEIGHT: f64 = 0.2;
/// Longest sleep of the planner when nothing is due.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The planner, shared with tasks that only query it.
pub type SharedPlanner = Arc<Mutex<Planner>>;

/// Dependencies of an ownership.
pub struct Context<S, F, A, M> {
    /// Client of the store for the ownership's reads, watches and writes. It shares no connections
    /// with other threads, since it is used on a thread of its own.
    pub store: S,
    /// Client of the store for watching the workers' directory. Each worker writes there every
    /// second or two, so changes are batched for longer. It shares no connections with `store`,
    /// since it is used on another thread.
    pub directory: S,
    /// The workers.
    pub fleet: F,
    /// The advisory service.
    pub advisor: A,
    /// The machines.
    pub machines: M,
    /// The configuration in force.
    pub config: Current,
    /// Size in bytes of the largest value that the store accepts.
    pub max_value_bytes: usize,
    /// Time for which the final states of jobs are kept.
    pub final_state_retention: Duration,
    /// The planner.
    pub planner: SharedPlanner,
    /// Sends notices to the election.
    pub notices: mpsc::UnboundedSender<Notice>,
    /// The lease, as the election renews it.
    pub lease: Lease,
    /// The log.
    pub log: Log,
}

impl<S: Clone, F: Clone, A: Clone, M: Clone> Clone for Context<S, F, A, M> {
    fn clone(&self) -> Context<S, F, A, M> {
        Context {
            store: self.store.clone(),
            directory: self.directory.clone(),
            fleet: self.fleet.clone(),
            advisor: self.advisor.clone(),
            machines: self.machines.clone(),
            config: self.config.clone(),
            max_value_bytes: self.max_value_bytes,
            final_state_retention: self.final_state_retention,
            planner: self.planner.clone(),
            notices: self.notices.clone(),
            lease: self.lease.clone(),
            log: self.log.clone(),
        }
    }
}

/// Locks the planner.
///
/// # Panics
///
/// Panics if the planner has panicked before, which ends the process.
pub fn lock(planner: &SharedPlanner) -> std::sync::MutexGuard<'_, Planner> {
    panic::lock(planner)
}

/// Runs the cell until the task is aborted, when the ownership ends.
pub async fn run<S: Store, F: Fleet, A: Advisor, M: Machines>(
    context: Context<S, F, A, M>,
    epoch: Revision,
) {
    let began = clock::now();
    let store_thread = store_thread::open(&context.log);
    let loading =
        store_thread.runtime().spawn(calls::load(context.store.clone(), context.log.clone()));
    let (cell, estimates, evacuations) = match loading.await {
        Ok(loaded) => loaded,
        Err(error) => {
            // The task panicked, or the ownership has ended.
            event!(context.log, LogEvent::StoreLost, "reason" => error.to_string());
            return;
        }
    };
    event!(context.log, LogEvent::CellLoaded, "epoch" => epoch, "jobs" => cell.jobs.len(),
        "records" => cell.records.len(), "revision" => cell.revision);
    let writer = Writer::open(
        context.store.clone(),
        epoch,
        cell.revisions,
        context.max_value_bytes,
        context.log.clone(),
    );
    let mut initial_events = vec![Queued::now(evacuations.event())];
    let (sender, receiver) = inbox::open();
    let (writes, write_receiver) = mpsc::unbounded_channel();
    let (store, log) = (context.store.clone(), context.log.clone());
    let notices = &context.notices;
    let (rollout_updates, update_receiver) = mpsc::unbounded_channel();
    let retention = context.final_state_retention;
    let mut tasks = JoinSet::new();
    let calls = store_thread.runtime();
    tasks.spawn_on(
        calls::store_estimates(epoch, writer.clone(), context.planner.clone(), notices.clone()),
        calls,
    );
    tasks.spawn_on(retention::run(store.clone(), epoch, retention, log.clone()), calls);
    tasks.spawn_on(evacuations.follow(store.clone(), sender.clone()), calls);
    tasks.spawn_on(rollouts::follow(store.clone(), sender.clone(), log.clone()), calls);
    tasks.spawn_on(
        rollouts::write_statuses(store.clone(), epoch, update_receiver, log.clone()),
        calls,
    );
    tasks.spawn_on(
        calls::write_batches(epoch, writer, write_receiver, sender.clone(), notices.clone()),
        calls,
    );
    let following =
        calls::follow_jobs(store, cell.revision, cell.set_aside, sender.clone(), log.clone());
    tasks.spawn_on(following, calls);
    let machines = context.machines.clone();
    tasks.spawn(rollouts::list_machines(machines, context.planner.clone(), sender.clone(), log));
    follow_directory(&context, &sender, &mut tasks);
    let takeover = Some(Takeover { began, loaded: clock::now() });
    let summary = Summary::open(clock::now(), &context.log);
    let owner = Owner {
        context,
        epoch,
        events: sender,
        writes,
        rollout_updates,
        tasks,
        _store_thread: store_thread,
        takeover,
        summary,
        load: Load::default(),
    };
    initial_events.push(Queued::now(Event::OwnershipAcquired {
        epoch,
        jobs: cell.jobs,
        records: cell.records,
        estimates,
    }));
    owner.serve(initial_events, receiver).await;
}

/// Follows the workers' directory on a separate thread, or on this one if the system refuses a
/// thread.
fn follow_directory<S: Store, F, A, M>(
    context: &Context<S, F, A, M>,
    events: &inbox::Sender,
    tasks: &mut JoinSet<()>,
) {
    let (store, log) = (context.directory.clone(), context.log.clone());
    if let Err(error) = directory::spawn(store.clone(), events.clone(), log.clone()) {
        event!(log, LogEvent::ThreadRefused, "reason" => error.to_string());
        tasks.spawn(directory::follow(store, events.clone(), log));
    }
}

struct Owner<S, F, A, M> {
    context: Context<S, F, A, M>,
    epoch: Revision,
    events: inbox::Sender,
    writes: mpsc::UnboundedSender<(BatchNumber, Vec<RecordChange>)>,
    rollout_updates: mpsc::UnboundedSender<rollouts::Update>,
    /// Commands in flight and background tasks; aborted when the ownership ends.
    tasks: JoinSet<()>,
    /// Runs the calls to the store; ends with the ownership.
    _store_thread: StoreThread,
    /// The takeover in progress.
    takeover: Option<Takeover>,
    summary: Summary,
    /// How far this owner is behind.
    load: Load,
}

/// A takeover whose workers haven't all answered yet.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    began: Time,
    /// When the state of the cell had been read.
    loaded: Time,
}

impl<S: Store, F: Fleet, A: Advisor, M: Machines> Owner<S, F, A, M> {
    async fn serve(mut self, initial_events: Vec<Queued>, mut inbox: inbox::Receiver) {
        let mut config = self.context.config.clone();
        let mut events = Vec::new();
        if let Some(config) = config.borrow_and_update().clone() {
            events.push(Queued::now(Event::Config { config }));
        }
        events.extend(initial_events);
        loop {
            let pause = self.step(&mut events);
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => events.push(event),
                    None => return,
                },
                Ok(()) = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        events.push(Queued::now(Event::Config { config }));
                    }
                }
                () = tokio::time::sleep(pause) => {}
            }
            while let Some(event) = inbox.try_recv() {
                events.push(event);
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Passes events to the planner and executes its actions; returns the time until more work is
    /// due.
    fn step(&mut self, events: &mut Vec<Queued>) -> Duration {
        let mut actions = Vec::new();
        let now = clock::now();
        let mut turn = Turn::begin(now);
        let contacts;
        let (pause, lease_until) = {
            let mut planner = lock(&self.context.planner);
            failpoint::hit(Place::Planner);
            planner.step(now, Event::WallClock { wall: clock::wall() }, &mut actions);
            for queued in events.drain(..) {
                turn.count(&queued);
                planner.step(now, queued.event, &mut actions);
            }
            // After the events, since the first ones start the ownership.
            let until = self.context.lease.until(self.epoch);
            planner.step(now, Event::LeaseRenewed { until }, &mut actions);
            turn.handled(clock::now());
            planner.set_load(self.load);
            let passes = planner.passes();
            planner.advance(now, &mut actions);
            turn.decided(clock::now());
            self.load.lag = smooth(self.load.lag, turn.lag());
            if planner.passes() > passes {
                self.load.pass_time = smooth(self.load.pass_time, turn.deciding());
            }
            contacts = self.takeover.map(|_| planner.contacts());
            let pause = planner.next_due().map_or(MAX_SLEEP, |due| due.saturating_sub(now));
            (pause.min(MAX_SLEEP), planner.lease_until())
        };
        if let Some(contacts) = contacts {
            self.watch_takeover(now, contacts);
        }
        for action in actions {
            self.summary.count(action.kind());
            self.execute(action);
        }
        self.summary.add(turn, clock::now(), lease_until, &self.context.log);
        pause
    }

    /// Logs the takeover once most workers have answered.
    fn watch_takeover(&mut self, now: Time, contacts: Contacts) {
        let Some(takeover) = self.takeover else { return };
        let unanswered = contacts.unfenced as f64;
        let answered = (contacts.answering + contacts.silent) as f64;
        if answered == 0.0 || unanswered > (answered + unanswered) * MAX_UNANSWERED_FRACTION {
            return;
        }
        self.takeover = None;
        let took = now.saturating_sub(takeover.began);
        self.context.log.metrics().taken_over(took);
        event!(self.context.log, LogEvent::TakeoverDone, "epoch" => self.epoch,
            "read_ms" => millis(takeover.loaded.saturating_sub(takeover.began)),
            "ms" => millis(took), "answering" => contacts.answering,
            "unfenced" => contacts.unfenced);
    }

    fn execute(&mut self, action: Action) {
        let fleet = self.context.fleet.clone();
        let events = self.events.clone();
        match action {
            Action::Start { target, start } => {
                let planner = self.context.planner.clone();
                let metrics = self.context.log.metrics().clone();
                let decided_at = clock::now();
                let lease = self.context.lease.clone();
                let epoch = self.epoch;
                self.tasks.spawn(async move {
                    let run = start.run;
                    let wanted = clock::now() < lease.until(epoch)
                        && lock(&planner).is_start_wanted(&target, run);
                    metrics.start_sent(clock::now().saturating_sub(decided_at));
                    let outcome = match wanted {
                        true => fleet.start(&target, start).await,
                        false => Err(Failure::Unsent),
                    };
                    events.send(Event::StartResult { target, run, outcome });
                });
            }
            Action::Stop { target, run } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.stop(&target, run).await;
                    events.send(Event::StopResult { target, run, outcome });
                });
            }
            Action::Throttle { target, run, percent } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.set_speed_limit(&target, run, percent).await;
                    events.send(Event::ThrottleResult { target, run, percent, outcome });
                });
            }
            Action::Heartbeat { target, heartbeat } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.heartbeat(&target, heartbeat).await;
                    events.send(Event::HeartbeatResult { target, outcome });
                });
            }
            Action::Advise { step, workers, timeout } => {
                let advisor = self.context.advisor.clone();
                self.tasks.spawn(async move {
                    let outcome = advisor.advise(step, workers, timeout).await;
                    events.send(Event::AdviceResult { step, outcome });
                });
            }
            Action::StartMaintenance { rollout, machine } => {
                let machines = self.context.machines.clone();
                let epoch = self.epoch;
                self.tasks.spawn(async move {
                    let outcome = machines.start_maintenance(&machine, rollout, epoch).await;
                    events.send(Event::MaintenanceResult { rollout, machine, outcome });
                });
            }
            Action::SaveRollout { rollout, progress, started } => {
                // The receiver is dropped only when this ownership ends.
                let _ = self.rollout_updates.send((rollout, Status { progress, started }));
            }
            Action::Write { batch, changes } => {
                // The receiver is dropped only when this ownership ends or is lost.
                let _ = self.writes.send((batch, changes));
            }
            Action::Note(note) => {
                self.context.log.metrics().track(clock::now(), &note);
                log_note(&self.context.log, note);
            }
        }
    }
}

/// Returns a moving average after one more value.
fn smooth(average: Duration, value: Duration) -> Duration {
    average.mul_f64(1.0 - LOAD_WEIGHT) + value.mul_f64(LOAD_WEIGHT)
}

fn log_note(log: &Log, note: Note) {
    log.event(note.event, |logger| {
        let job = note.job.map(|job| format!("{job:016x}"));
        let task = note.run.map(|run| run.task.to_string());
        let attempt = note.run.map(|run| run.attempt);
        let worker = note.worker.as_deref().map(str::to_owned);
        let detail = note.detail.into_owned();
        cowslipchute_daemon::log::emit(
            logger,
            note.event,
            slog::o!("job" => job, "task" => task, "attempt" => attempt, "worker" => worker,
                "detail" => detail),
        );
    });
}
