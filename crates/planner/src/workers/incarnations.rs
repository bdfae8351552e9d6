//! The end of a worker's incarnation, and what its successor may hold.
//!
//! Without other information, the tasks of a failed machine or rack wait until the lease that their
//! worker may have been granted has expired, which takes ten seconds or more. Each new owner begins
//! that wait again, so that service tasks may wait for twenty seconds. Three sources show earlier
//! that an incarnation has ended:
//!
//! - a report of another start of the worker, or a response whose clock has gone back or is
//!   too far ahead;
//! - a directory entry of a later start;
//! - the machine list, which names the worker on each machine: a silent worker that it doesn't name
//!   has ended. A worker that is only partitioned is named there and waited for. While the list is
//!   unavailable, leases are waited for as usual.
//!
//! Nothing that was read of one incarnation holds for the next: not its end numbers, clock, lease,
//! tickets or runs. A request carries the worker's name alone, so one that was meant for the
//! previous incarnation is carried out by the next, at once or seconds later. Commands to the next
//! incarnation therefore have a higher epoch than all commands to the previous one
//! ([`Worker::command_epoch`]), and from its first response to one of them it refuses the others.
//! Until then, a run whose start may still be in flight keeps its place.

use std::collections::HashSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::machine::Machine;
use smallvec::SmallVec;

use crate::owner::takeover::EXPIRY_CHECK_INTERVAL;
use crate::placement::pin::START_EXPIRY;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::workers::command::Timer;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::responder::earliest_start;
use crate::workers::worker::Contact;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Maximum lag of the machine list behind the directory: the list says nothing of a worker that
/// became known less than this before it was requested. Workers write to the directory every one or
/// two seconds.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);

/// Whether the next incarnation of a worker holds a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holding {
    /// The run has ended with the incarnation before.
    Gone,
    /// Its start may have been carried out by either incarnation, or by none.
    Possible,
    /// The next incarnation alone has carried its start out or refused it, after the incarnation
    /// before had ended.
    Certain,
}

impl Worker {
    /// Returns `true` if a list that was requested at `requested_at` would name this worker unless
    /// it had ended.
    fn should_be_listed(&self, requested_at: Time) -> bool {
        let silent = match self.contact {
            Contact::Unfenced { since } | Contact::Silent { at: since } => since < requested_at,
            Contact::Answering { .. } => false,
        };
        silent && self.first_seen + MACHINE_LIST_LAG <= requested_at
    }

    /// Returns `true` if this incarnation is later than that of a directory entry.
    pub(crate) fn is_newer_than(&self, registration: &Registration) -> bool {
        let Some(listed) = registration.started_at else { return false };
        self.started_at.is_some_and(|known| listed < known)
            || self.predecessor_started_at.is_some_and(|ended| listed <= ended)
    }

    /// Records the start time in a report. If it is that of the predecessor, which the machine list
    /// had shown as gone, that one is there after all.
    pub(crate) fn confirm_start(&mut self, reported: Option<id::Incarnation>) {
        self.started_at = self.started_at.or(reported);
        self.predecessor_started_at.take_if(|ended| Some(*ended) >= self.started_at);
    }

    /// Returns `true` if a report is from a later incarnation. Each report was requested after the
    /// previous one had arrived, so a clock that has gone back, or forward by more than the time that
    /// has passed, belongs to another incarnation.
    pub(crate) fn is_older_than(&self, report: &Report, now: Time) -> bool {
        match (self.started_at, report.started_at) {
            (Some(known), Some(reported)) => known != reported,
            _ => self.clock_reading.is_some_and(|reading| {
                report.clock < reading.stamp || reading.is_outrun_by(report.clock, now)
            }),
        }
    }

    /// Returns `true` if the next incarnation may hold a run: a start of it is unanswered, was
    /// answered by either of the two, or was sent by a previous owner without this incarnation
    /// having been told to refuse it.
    fn next_may_hold(&self, hosted: &Hosted, now: Time) -> bool {
        let unfenced = matches!(self.contact, Contact::Unfenced { .. });
        hosted.has_outstanding_start(now)
            || hosted.undetermined_since.is_some()
            || (unfenced && hosted.is_unsettled_inherited())
    }

    /// Returns the next incarnation at the same address, whose directory entry has yet to arrive.
    fn successor(&self, generation: u32, now: Time) -> Worker {
        Worker {
            late_lease_until: self.late_lease_until.max(self.lease_sent_at + START_EXPIRY),
            predecessor_started_at: self.started_at.or(self.predecessor_started_at),
            has_predecessor_with_start: self.may_restart(),
            address: self.address,
            service: self.service.clone(),
            domain: self.domain.clone(),
            labels: self.labels.clone(),
            rack: self.rack.clone(),
            capacity: self.capacity,
            first_seen: now,
            ..Worker::unlisted(self.name.clone(), generation, now)
        }
    }
}

impl Planner {
    /// Returns `true` if the machines have to be listed from time to time: for a rollout, or since
    /// tasks wait for a silent worker.
    pub fn needs_machine_list(&self) -> bool {
        let waited_for = |worker: &Worker| !worker.answers() && !worker.runs.is_empty();
        self.has_rollouts() || self.workers.iter().any(|(_, worker)| waited_for(worker))
    }

    /// Ends the incarnations of silent workers that no machine runs any more.
    pub(crate) fn end_absent_workers(&mut self, machines: &[Machine], requested_at: Time) {
        let names: HashSet<&id::Instance> =
            machines.iter().filter_map(|machine| machine.worker.as_ref()).collect();
        // A list without the workers that answer says nothing about the others.
        let listed = |worker: &Worker| names.contains(&worker.name);
        if self.workers.iter().any(|(_, worker)| worker.answers() && !listed(worker)) {
            return;
        }
        let absent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.should_be_listed(requested_at) && !listed(worker))
            .map(|(id, _)| id)
            .collect();
        for worker in absent {
            self.end_absent_worker(worker);
        }
    }

    /// Ends a worker that no machine runs any more. One that may restart under its name may carry
    /// out starts that are in flight. No other worker returns, so its tasks needn't wait until their
    /// starts have expired.
    fn end_absent_worker(&mut self, worker: WorkerId) {
        let now = self.now;
        let state = &self.workers[worker];
        let next_may_hold = |hosted: &Hosted| {
            let is_in_flight = hosted.starts_in_flight > 0 && hosted.has_outstanding_start(now);
            is_in_flight || hosted.undetermined_since.is_some()
        };
        if state.may_restart() && state.runs.values().any(next_may_hold) {
            self.replace_incarnation(worker, None, |_, _, hosted| match next_may_hold(hosted) {
                true => Holding::Possible,
                false => Holding::Gone,
            });
        } else {
            self.end_incarnation(worker);
        }
    }

    /// Returns the incarnation that wrote a directory entry, after replacing an older one that is
    /// known.
    pub(crate) fn match_incarnation(
        &mut self,
        worker: WorkerId,
        registration: &Registration,
    ) -> WorkerId {
        let Some(started_at) = registration.started_at else { return worker };
        if self.workers[worker].started_at.is_some_and(|known| known < started_at) {
            return self.replace_without_report(worker, Some(started_at), None);
        }
        self.workers[worker].started_at = Some(started_at);
        worker
    }

    /// Replaces an incarnation by the later one that has responded to a command: to the start of this
    /// run, if it was a start.
    pub(crate) fn replace_from_answer(
        &mut self,
        worker: WorkerId,
        started: Option<Run>,
    ) -> WorkerId {
        self.replace_without_report(worker, None, started)
    }

    /// Replaces an incarnation by a later one that hasn't reported its runs.
    fn replace_without_report(
        &mut self,
        worker: WorkerId,
        started_at: Option<id::Incarnation>,
        started: Option<Run>,
    ) -> WorkerId {
        let now = self.now;
        self.replace_incarnation(worker, started_at, |state, run, hosted| {
            if started == Some(run) && hosted.has_single_start() {
                Holding::Certain
            } else if state.next_may_hold(hosted, now) {
                Holding::Possible
            } else {
                Holding::Gone
            }
        })
    }

    /// Corrects the address of a worker that doesn't answer from an entry of an earlier start. The
    /// later start may be a claim of another writer, and the report from there shows which
    /// incarnation runs. Nothing else of the entry is used, since it may be an old one that arrived
    /// late; the next one corrects the address then.
    pub(crate) fn correct_address(&mut self, registration: &Registration) {
        let Some(&worker) = self.workers_by_name.get(&registration.name) else { return };
        let state = &mut self.workers[worker];
        if !state.answers() && state.address.is_some() {
            state.address = Some(registration.address);
        }
    }

    /// Replaces an incarnation by the later one that answers: all runs that the report doesn't list
    /// have ended, except those whose starts may still arrive, or have arrived if their ends may not
    /// be listed yet.
    pub(crate) fn replace_from_report(&mut self, worker: WorkerId, sent: Time, report: &Report) {
        let running = report.running.iter().map(|running| running.run);
        let held: HashSet<Run> = running.chain(report.ended.iter().map(|end| end.run)).collect();
        // If this was its first response to this owner, it has been told to refuse the commands of
        // all previous ones.
        let fenced = matches!(self.workers[worker].contact, Contact::Unfenced { .. });
        let lists_all_ends = report.ended.is_empty();
        let now = self.now;
        let next_began = earliest_start(sent, report);
        self.replace_incarnation(worker, report.started_at, |state, run, hosted| {
            let is_gone = (fenced && lists_all_ends) || hosted.was_begun_before(next_began);
            match held.contains(&run) {
                true if hosted.has_single_start() => Holding::Certain,
                true => Holding::Possible,
                false if !is_gone && state.next_may_hold(hosted, now) => Holding::Possible,
                false => Holding::Gone,
            }
        });
    }

    /// Replaces the incarnation of a worker that has restarted under its name, or may have. Runs
    /// that the next incarnation may hold keep their places until it has reported on them; all
    /// others have ended. The crash isn't counted against a run that has begun after it.
    fn replace_incarnation(
        &mut self,
        worker: WorkerId,
        started_at: Option<id::Incarnation>,
        holding: impl Fn(&Worker, Run, &Hosted) -> Holding,
    ) -> WorkerId {
        let state = &self.workers[worker];
        let runs = state.runs.iter().map(|(run, hosted)| (*run, holding(state, *run, hosted)));
        let kept: Vec<(Run, Holding)> =
            runs.filter(|(_, holding)| *holding != Holding::Gone).collect();
        self.log_restart(worker, started_at, kept.len());
        self.retire_generation(worker);
        let mut successor = self.workers[worker].successor(self.next_generation, self.now);
        successor.started_at = started_at;
        let next = self.workers.insert(successor);
        self.workers_by_name.insert(self.workers[next].name.clone(), next);
        let (certain, possible): (Vec<_>, Vec<_>) =
            kept.into_iter().partition(|(_, holding)| *holding == Holding::Certain);
        for (run, _) in certain {
            self.carry_over(worker, next, run);
        }
        let crashed_jobs = self.count_crash(worker);
        for (run, _) in possible {
            self.carry_over(worker, next, run);
        }
        self.end_all_runs(worker);
        self.end_crashed_jobs(crashed_jobs);
        self.remove_worker(worker);
        self.timers.insert((self.now + EXPIRY_CHECK_INTERVAL, Timer::LeaseExpiry(next)));
        self.schedule_heartbeat(next, self.now);
        next
    }

    /// Moves a run to the next incarnation, whose report shows whether it is there.
    fn carry_over(&mut self, worker: WorkerId, next: WorkerId, run: Run) {
        let Some(hosted) = self.workers[worker].remove_run(run) else { return };
        let stage = match hosted.stage {
            Stage::Stopping { reason, .. } => {
                Stage::Stopping { reason, command: Command::Due(self.now) }
            }
            _ => Stage::Inherited,
        };
        let stopping = matches!(stage, Stage::Stopping { .. });
        let hosted = Hosted {
            stage,
            carried_over: true,
            listed: false,
            listed_at: None,
            missing_since: None,
            settlement_planned: false,
            is_whole: false,
            confirmed_speed_limit: None,
            throttle_in_flight: false,
            ..hosted
        };
        self.workers[next].add_run(run, hosted);
        if stopping {
            self.schedule_command(next, run, Duration::ZERO);
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let is_there = |task: &Task| task.place == Place::At(worker) && task.attempt == run.attempt;
        if job.task(run.task).is_some_and(is_there) {
            job.move_task(run.task, Place::At(next));
            self.mark_dirty(run.task.job);
        }
    }

    /// Ends the runs that an incarnation was to hold if it has begun after their starts had been
    /// answered, by the incarnation before.
    pub(crate) fn end_runs_begun_before(&mut self, worker: WorkerId, began: Time, listed: &[Run]) {
        let is_over = |hosted: &Hosted| {
            let is_there = matches!(hosted.stage, Stage::Inherited | Stage::Running { .. });
            is_there && hosted.was_begun_before(began)
        };
        for run in self.workers[worker].runs_where(is_over) {
            if !listed.contains(&run) {
                self.end_run(worker, run, EndReason::LeaseExpired, None);
            }
        }
    }

    fn log_restart(&mut self, worker: WorkerId, started_at: Option<id::Incarnation>, kept: usize) {
        let state = &self.workers[worker];
        let text = |started_at: Option<id::Incarnation>| {
            started_at.map_or(String::from("an unknown time"), |started_at| started_at.to_string())
        };
        let detail = format!(
            "started at {}, then at {}; {} runs, {kept} kept, ends up to {} read, {} acknowledged",
            text(state.started_at),
            text(started_at),
            state.runs.len(),
            state.last_end_seen,
            state.acknowledged
        );
        let name = state.name.clone();
        self.note(LogEvent::WorkerRestarted, None, None, Some(name), detail);
    }

    /// Ends every other worker at the address of a worker that has answered there: an address
    /// belongs to one worker at a time. A directory entry alone, which anybody may write, ends
    /// none.
    pub(crate) fn end_others_at_address(&mut self, worker: WorkerId) {
        let address = self.workers[worker].address;
        let others = self.workers.iter().filter(|(id, other)| {
            *id != worker && other.address.is_some() && other.address == address
        });
        let others: SmallVec<[WorkerId; 1]> = others.map(|(id, _)| id).collect();
        for other in others {
            self.end_incarnation(other);
        }
    }

    /// Ends a worker whose place is taken by a worker of another name, or by none: all its runs
    /// have ended.
    pub(crate) fn end_incarnation(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        let name = state.name.clone();
        let reserved_for = state.reserved_for;
        let detail = reserved_for.map_or(String::new(), |step| format!("was reserved for {step}"));
        self.note(LogEvent::WorkerReplaced, None, None, Some(name), detail);
        let crashed_jobs = self.count_crash(worker);
        self.end_all_runs(worker);
        self.end_crashed_jobs(crashed_jobs);
        self.unpin_worker(worker);
        self.forget_incarnation(worker);
    }

    /// Forgets a worker that nothing waits for.
    pub(crate) fn forget_incarnation(&mut self, worker: WorkerId) {
        self.retire_generation(worker);
        let Some(state) = self.remove_worker(worker) else { return };
        self.workers_by_name.remove(&state.name);
    }

    /// Removes a worker whose runs have ended, together with what refers to it by its id and isn't
    /// looked up before each use ([`crate::verifier`]). It is the only way in which a worker is
    /// removed.
    fn remove_worker(&mut self, worker: WorkerId) -> Option<Worker> {
        self.cancel_reservation(worker);
        self.workers.remove(worker)
    }
}
