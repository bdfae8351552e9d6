//! Commands to workers: when they are sent, and how their results are handled.
//!
//! An unanswered command may have been carried out, or may still be carried out later. A start is
//! then repeated for the same run, which is idempotent. If the repeated start is refused, a stop of
//! that run ensures that the first start never takes effect.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::executor::Timestamp;
use cowslipchute_ports::job::JobId;

use crate::action::Action;
use crate::faults::crash::SURVIVAL_THRESHOLD;
use crate::owner::rate_limit::START_RETRY;
use crate::planner::Planner;
use crate::workers::host::Command;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::responder::Responder;
use crate::workers::worker::WorkerId;

/// Delay before an unanswered command is retried. Short, since the command's own timeout has passed
/// already.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Backoff of a worker that refused a start for lack of free capacity; its next report shows why.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff of a worker that could not be reached, reported itself unhealthy or refused the ticket.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// A timer of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The next heartbeat to a worker.
    Heartbeat(WorkerId),
    /// A command about a run.
    Command(WorkerId, Run),
    /// A check whether a silent worker's lease has expired.
    LeaseExpiry(WorkerId),
    /// A check whether an occurrence of a job is due.
    Occurrence(JobId),
    /// A check of the maintenance rollouts.
    Rollouts,
    /// A planned write of a job's record.
    Rewrite(JobId),
    /// A placement pass.
    Place,
}

impl Planner {
    /// Runs the timers that are due.
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
                Timer::Rollouts => self.advance_rollouts(),
                Timer::Rewrite(job) => self.rewrite(job),
                Timer::Place => self.room_changed = true,
            }
        }
    }

    pub(crate) fn next_timer(&self) -> Option<cowslipchute_base::id::Time> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Returns the lease deadline to send to a worker now, and records it. It is as late as workers
    /// accept, so that runs on a worker behind a network partition continue until the partition
    /// heals, and runs outlast a store outage. [`crate::workers::incarnations`] distinguishes a worker that
    /// is gone from an unreachable one long before its lease expires.
    pub(crate) fn extend_lease(&mut self, worker: WorkerId) -> Option<Timestamp> {
        let max_lease = self.settings.max_lease;
        let state = &mut self.workers[worker];
        let deadline = state.clock(self.now)? + max_lease.as_millis() as Timestamp;
        state.lease_deadline = state.lease_deadline.max(deadline);
        state.lease_sent_at = self.now;
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
        let needs_throttle = hosted.needs_throttle();
        let needs_probe = hosted.needs_probe();
        match &mut hosted.stage {
            // A start renews the lease too, and a silent worker gets no new lease.
            Stage::Starting { unsettled: false, command: Command::Due(_) } if !answers => {
                self.end_run(worker, run, EndReason::Stopped, None);
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
            Stage::Running { .. } if needs_probe => {
                hosted.probed = true;
                self.send_start(worker, run);
            }
            Stage::Running { .. } if needs_throttle => {
                hosted.throttle_in_flight = true;
                let percent = hosted.speed_limit;
                self.actions.push(Action::Throttle { target, run, percent });
            }
            _ => {}
        }
    }

    /// Returns `true` if a start may be repeated now, and charges it to the rate limit: it takes as
    /// much bandwidth as the first one.
    fn may_resend_start(&mut self, run: Run) -> bool {
        let allowed = self.start_limiter.allows(self.now);
        if allowed {
            let job = self.jobs.get(&run.task.job);
            self.start_limiter.charge(job.map_or(0, |job| job.accepted.spec.payload.len()));
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
                .and_then(|permit| permit.ticket(worker)),
        };
        self.actions.push(Action::Start { target, start });
        let state = &mut self.workers[worker];
        state.record_start(run.task.step_id(), self.now);
        if let Some(hosted) = state.runs.get_mut(&run) {
            hosted.start_first_sent.get_or_insert(self.now);
            hosted.starts_sent += 1;
            hosted.starts_in_flight += 1;
            hosted.start_last_sent = self.now;
        }
    }

    /// Schedules the first or a repeated command about a run.
    pub(crate) fn schedule_command(&mut self, worker: WorkerId, run: Run, delay: Duration) {
        self.timers.insert((self.now + delay, Timer::Command(worker, run)));
    }

    /// Returns the target of commands to a worker.
    pub(crate) fn target(&self, worker: WorkerId) -> Option<Target> {
        let state = self.workers.get(worker)?;
        let epoch = state.command_epoch(self.epoch?);
        let clock = state.clock_reading.map(|reading| reading.stamp);
        Some(Target { name: state.name.clone(), address: state.address?, epoch, clock })
    }

    /// Returns the incarnation that a command was addressed to, unless it has ended. A response to
    /// a command for an earlier incarnation says nothing about the current one.
    pub(crate) fn find_worker(&self, target: &Target) -> Option<WorkerId> {
        let worker = *self.workers_by_name.get(&target.name)?;
        let state = self.workers.get(worker)?;
        state.has_used_epoch(self.epoch?, target.epoch).then_some(worker)
    }

    /// Returns the incarnation that has responded to a command, and records that it is alive. If it
    /// is later than the known one, that one has ended; `started` is the run that a start was for.
    fn record_answer(
        &mut self,
        target: &Target,
        started: Option<Run>,
        outcome: Result<Timestamp, Failure>,
    ) -> Option<(WorkerId, Responder)> {
        let known = self.find_worker(target)?;
        let clock = match outcome {
            // The clock is that of another worker.
            Err(Failure::Refused(Refusal::OtherWorker, _)) => None,
            Ok(clock) | Err(Failure::Refused(_, Some(clock))) => Some(clock),
            Err(_) => None,
        };
        let Some(clock) = clock else { return Some((known, Responder::Undetermined)) };
        let responder = self.workers[known].responder(target.clock, clock, self.now);
        let worker = match responder {
            Responder::Later => self.replace_from_answer(known, started),
            Responder::Current | Responder::Undetermined => known,
        };
        if outcome.is_ok() {
            self.workers[worker].last_answer = Some(self.now);
        }
        Some((worker, responder))
    }

    /// Handles the response to a start, or its absence.
    pub(crate) fn handle_start_result(
        &mut self,
        target: &Target,
        run: Run,
        outcome: Result<Timestamp, Failure>,
    ) {
        self.room_changed |= self.start_window.take_refused();
        let answered = self.record_answer(target, Some(run), outcome);
        let Some((worker, responder)) = answered else { return };
        let name = &target.name;
        let now = self.now;
        if outcome == Err(Failure::Unknown) {
            // Also if the run has ended meanwhile: its start may still be carried out.
            self.record_unanswered_start(worker, target.epoch);
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let stage = hosted.stage;
        if outcome == Err(Failure::Unknown) {
            hosted.start_unanswered = true;
            self.mark_dirty(run.task.job);
        } else {
            hosted.starts_in_flight = hosted.starts_in_flight.saturating_sub(1);
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        // A later incarnation than the known one need not be the next one that becomes known.
        if outcome.is_ok() && responder != Responder::Current {
            hosted.undetermined_since = Some(now);
        }
        let is_settled = outcome.is_ok() || hosted.has_single_start();
        let unsettled = match stage {
            Stage::Starting { command: Command::Sent, unsettled } => unsettled,
            // The run was carried over to the incarnation that has responded.
            Stage::Inherited if responder == Responder::Later && is_settled => false,
            // A report has listed the run already, or a stop of the run resolves the start.
            _ => return,
        };
        match outcome {
            Ok(_) => {
                hosted.stage = Stage::Running { since: now };
                hosted.carried_over = false;
                hosted.progressed_at = now;
                let (first_sent, needs_probe) = (hosted.start_first_sent, hosted.needs_probe());
                if needs_probe {
                    self.schedule_command(worker, run, SURVIVAL_THRESHOLD);
                }
                if let Some(first_sent) = first_sent {
                    self.workers[worker].end_maintenance_if_outlived(first_sent);
                }
                self.mark_started(run.task.job);
                self.expedite_heartbeat(worker);
                self.note(
                    LogEvent::RunStarted,
                    Some(run.task.job),
                    Some(run),
                    Some(name.clone()),
                    responder.text(),
                );
            }
            Err(Failure::Refused(Refusal::OtherWorker, _)) => {
                if !unsettled {
                    // The incarnation that has ended never received it.
                    self.end_run(worker, run, EndReason::Stopped, None);
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

    /// Records that a task of a job has started, so that the job is no longer queued.
    pub(crate) fn mark_started(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.started = true;
        }
    }

    /// Handles a start that was certainly not carried out. If `unsettled`, an earlier start of the
    /// same run may still be.
    fn handle_refusal(&mut self, worker: WorkerId, run: Run, unsettled: bool, failure: Failure) {
        let name = self.workers[worker].name.clone();
        let (text, backoff) = match failure {
            Failure::Refused(Refusal::Stale, _) => {
                ("this run or a later attempt has ended or was stopped", None)
            }
            Failure::Refused(Refusal::LeaseExpired, _) => {
                ("the deadline had passed", Some(NO_ROOM_BACKOFF))
            }
            Failure::Refused(Refusal::NoCapacity, _) => ("no room", Some(NO_ROOM_BACKOFF)),
            Failure::Refused(Refusal::TicketRequired, _) => {
                ("no ticket", Some(UNREACHABLE_BACKOFF))
            }
            Failure::Refused(Refusal::Unhealthy, _) => ("unhealthy", Some(UNREACHABLE_BACKOFF)),
            Failure::Unsent => ("unreachable", Some(UNREACHABLE_BACKOFF)),
            _ => ("malformed command", Some(UNREACHABLE_BACKOFF)),
        };
        if matches!(failure, Failure::Refused(Refusal::TicketRequired, _)) {
            self.drop_permit(run.task.step_id());
        }
        self.note(LogEvent::RunRefused, Some(run.task.job), Some(run), Some(name), text);
        if let Some(backoff) = backoff {
            let until = self.now + backoff;
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
            self.end_run(worker, run, EndReason::Stopped, None);
        }
    }

    /// Handles the response to a stop, or its absence.
    pub(crate) fn handle_stop_result(
        &mut self,
        target: &Target,
        run: Run,
        outcome: Result<Timestamp, Failure>,
    ) {
        let Some((worker, _)) = self.record_answer(target, None, outcome) else { return };
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

    /// Handles the response to a speed limit, or its absence.
    pub(crate) fn handle_throttle_result(
        &mut self,
        target: &Target,
        run: Run,
        percent: u8,
        outcome: Result<Timestamp, Failure>,
    ) {
        let Some((worker, _)) = self.record_answer(target, None, outcome) else { return };
        let name = &target.name;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        hosted.throttle_in_flight = false;
        hosted.confirm_speed_limit(self.now, outcome.ok().map(|_| percent));
        // Stall detection starts over with the new speed limit.
        hosted.progressed_at = self.now;
        if hosted.needs_throttle() {
            self.schedule_command(worker, run, RETRY_DELAY);
        }
        let detail = format!("{percent} percent");
        self.note(LogEvent::RunPaced, Some(run.task.job), Some(run), Some(name.clone()), detail);
    }
}
