//! What the owner of the cell does: it feeds the planner and carries its actions out.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change as Record;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::event::BatchNumber;
use cowslipchute_planner::event::Event;
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
use crate::evacuations::Evacuations;
use crate::event;
use crate::keys;
use crate::log::Log;
use crate::recovery;
use crate::retention;
use crate::rollouts;
use crate::rollouts::Status;
use crate::watcher;
use crate::watcher::Change;
use crate::writer::Fenced;
use crate::writer::Writer;

/// Pause before the records are read again when the store did not give them.
const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two writes of what was learnt: short against the time that learning takes.
const LEARNT_PAUSE: Duration = Duration::from_secs(2);
/// Longest sleep of the planner when nothing is due.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The planner, shared with those who only ask it.
pub type SharedPlanner = Arc<Mutex<Planner>>;

/// What an ownership needs.
pub struct Context<S, F, A, M> {
    /// The store.
    pub store: S,
    /// The store, for watching the workers' directory: each of them writes there every second or
    /// two, so its changes are gathered for longer. It shares no connections with the other, since it is
    /// called on another thread.
    pub directory: S,
    /// The workers.
    pub fleet: F,
    /// The advisory service.
    pub advisor: A,
    /// The machines.
    pub machines: M,
    /// The configuration in force.
    pub config: Current,
    /// How long ends of jobs are kept.
    pub final_state_retention: Duration,
    /// The planner.
    pub planner: SharedPlanner,
    /// Words to the seat.
    pub notices: mpsc::UnboundedSender<Notice>,
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
            final_state_retention: self.final_state_retention,
            planner: self.planner.clone(),
            notices: self.notices.clone(),
            log: self.log.clone(),
        }
    }
}

/// Locks the planner.
///
/// # Panics
///
/// Panics if the planner has: what it believes can't be trusted any more.
pub fn lock(planner: &SharedPlanner) -> std::sync::MutexGuard<'_, Planner> {
    planner.lock().expect("the planner has not failed")
}

/// Runs the cell until the ownership is lost or `inbox` is closed.
pub async fn run<S: Store, F: Fleet, A: Advisor, M: Machines>(
    parts: Context<S, F, A, M>,
    epoch: Revision,
    inbox: (mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>),
) {
    let loaded = loop {
        match recovery::read_cell(&parts.store).await {
            Ok(loaded) => break loaded,
            Err(error) => {
                event!(parts.log, LogEvent::StoreLost, "reason" => error.to_string());
                tokio::time::sleep(LOAD_PAUSE).await;
            }
        }
    };
    event!(parts.log, LogEvent::CellLoaded, "epoch" => epoch, "jobs" => loaded.jobs.len(),
        "records" => loaded.records.len(), "revision" => loaded.revision);
    let journal = Writer::open(parts.store.clone(), epoch, loaded.revisions, parts.log.clone());
    let learnt = recovery::read_estimates(&parts.store, &parts.log).await;
    let evacuations = Evacuations::read(&parts.store, &parts.log).await;
    let mut known = vec![evacuations.event()];
    let (sender, receiver) = inbox;
    let (writes, write_receiver) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    tasks.spawn(keep_learnt(journal.clone(), parts.planner.clone(), parts.notices.clone()));
    let (store, log) = (parts.store.clone(), parts.log.clone());
    tasks.spawn(retention::run(store.clone(), epoch, parts.final_state_retention, log.clone()));
    tasks.spawn(evacuations.follow(store.clone(), sender.clone()));
    let (reports, report_receiver) = mpsc::unbounded_channel();
    tasks.spawn(rollouts::follow(store.clone(), sender.clone(), log.clone()));
    tasks.spawn(rollouts::write_statuses(store, epoch, report_receiver, log.clone()));
    let machines = parts.machines.clone();
    tasks.spawn(rollouts::list_machines(machines, parts.planner.clone(), sender.clone(), log));
    tasks.spawn(write(journal, write_receiver, sender.clone(), parts.notices.clone()));
    let jobs = watcher::spawn(
        parts.store.clone(),
        keys::JOBS,
        Some(loaded.revision),
        None,
        parts.log.clone(),
    );
    follow_directory(&parts, &sender, &mut tasks);
    let owner = Owner { parts, epoch, events: sender, writes, reports, tasks };
    known.push(Event::OwnershipAcquired {
        epoch,
        jobs: loaded.jobs,
        records: loaded.records,
        learnt,
    });
    owner.serve(known, receiver, jobs).await;
}

/// Follows the workers' directory, on the owner's own thread where the system refuses another.
fn follow_directory<S: Store, F, A, M>(
    parts: &Context<S, F, A, M>,
    events: &mpsc::UnboundedSender<Event>,
    tasks: &mut JoinSet<()>,
) {
    let (store, log) = (parts.directory.clone(), parts.log.clone());
    if let Err(error) = directory::spawn(store.clone(), events.clone(), log.clone()) {
        event!(log, LogEvent::ThreadRefused, "reason" => error.to_string());
        tasks.spawn(directory::follow(store, events.clone(), log));
    }
}

/// Hands on what is learnt, every few seconds.
async fn keep_learnt<S: Store>(
    journal: Writer<S>,
    planner: SharedPlanner,
    words: mpsc::UnboundedSender<Notice>,
) {
    let mut kept = None;
    loop {
        tokio::time::sleep(LEARNT_PAUSE).await;
        let learnt = lock(&planner).learnt();
        if kept.as_ref() == Some(&learnt) {
            continue;
        }
        if journal.write_estimates(&learnt).await.is_err() {
            // The seat is gone only when the process is ending.
            let _ = words.send(Notice::WriteFenced);
            return;
        }
        kept = Some(learnt);
    }
}

/// Writes batches as they come; those that overlap are of different jobs.
async fn write<S: Store>(
    journal: Writer<S>,
    mut batches: mpsc::UnboundedReceiver<(BatchNumber, Vec<Record>)>,
    events: mpsc::UnboundedSender<Event>,
    words: mpsc::UnboundedSender<Notice>,
) {
    let mut writes = JoinSet::new();
    while let Some((batch, changes)) = batches.recv().await {
        let journal = journal.clone();
        let events = events.clone();
        let words = words.clone();
        writes.spawn(async move {
            // The receivers are gone only when the ownership or the process is ending.
            match journal.write(&changes).await {
                Ok(()) => drop(events.send(Event::Written { batch })),
                Err(Fenced) => drop(words.send(Notice::WriteFenced)),
            }
        });
        while writes.try_join_next().is_some() {}
    }
}

struct Owner<S, F, A, M> {
    parts: Context<S, F, A, M>,
    epoch: Revision,
    events: mpsc::UnboundedSender<Event>,
    writes: mpsc::UnboundedSender<(BatchNumber, Vec<Record>)>,
    reports: mpsc::UnboundedSender<rollouts::Update>,
    /// Orders on their way; they end with this ownership.
    tasks: JoinSet<()>,
}

impl<S: Store, F: Fleet, A: Advisor, M: Machines> Owner<S, F, A, M> {
    async fn serve(
        mut self,
        known: Vec<Event>,
        mut inbox: mpsc::UnboundedReceiver<Event>,
        mut jobs: mpsc::Receiver<Change>,
    ) {
        let mut config = self.parts.config.clone();
        let mut events = Vec::new();
        if let Some(config) = config.borrow_and_update().clone() {
            events.push(Event::Config { config });
        }
        events.extend(known);
        loop {
            let pause = self.step(&mut events);
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => events.push(event),
                    None => return,
                },
                Some(change) = jobs.recv() => {
                    for change in watcher::collect_ready(change, &mut jobs) {
                        self.job_changed(change, &mut events);
                    }
                }
                Ok(()) = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        events.push(Event::Config { config });
                    }
                }
                () = tokio::time::sleep(pause) => {}
            }
            while let Ok(event) = inbox.try_recv() {
                events.push(event);
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Lets the planner take events in and carries out what it decides; returns how long nothing
    /// else is due.
    fn step(&mut self, events: &mut Vec<Event>) -> Duration {
        let mut actions = Vec::new();
        let pause = {
            let mut planner = lock(&self.parts.planner);
            let now = clock::now();
            planner.step(now, Event::WallClock { wall: clock::wall() }, &mut actions);
            for event in events.drain(..) {
                planner.step(now, event, &mut actions);
            }
            planner.advance(now, &mut actions);
            planner.next_due().map_or(MAX_SLEEP, |due| due.saturating_sub(now)).min(MAX_SLEEP)
        };
        for action in actions {
            self.act(action);
        }
        pause
    }

    fn job_changed(&self, change: Change, events: &mut Vec<Event>) {
        let entries = match change {
            Change::Snapshot(snapshot) => snapshot.entries,
            Change::Put(entry) => vec![entry],
            // Ours alone remove jobs, when they have ended.
            Change::Deleted { .. } => return,
        };
        for entry in entries {
            match recovery::decode_job(&entry) {
                Ok(Some((job, accepted))) => events.push(Event::Job { job, accepted }),
                Ok(None) => {}
                Err(error) => {
                    event!(self.parts.log, LogEvent::ConfigInvalid, "reason" => error.to_string());
                }
            }
        }
    }

    fn act(&mut self, action: Action) {
        let fleet = self.parts.fleet.clone();
        let events = self.events.clone();
        // An answer that finds the channel closed belongs to an ownership that has ended.
        match action {
            Action::Start { target, start } => {
                let planner = self.parts.planner.clone();
                let metrics = self.parts.log.metrics().clone();
                let decided = clock::now();
                self.tasks.spawn(async move {
                    let run = start.run;
                    let wanted = lock(&planner).is_start_wanted(&target, run);
                    metrics.start_sent(clock::now().saturating_sub(decided));
                    let outcome = match wanted {
                        true => fleet.start(&target, start).await,
                        false => Err(Failure::Unsent),
                    };
                    let _ = events.send(Event::StartResult { target, run, outcome });
                });
            }
            Action::Stop { target, run } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.stop(&target, run).await;
                    let _ = events.send(Event::StopResult { target, run, outcome });
                });
            }
            Action::Throttle { target, run, percent } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.pace(&target, run, percent).await;
                    let _ = events.send(Event::ThrottleResult { target, run, percent, outcome });
                });
            }
            Action::Heartbeat { target, heartbeat } => {
                self.tasks.spawn(async move {
                    let outcome = fleet.hold(&target, heartbeat).await;
                    let _ = events.send(Event::HeartbeatResult { target, outcome });
                });
            }
            Action::Advise { step, workers, timeout } => {
                let advisor = self.parts.advisor.clone();
                self.tasks.spawn(async move {
                    let outcome = advisor.advise(step, workers, timeout).await;
                    let _ = events.send(Event::AdviceResult { step, outcome });
                });
            }
            Action::StartMaintenance { rollout, machine } => {
                let machines = self.parts.machines.clone();
                let epoch = self.epoch;
                self.tasks.spawn(async move {
                    let outcome = machines.upkeep(&machine, rollout, epoch).await;
                    let _ = events.send(Event::MaintenanceResult { rollout, machine, outcome });
                });
            }
            Action::SaveRollout { rollout, progress, started } => {
                // The writer ends only with this ownership.
                let _ = self.reports.send((rollout, Status { progress, started }));
            }
            Action::Write { batch, changes } => {
                // The writer is gone only after it has said that the ownership is lost.
                let _ = self.writes.send((batch, changes));
            }
            Action::Note(note) => {
                self.parts.log.metrics().note(clock::now(), &note);
                log_note(&self.parts.log, note);
            }
        }
    }
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
