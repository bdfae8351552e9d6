//! Heartbeats: they renew a worker's lease, fetch a report on its runs, and acknowledge the ends
//! that it has reported.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Target;

use crate::action::Action;
use crate::faults::crash::PROBATION_HEARTBEAT_WAIT;
use crate::owner::takeover::EXPIRY_CHECK_INTERVAL;
use crate::planner::Planner;
use crate::records::rewrite::SETTLED_START_DELAY;
use crate::workers::command::Timer;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::responder::earliest_start;
use crate::workers::worker::ClockReading;
use crate::workers::worker::Contact;
use crate::workers::worker::Heartbeat;
use crate::workers::worker::Unacknowledged;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Longest time that an idle worker may delay its response.
const IDLE_HEARTBEAT_WAIT: Duration = Duration::from_millis(2000);
/// Delay before the heartbeat to a worker that did not respond is retried.
pub(crate) const SILENT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before the next heartbeat while reported ends wait to be stored: the worker would respond
/// immediately with the same ends.
const ACKNOWLEDGE_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Planner {
    pub(crate) fn send_heartbeat(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        let Heartbeat::Due(at) = state.heartbeat else { return };
        if at > self.now {
            return;
        }
        let Some(target) = self.target(worker) else { return };
        // A silent worker gets no new lease until it responds: a lease that may arrive late would
        // have to be waited out. Its ends aren't acknowledged either: it may have restarted, and
        // the ends of the new incarnation are numbered from one again.
        let answers = self.workers[worker].answers();
        let deadline = if answers { self.extend_lease(worker) } else { None };
        self.advance_acknowledged(worker);
        let wait = self.heartbeat_wait(&self.workers[worker]);
        let state = &mut self.workers[worker];
        state.heartbeat = Heartbeat::Sent(self.now);
        // An acknowledgement isn't repeated once it was answered: it may reach the next incarnation,
        // whose ends are numbered from one again.
        let is_due = answers && state.acknowledged > state.acknowledgement_answered;
        let acknowledged = if is_due { state.acknowledged } else { 0 };
        state.acknowledgement_sent = acknowledged;
        let heartbeat = cowslipchute_ports::executor::Heartbeat { deadline, acknowledged, wait };
        self.actions.push(Action::Heartbeat { target, heartbeat });
    }

    fn heartbeat_wait(&self, worker: &Worker) -> Duration {
        if !worker.answers() {
            Duration::ZERO
        } else if let Some(since) = worker.missing_since() {
            // A report requested after the longest duration of a stop shows whether the missing
            // runs are gone.
            (since + self.settings.max_stop_time).saturating_sub(self.now)
        } else if worker.runs.is_empty() {
            IDLE_HEARTBEAT_WAIT
        } else if worker.has_task_on_probation() {
            PROBATION_HEARTBEAT_WAIT
        } else if worker.suspects > 0 || (worker.has_latency_critical() && worker.has_best_effort())
        {
            self.settings.colocated_heartbeat_wait + self.report_pause(worker)
        } else {
            self.settings.heartbeat_wait
        }
    }

    pub(crate) fn schedule_heartbeat(&mut self, worker: WorkerId, at: Time) {
        self.workers[worker].heartbeat = Heartbeat::Due(at);
        self.timers.insert((at, Timer::Heartbeat(worker)));
    }

    /// Advances the acknowledgement past the ends whose consequences are stored.
    pub(crate) fn advance_acknowledged(&mut self, worker: WorkerId) {
        let state = &mut self.workers[worker];
        while let Some(&end) = state.unacknowledged.front() {
            let is_stored =
                self.jobs.get(&end.job).is_none_or(|job| job.stored_version >= end.version);
            if !is_stored {
                break;
            }
            state.acknowledged = end.number;
            state.unacknowledged.pop_front();
        }
    }

    /// Handles the response to a heartbeat, or its absence.
    pub(crate) fn handle_heartbeat_result(
        &mut self,
        target: &Target,
        outcome: Result<Report, Failure>,
    ) {
        let Some(worker) = self.find_worker(target) else { return };
        let Heartbeat::Sent(sent) = self.workers[worker].heartbeat else { return };
        self.raise_epoch(worker);
        match outcome {
            Ok(report) if self.workers[worker].is_older_than(&report, self.now) => {
                self.replace_from_report(worker, sent, &report);
            }
            Ok(report) => {
                self.handle_report(worker, sent, report);
                let Some(state) = self.workers.get(worker) else { return };
                let next = self.next_heartbeat(state, self.now);
                let at = match state.unacknowledged.is_empty() {
                    true => next,
                    false => next.max(self.now + ACKNOWLEDGE_RETRY_DELAY),
                };
                self.schedule_heartbeat(worker, at);
            }
            Err(Failure::Refused(Refusal::OtherWorker, _)) => self.end_incarnation(worker),
            Err(_) => {
                self.mark_silent(worker);
                self.schedule_heartbeat(worker, self.now + self.silent_retry_delay(worker));
            }
        }
    }

    fn mark_silent(&mut self, worker: WorkerId) {
        let state = &mut self.workers[worker];
        let Contact::Answering { at } = state.contact else { return };
        state.contact = Contact::Silent { at };
        let name = state.name.clone();
        self.timers.insert((self.now + EXPIRY_CHECK_INTERVAL, Timer::LeaseExpiry(worker)));
        self.note(LogEvent::WorkerSuspect, None, None, Some(name), "a hold was not answered");
    }

    /// Ends the runs of a silent worker once its lease has expired, so that their tasks can be
    /// started elsewhere.
    pub(crate) fn check_lease_expiry(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        if state.answers() {
            return;
        }
        if state.has_lease_expired(self.now, &self.settings) {
            if !state.runs.is_empty() {
                let name = state.name.clone();
                self.note(LogEvent::WorkerLapsed, None, None, Some(name), "");
                self.end_all_runs(worker);
            }
            // The worker has been silent for about as long as a start can be outstanding.
            self.unpin_worker(worker);
        }
        self.timers.insert((self.now + EXPIRY_CHECK_INTERVAL, Timer::LeaseExpiry(worker)));
        self.forget_if_unused(worker);
    }

    fn handle_report(&mut self, worker: WorkerId, sent: Time, report: Report) {
        let now = self.now;
        let owned_for = now.saturating_sub(self.owned_at);
        let max_lease = self.settings.max_lease;
        let state = &mut self.workers[worker];
        let previous = state.contact;
        state.confirm_start(report.started_at);
        state.clock_reading =
            Some(ClockReading { stamp: report.clock, requested_at: sent, at: now });
        state.acknowledgement_answered =
            state.acknowledgement_answered.max(state.acknowledgement_sent);
        state.last_answer = Some(now);
        state.end_maintenance_if_outlived(sent);
        if let Contact::Unfenced { .. } = previous {
            // Commands that this owner sent to an earlier incarnation are refused only from this
            // response on, so that incarnation's lease may have been renewed until now.
            let since = if state.generation > 0 { Duration::ZERO } else { owned_for };
            state.inherit_deadline(since, max_lease);
        }
        state.contact = Contact::Answering { at: now };
        let name = state.name.clone();
        match previous {
            Contact::Unfenced { .. } => {
                self.note(LogEvent::WorkerFenced, None, None, Some(name), "");
                self.end_others_at_address(worker);
                self.room_changed = true;
                self.delay_until_stopped(worker);
            }
            Contact::Silent { .. } => {
                self.note(LogEvent::WorkerHealthy, None, None, Some(name), "answers again");
                self.room_changed = true;
            }
            Contact::Answering { .. } => {}
        }
        let is_prompt = matches!(previous, Contact::Answering { .. });
        let began = earliest_start(sent, &report);
        let listed_ends = report.ended.len();
        self.workers[worker].extend_known_ends(sent, &report.ended);
        for ended in report.ended {
            self.handle_ended(worker, ended, is_prompt);
        }
        let mut listed: Vec<Run> = Vec::with_capacity(report.running.len());
        for running in report.running {
            listed.push(running.run);
            self.handle_running(worker, sent, running);
        }
        self.end_runs_begun_before(worker, began, &listed);
        self.resolve_missing(worker, sent, &listed);
        self.log_missing(worker, listed_ends);
        self.clear_suspects(worker);
        self.enforce_targets(worker);
        self.check_progress(worker);
    }

    /// Closes a worker that doesn't refuse excess runs until the runs that a previous owner was
    /// stopping are gone. Their jobs may have ended and been removed, and a report doesn't list a
    /// run that is ending. A worker that refuses excess runs needs no such delay.
    fn delay_until_stopped(&mut self, worker: WorkerId) {
        if self.refuses_excess(&self.workers[worker].service) {
            return;
        }
        let until = self.now + self.settings.max_stop_time;
        let state = &mut self.workers[worker];
        state.closed_until = state.closed_until.max(until);
        self.timers.insert((until, Timer::Place));
    }

    /// Returns `true` if the workers of a service refuse runs that don't fit; `false` until a
    /// configuration is known.
    pub(crate) fn refuses_excess(&self, service: &id::Service) -> bool {
        let Some(config) = &self.config else { return false };
        config
            .services
            .iter()
            .all(|configured| configured.name != *service || configured.enforces_limits)
    }

    /// Handles the end of a run, which is prompt if the worker has answered all the time.
    fn handle_ended(&mut self, worker: WorkerId, ended: Ended, is_prompt: bool) {
        let state = &mut self.workers[worker];
        if ended.number <= state.last_end_seen {
            return;
        }
        state.last_end_seen = ended.number;
        let name = state.name.clone();
        let hosted = state.runs.get(&ended.run).cloned();
        if ended.reason == EndReason::Failed {
            let is_at_fault =
                hosted.as_ref().is_some_and(|hosted| self.is_worker_at_fault(ended.run, hosted));
            if is_at_fault {
                self.record_worker_failure(worker);
            }
        }
        // When a run that was missing has ended isn't known.
        let timed = hosted.as_ref().filter(|hosted| hosted.missing_since.is_none());
        if let (EndReason::Done, Some(hosted)) = (ended.reason, timed) {
            self.learn_speed(hosted);
            if is_prompt {
                self.learn_duration(ended.run, hosted);
            }
        }
        let job = ended.run.task.job;
        self.mark_started(job);
        match &hosted {
            Some(hosted) if hosted.carried_over && hosted.has_single_start() => {
                self.withdraw_crash(ended.run);
            }
            Some(_) => {}
            None => self.log_late_start(worker, ended.run),
        }
        if hosted.is_some_and(|hosted| hosted.awaits_start_answer()) {
            self.log_reported_start(worker, ended.run);
        }
        let detail = how_text(ended.reason);
        self.note(LogEvent::RunEnded, Some(job), Some(ended.run), Some(name), detail);
        self.end_run(worker, ended.run, ended.reason, ended.checkpoint);
        let version = self.jobs.get(&job).map_or(0, |job| job.version);
        let end = Unacknowledged { number: ended.number, job, version };
        self.workers[worker].unacknowledged.push_back(end);
    }

    fn handle_running(&mut self, worker: WorkerId, sent: Time, running: Running) {
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&running.run) else {
            self.stop_orphan(worker, running.run);
            return;
        };
        let was_running = matches!(hosted.stage, Stage::Running { .. });
        let shows_start = hosted.awaits_start_answer();
        match hosted.stage {
            Stage::Starting { .. } | Stage::Inherited => {
                if matches!(hosted.stage, Stage::Inherited) {
                    // One of its starts has been carried out.
                    hosted.starts_in_flight = hosted.starts_in_flight.saturating_sub(1);
                }
                hosted.stage = Stage::Running { since: now };
                hosted.progressed_at = now;
                hosted.first_progress = running.percent;
            }
            // The run is listed because of a command of a previous owner, or of one that is still
            // in flight; its stage stays.
            Stage::Intended { .. } | Stage::Running { .. } | Stage::Stopping { .. } => {}
        }
        let began_after_crash = hosted.carried_over && hosted.has_single_start();
        hosted.carried_over = false;
        // This incarnation was there after the answer had arrived, so it has sent the answer.
        hosted.undetermined_since.take_if(|at| *at <= sent);
        hosted.listed_at = Some(sent);
        hosted.settle_listed_start();
        hosted.listed |= now >= hosted.inherited_until;
        let needs_record =
            hosted.long_running && !hosted.settlement_planned && hosted.is_settled(now);
        hosted.settlement_planned |= needs_record;
        if running.checkpoint.is_some() {
            hosted.checkpoint = running.checkpoint;
        }
        if running.percent != hosted.progress {
            hosted.progress = running.percent;
            hosted.progressed_at = now;
        }
        hosted.measurement = running.measurement;
        hosted.infer_full_speed();
        if !was_running {
            self.mark_started(running.run.task.job);
        }
        if shows_start {
            self.log_reported_start(worker, running.run);
        }
        if began_after_crash {
            self.withdraw_crash(running.run);
        }
        if needs_record {
            self.plan_rewrite(running.run.task.job, SETTLED_START_DELAY);
        }
    }

    /// Logs the start of a run that a report shows before an answer does.
    fn log_reported_start(&mut self, worker: WorkerId, run: Run) {
        let name = self.workers[worker].name.clone();
        let detail = "its worker has reported it";
        self.note(LogEvent::RunStarted, Some(run.task.job), Some(run), Some(name), detail);
    }

    /// Stops a run that isn't assigned to the worker: its job has ended, or an old start was
    /// carried out late.
    fn stop_orphan(&mut self, worker: WorkerId, run: Run) {
        self.log_late_start(worker, run);
        let stage = Stage::Running { since: self.now };
        let hosted = match self.jobs.get(&run.task.job).filter(|job| job.task(run.task).is_some()) {
            Some(job) => Hosted::new(job.spec(run.task.step), stage, self.now),
            None => Hosted::orphan(self.workers[worker].capacity, stage, self.now),
        };
        self.workers[worker].add_run(run, hosted);
        self.pin_to_orphan(worker, run);
        self.stop_run(worker, run, Reason::Obsolete);
    }
}

fn how_text(how: EndReason) -> &'static str {
    match how {
        EndReason::Done => "done",
        EndReason::Failed => "failed",
        EndReason::Stopped => "stopped",
        EndReason::LeaseExpired => "its lease expired",
        EndReason::GangEnded => "another member of its gang ended",
        EndReason::GangTimeout => "the rest of its gang did not start",
    }
}
