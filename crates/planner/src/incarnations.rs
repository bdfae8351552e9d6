//! Incarnations of workers: when one is over, and what its successor may hold.
//!
//! Pattern answered: a machine dies, or a rack of them, and its tasks wait until the deadline that its
//! worker may have been given has surely passed, ten seconds and more; an owner after the other begins
//! that wait anew, and tasks that last were seen to wait for twenty. Three words tell sooner that an
//! incarnation is over:
//!
//! - an account of another start of the worker, or one whose clock has gone back;
//! - a later start's entry in the directory;
//! - the list of machines, which names the worker on each: a silent one that it doesn't name is over.
//!   One that is only cut off is named there and waited for. While the list can't be had the deadlines
//!   are waited for as ever.
//!
//! Nothing that was read of one incarnation holds for the next: not its numbers of ends, its clock, its
//! deadline, its tickets, nor what runs there. A call carries the worker's name alone, so one that was
//! meant for the incarnation before is carried out by the next, at once or seconds later. Orders to the
//! next therefore rank above all orders to the one before ([`Worker::command_epoch`]), and from its first
//! answer to one of them it refuses the others. Until then a run whose start may still be on its way
//! keeps its place.

use std::collections::HashSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::machine::Machine;
use smallvec::SmallVec;

use crate::command::Timer;
use crate::host::Command;
use crate::host::Hosted;
use crate::host::Stage;
use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;
use crate::takeover::EXPIRY_CHECK_INTERVAL;
use crate::worker::Contact;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// How much later than the directory the list may name a new worker: it tells nothing of one that
/// became known less than this before it was asked for. Workers write to the directory each second or two.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);

impl Worker {
    /// Tells whether a list that was asked for then would name this worker, were it not over.
    fn should_be_listed(&self, asked: Time) -> bool {
        let silent = match self.contact {
            Contact::Unfenced { since } | Contact::Silent { at: since } => since < asked,
            Contact::Answering { .. } => false,
        };
        silent && self.first_seen + MACHINE_LIST_LAG <= asked
    }

    /// Tells whether an entry of the directory is of an earlier incarnation.
    pub(crate) fn is_newer_than(&self, registration: &Registration) -> bool {
        self.started_at.zip(registration.born).is_some_and(|(known, listed)| listed < known)
    }

    /// Tells whether an account is of a later incarnation. Each account was asked for after the one before had come,
    /// so a clock that has gone back is another one.
    pub(crate) fn is_older_than(&self, report: &Report) -> bool {
        match (self.started_at, report.born) {
            (Some(known), Some(born)) => known != born,
            _ => self.clock_reading.is_some_and(|reading| report.clock < reading.stamp),
        }
    }

    /// Tells whether a start of a run may yet reach the next incarnation: one that went without an answer, or one of an
    /// earlier owner, which this incarnation hasn't been told to refuse.
    fn may_start_late(&self, hosted: &Hosted, now: Time) -> bool {
        let unfenced = matches!(self.contact, Contact::Unfenced { .. });
        hosted.has_outstanding_start(now) || (unfenced && matches!(hosted.stage, Stage::Inherited))
    }

    /// The next incarnation at the same place; the directory has yet to tell what it has.
    fn successor(&self, rank: u32, now: Time) -> Worker {
        Worker {
            address: self.address,
            service: self.service.clone(),
            domain: self.domain.clone(),
            labels: self.labels.clone(),
            rack: self.rack.clone(),
            capacity: self.capacity,
            first_seen: now,
            ..Worker::unlisted(self.name.clone(), rank, now)
        }
    }
}

impl Planner {
    /// Tells whether the machines have to be listed, now and then: for a wave, or since tasks wait
    /// for a silent worker.
    pub fn needs_machine_list(&self) -> bool {
        let waited_for = |worker: &Worker| !worker.answers() && !worker.runs.is_empty();
        self.has_waves() || self.workers.iter().any(|(_, worker)| waited_for(worker))
    }

    /// Ends the incarnations of silent workers that no machine runs any more.
    pub(crate) fn end_absent_workers(&mut self, machines: &[Machine], asked: Time) {
        let names: HashSet<&id::Instance> =
            machines.iter().filter_map(|machine| machine.worker.as_ref()).collect();
        // A list that doesn't hold the workers which answer tells nothing about the others.
        let listed = |worker: &Worker| names.contains(&worker.name);
        if self.workers.iter().any(|(_, worker)| worker.answers() && !listed(worker)) {
            return;
        }
        let over: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.should_be_listed(asked) && !listed(worker))
            .map(|(id, _)| id)
            .collect();
        for worker in over {
            self.end_absent_worker(worker);
        }
    }

    /// A machine runs a worker no more. It may start again under its name, and carry out what is on its way there.
    fn end_absent_worker(&mut self, worker: WorkerId) {
        let now = self.now;
        let is_out =
            |hosted: &Hosted| hosted.starts_in_flight > 0 && hosted.has_outstanding_start(now);
        if self.workers[worker].runs.values().any(is_out) {
            self.replace_incarnation(worker, None, |_, _, hosted| is_out(hosted));
        } else {
            self.end_incarnation(worker);
        }
    }

    /// Takes in which incarnation wrote an entry; returns that one.
    pub(crate) fn match_incarnation(
        &mut self,
        worker: WorkerId,
        registration: &Registration,
    ) -> WorkerId {
        let Some(born) = registration.born else { return worker };
        if self.workers[worker].started_at.is_some_and(|known| known < born) {
            let now = self.now;
            let may_hold = |state: &Worker, _, hosted: &Hosted| state.may_start_late(hosted, now);
            return self.replace_incarnation(worker, Some(born), may_hold);
        }
        self.workers[worker].started_at = Some(born);
        worker
    }

    /// A later incarnation answers: whatever it doesn't account for is over, but for starts that may still reach it.
    pub(crate) fn replace_from_report(&mut self, worker: WorkerId, report: &Report) {
        let running = report.running.iter().map(|running| running.run);
        let held: HashSet<Run> = running.chain(report.ended.iter().map(|end| end.run)).collect();
        // Where this was its first answer to this owner, it has been told to refuse the orders of all earlier ones.
        let fenced = matches!(self.workers[worker].contact, Contact::Unfenced { .. });
        let now = self.now;
        self.replace_incarnation(worker, report.born, |state, run, hosted| {
            held.contains(&run) || (!fenced && state.may_start_late(hosted, now))
        });
    }

    /// A worker has started again under its name, or may have. The runs that the next incarnation may hold keep their
    /// places until it has accounted for them; all else is over.
    fn replace_incarnation(
        &mut self,
        worker: WorkerId,
        born: Option<id::Incarnation>,
        may_hold: impl Fn(&Worker, Run, &Hosted) -> bool,
    ) -> WorkerId {
        self.log_restart(worker, born);
        let over = self.count_crash(worker);
        let state = &self.workers[worker];
        let runs = state.runs.iter().filter(|(run, hosted)| may_hold(state, **run, hosted));
        let kept: Vec<Run> = runs.map(|(run, _)| *run).collect();
        self.incarnations_ended += 1;
        let mut successor = self.workers[worker].successor(self.incarnations_ended, self.now);
        successor.started_at = born;
        let next = self.workers.insert(successor);
        self.workers_by_name.insert(self.workers[next].name.clone(), next);
        for run in kept {
            self.carry_over(worker, next, run);
        }
        self.end_all_runs(worker);
        self.end_crashed_jobs(over);
        self.workers.remove(worker);
        self.timers.insert((self.now + EXPIRY_CHECK_INTERVAL, Timer::LeaseExpiry(next)));
        self.schedule_heartbeat(next, self.now);
        next
    }

    /// Moves a run to the next incarnation, whose account tells whether it is there.
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

    fn log_restart(&mut self, worker: WorkerId, born: Option<id::Incarnation>) {
        let state = &self.workers[worker];
        let told = |born: Option<id::Incarnation>| {
            born.map_or(String::from("an untold time"), |born| born.to_string())
        };
        let detail = format!(
            "started at {}, then at {}; {} runs, ends up to {} taken in, {} acknowledged",
            told(state.started_at),
            told(born),
            state.runs.len(),
            state.last_end_seen,
            state.acknowledged
        );
        let name = state.name.clone();
        self.note(LogEvent::WorkerRestarted, None, None, Some(name), detail);
    }

    /// A worker has answered at an address, which has one at a time: whichever other was there is
    /// over. An entry alone, which anybody may write, ends none.
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

    /// A worker is over and a worker of another name has its place, or none: whatever ran there is over.
    pub(crate) fn end_incarnation(&mut self, worker: WorkerId) {
        let name = self.workers[worker].name.clone();
        self.note(LogEvent::WorkerReplaced, None, None, Some(name), "");
        let over = self.count_crash(worker);
        self.end_all_runs(worker);
        self.end_crashed_jobs(over);
        self.unpin_worker(worker);
        self.forget_incarnation(worker);
    }

    /// Forgets a worker of which nothing is waited for.
    pub(crate) fn forget_incarnation(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.remove(worker) else { return };
        self.incarnations_ended += 1;
        self.workers_by_name.remove(&state.name);
    }
}
