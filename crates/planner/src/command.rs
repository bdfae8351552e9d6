//! Orders to start and stop: when they are sent, and what their answers mean.
//!
//! An order without an answer may have been carried out, or may be later. A start is then repeated
//! for the same run, which is harmless; if the repeat is refused, a stop of that run makes sure
//! that the first start never takes effect.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Stamp;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::job::JobId;

use crate::action::Action;
use crate::crash::SURVIVAL_THRESHOLD;
use crate::host::Command;
use crate::host::Reason;
use crate::host::Stage;
use crate::planner::Planner;
use crate::rate_limit::START_RETRY;
use crate::worker::WorkerId;

/// Pause before an unanswered order is repeated: its answer's own timeout has passed already.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause for a worker that refused a start for want of room: its account will show why.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(150);
/// Pause for a worker that could not be reached or says that it is unhealthy.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A worker's hold.
    Heartbeat(WorkerId),
    /// An order about a run.
    Command(WorkerId, Run),
    /// A look whether a silent worker's deadline has passed.
    LeaseExpiry(WorkerId),
    /// A look whether an occurrence of a job is due.
    Occurrence(JobId),
    /// A look at the waves of upkeep.
    Rollouts,
    /// A look whether something can be placed.
    Place,
}

impl Planner {
    /// Sends what is due.
    pub(crate) fn run_timers(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > self.now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Heartbeat(worker) => self.send_heartbeat(worker),
                Timer::Command(worker, run) => self.send_command(worker, run),
                Timer::LeaseExpiry(worker) => self.check_lease_expiry(worker),
                Timer::Occurrence(job) => self.open_due(job),
                Timer::Rollouts => self.run_waves(),
                Timer::Place => self.room_changed = true,
            }
        }
    }

    pub(crate) fn next_timer(&self) -> Option<cowslipchute_base::id::Time> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Returns the deadline to give a worker now, and remembers it: as far ahead as workers take. What
    /// runs on a worker that is cut off then works on until the cut heals, and outlasts a store that is
    /// away; a worker that is gone is told from one that is cut off by [`crate::incarnations`] long before.
    pub(crate) fn extend_lease(&mut self, worker: WorkerId) -> Option<Stamp> {
        let max_hold = self.settings.max_lease;
        let state = &mut self.workers[worker];
        let deadline = state.clock(self.now)? + max_hold.as_millis() as Stamp;
        state.lease_deadline = state.lease_deadline.max(deadline);
        Some(deadline)
    }

    fn send_command(&mut self, worker: WorkerId, run: Run) {
        let Some(target) = self.target(worker) else { return };
        let answers = self.workers[worker].answers();
        if self.withdraw_start(worker, run) {
            return;
        }
        let Some(hosted) = self.workers[worker].runs.get(&run) else { return };
        if hosted.is_start_retry() && answers && !self.may_resend_start(run) {
            self.schedule_command(worker, run, START_RETRY);
            return;
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let wants_pace = hosted.needs_throttle();
        let wants_proof = hosted.needs_probe();
        match &mut hosted.stage {
            // A start gives a deadline too, and a silent worker is given none.
            Stage::Starting { unsettled: false, command: Command::Due(_) } if !answers => {
                self.end_run(worker, run, How::Stopped, None);
            }
            Stage::Starting { command: Command::Due(_), .. } if !answers => {
                self.schedule_command(worker, run, UNREACHABLE_BACKOFF);
            }
            Stage::Starting { command: command @ Command::Due(_), .. } => {
                *command = Command::Sent;
                self.send_start(worker, run);
            }
            Stage::Stopping { command: command @ Command::Due(_), .. } => {
                *command = Command::Sent;
                self.actions.push(Action::Stop { target, run });
            }
            Stage::Running { .. } if wants_proof => {
                hosted.probed = true;
                self.send_start(worker, run);
            }
            Stage::Running { .. } if wants_pace => {
                hosted.throttle_in_flight = true;
                let percent = hosted.speed_limit;
                self.actions.push(Action::Throttle { target, run, percent });
            }
            _ => {}
        }
    }

    /// Tells whether a start may be sent once more now, which takes as much of the link as the first time.
    fn may_resend_start(&mut self, run: Run) -> bool {
        let allowed = self.sending.allows(self.now);
        if allowed {
            let job = self.jobs.get(&run.task.job);
            self.sending.charge(job.map_or(0, |job| job.accepted.spec.payload.len()));
        }
        allowed
    }

    fn send_start(&mut self, worker: WorkerId, run: Run) {
        let Some(deadline) = self.extend_lease(worker) else { return };
        let Some(target) = self.target(worker) else { return };
        let Some(job) = self.jobs.get(&run.task.job) else { return };
        let Some(task) = job.task(run.task) else { return };
        let start = Start {
            run,
            payload: job.accepted.spec.payload.clone(),
            deadline,
            checkpoint: task.checkpoint.clone(),
            ticket: job
                .step(run.task.step_id())
                .and_then(|step| step.permit.as_ref())
                .and_then(|leave| leave.ticket(worker)),
        };
        self.actions.push(Action::Start { target, start });
        let state = &mut self.workers[worker];
        state.last_start_sent = self.now;
        if let Some(hosted) = state.runs.get_mut(&run) {
            hosted.start_first_sent.get_or_insert(self.now);
            hosted.starts_in_flight += 1;
            hosted.start_last_sent = self.now;
        }
    }

    /// Repeats an order at a time, or sends it for the first time.
    pub(crate) fn schedule_command(&mut self, worker: WorkerId, run: Run, pause: Duration) {
        self.timers.insert((self.now + pause, Timer::Command(worker, run)));
    }

    /// Returns whom orders to a worker are meant for.
    pub(crate) fn target(&self, worker: WorkerId) -> Option<Target> {
        let state = self.workers.get(worker)?;
        let epoch = state.command_epoch(self.epoch?);
        Some(Target { name: state.name.clone(), address: state.address?, epoch })
    }

    /// Finds the incarnation that an order was meant for, if it isn't over. An answer to an order to an earlier one
    /// tells nothing of it.
    pub(crate) fn find_worker(&self, target: &Target) -> Option<WorkerId> {
        let worker = *self.workers_by_name.get(&target.name)?;
        let epoch = self.workers.get(worker)?.command_epoch(self.epoch?);
        (epoch == target.epoch).then_some(worker)
    }

    /// Finds the worker that an answer is of, and notes that it lives.
    fn record_answer(
        &mut self,
        target: &Target,
        outcome: Result<Stamp, Failure>,
    ) -> Option<WorkerId> {
        let worker = self.find_worker(target)?;
        if outcome.is_ok() {
            self.workers[worker].last_answer = Some(self.now);
        }
        Some(worker)
    }

    /// A worker answered a start, or did not.
    pub(crate) fn handle_start_result(
        &mut self,
        target: &Target,
        run: Run,
        outcome: Result<Stamp, Failure>,
    ) {
        let Some(worker) = self.record_answer(target, outcome) else { return };
        let name = &target.name;
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let stage = hosted.stage;
        if outcome == Err(Failure::Unknown) {
            hosted.start_unanswered = true;
            self.mark_dirty(run.task.job);
        } else {
            hosted.starts_in_flight = hosted.starts_in_flight.saturating_sub(1);
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let Stage::Starting { command: Command::Sent, unsettled } = stage else {
            // It is being stopped; that settles it.
            return;
        };
        match outcome {
            Ok(_) => {
                hosted.stage = Stage::Running { since: now };
                hosted.progressed_at = now;
                let (ordered, wants_proof) = (hosted.start_first_sent, hosted.needs_probe());
                if wants_proof {
                    self.schedule_command(worker, run, SURVIVAL_THRESHOLD);
                }
                if let Some(ordered) = ordered {
                    self.workers[worker].end_maintenance_if_outlived(ordered);
                }
                self.mark_started(run.task.job);
                self.note(
                    LogEvent::RunStarted,
                    Some(run.task.job),
                    Some(run),
                    Some(name.clone()),
                    "",
                );
            }
            Err(Failure::Refused(Refusal::OtherWorker, _)) => {
                if !unsettled {
                    // The incarnation that is over never had it.
                    self.end_run(worker, run, How::Stopped, None);
                }
                self.end_incarnation(worker);
            }
            Err(Failure::Unknown | Failure::Refused(Refusal::Fenced, _)) => {
                let command = Command::Due(now + RETRY_DELAY);
                hosted.stage = Stage::Starting { command, unsettled: true };
                self.schedule_command(worker, run, RETRY_DELAY);
                self.note(
                    LogEvent::RunUnsettled,
                    Some(run.task.job),
                    Some(run),
                    Some(name.clone()),
                    "start",
                );
            }
            Err(Failure::Unsent) if unsettled => {
                let command = Command::Due(now + UNREACHABLE_BACKOFF);
                hosted.stage = Stage::Starting { command, unsettled };
                self.schedule_command(worker, run, UNREACHABLE_BACKOFF);
            }
            Err(failure) => self.handle_refusal(worker, run, unsettled, failure),
        }
    }

    /// A task of a job has surely started: it waits no more.
    pub(crate) fn mark_started(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.started = true;
        }
    }

    /// A start was surely not carried out by this order.
    fn handle_refusal(&mut self, worker: WorkerId, run: Run, unsettled: bool, failure: Failure) {
        let name = self.workers[worker].name.clone();
        let (text, pause) = match failure {
            Failure::Refused(Refusal::Old, _) => ("an ended or stopped run is as high", None),
            Failure::Refused(Refusal::Late, _) => {
                ("the deadline had passed", Some(NO_ROOM_BACKOFF))
            }
            Failure::Refused(Refusal::Room, _) => ("no room", Some(NO_ROOM_BACKOFF)),
            Failure::Refused(Refusal::Ticket, _) => ("no ticket", Some(UNREACHABLE_BACKOFF)),
            Failure::Refused(Refusal::Unhealthy, _) => ("unhealthy", Some(UNREACHABLE_BACKOFF)),
            Failure::Unsent => ("not reached", Some(UNREACHABLE_BACKOFF)),
            _ => ("not understood", Some(UNREACHABLE_BACKOFF)),
        };
        if matches!(failure, Failure::Refused(Refusal::Ticket, _)) {
            self.drop_permit(run.task.step_id());
        }
        self.note(LogEvent::RunRefused, Some(run.task.job), Some(run), Some(name), text);
        if let Some(pause) = pause {
            let until = self.now + pause;
            let state = &mut self.workers[worker];
            state.closed_until = state.closed_until.max(until);
            self.timers.insert((until, Timer::Place));
        }
        if matches!(failure, Failure::Refused(Refusal::Unhealthy, _)) {
            self.record_worker_failure(worker);
        }
        if unsettled {
            self.stop_run(worker, run, Reason::Unsettled);
        } else {
            self.end_run(worker, run, How::Stopped, None);
        }
    }

    /// A worker answered a stop, or did not.
    pub(crate) fn handle_stop_result(
        &mut self,
        target: &Target,
        run: Run,
        outcome: Result<Stamp, Failure>,
    ) {
        let Some(worker) = self.record_answer(target, outcome) else { return };
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let Stage::Stopping { reason, command: Command::Sent } = hosted.stage else { return };
        match outcome {
            Ok(_) => hosted.stage = Stage::Stopping { reason, command: Command::Done(now) },
            Err(Failure::Refused(Refusal::OtherWorker, _)) => self.end_incarnation(worker),
            Err(_) => {
                let command = Command::Due(now + RETRY_DELAY);
                hosted.stage = Stage::Stopping { reason, command };
                self.schedule_command(worker, run, RETRY_DELAY);
            }
        }
    }

    /// A worker answered a change of pace, or did not.
    pub(crate) fn handle_throttle_result(
        &mut self,
        target: &Target,
        run: Run,
        percent: u8,
        outcome: Result<Stamp, Failure>,
    ) {
        let Some(worker) = self.find_worker(target) else { return };
        let name = &target.name;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        hosted.throttle_in_flight = false;
        hosted.confirmed_speed_limit = outcome.ok().map(|_| percent);
        // From its new pace on it is told anew whether it stands still.
        hosted.progressed_at = self.now;
        if hosted.needs_throttle() {
            self.schedule_command(worker, run, RETRY_DELAY);
        }
        let detail = format!("{percent} percent");
        self.note(LogEvent::RunPaced, Some(run.task.job), Some(run), Some(name.clone()), detail);
    }
}
