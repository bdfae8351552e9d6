//! Writes changed jobs to the store, in batches with a bounded number in flight.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use foldhash::HashSet;

use crate::action::Action;
use crate::action::Change;
use crate::event::BatchNumber;
use crate::planner::Planner;
use crate::queue::job::Job;
use crate::records::record::Record;
use crate::workers::command::Timer;
use crate::workers::host::Command;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Number of writes that may be in flight at once: enough that with a store latency of a few
/// hundred milliseconds each job waits for its own write only.
const MAX_IN_FLIGHT: usize = 12;

/// Shortest time between two writes while service tasks wait for capacity that other service tasks
/// leave: an observer sees such capacity as free until the next start has arrived.
const EXPEDITED_WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Delay before a change is written again that the store refuses like all others.
const REFUSED_WRITE_DELAY: Duration = Duration::from_secs(1);

/// A write in flight.
#[derive(Debug)]
struct Write {
    batch: BatchNumber,
    /// The jobs, each with the version and the final state that are written.
    jobs: Vec<(JobId, u64, Option<State>)>,
    /// Runs that may be started once it is stored.
    intents: Vec<(WorkerId, Run)>,
}

/// Writes in flight, and changes that are yet to be written.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    /// Number of the latest write.
    last: BatchNumber,
    /// Writes in flight. No two hold the same job, so they may complete in any order.
    in_flight: Vec<Write>,
    /// Jobs that are part of a write in flight.
    busy: HashSet<JobId>,
    dirty: BTreeSet<JobId>,
    intents: Vec<(WorkerId, Run)>,
    next_write_at: Time,
    /// Earliest time of an expedited write.
    next_expedited_at: Time,
}

impl Writes {
    /// Returns an empty state that continues the numbers of earlier writes, so that none is used
    /// again.
    pub(crate) fn restart(earlier: &Writes) -> Writes {
        Writes { last: earlier.last, ..Writes::default() }
    }

    pub(crate) fn add_intent(&mut self, worker: WorkerId, run: Run) {
        self.intents.push((worker, run));
    }
}

impl Planner {
    /// Records that a job has changes that have to be stored.
    pub(crate) fn mark_dirty(&mut self, job: JobId) {
        let Some(state) = self.jobs.get_mut(&job) else { return };
        state.version += 1;
        self.writes.dirty.insert(job);
    }

    pub(crate) fn write_due(&self) -> Option<Time> {
        let has_dirty_jobs = self.writes.dirty.iter().any(|job| !self.writes.busy.contains(job));
        let write_at = self.writes.next_write_at;
        let pass_at = write_at.max(self.next_pass_at);
        let has_work = has_dirty_jobs || !self.freed.workers.is_empty();
        let expedited = self.freed.by_service.then_some(self.writes.next_expedited_at);
        let due = [has_work.then_some(write_at), self.room_changed.then_some(pass_at), expedited];
        let due = due.into_iter().flatten().min();
        due.filter(|_| self.writes.in_flight.len() < MAX_IN_FLIGHT)
    }

    /// Places tasks, and writes the changed jobs that aren't part of a write in flight.
    pub(crate) fn place_and_write(&mut self) {
        if self.writes.in_flight.len() < MAX_IN_FLIGHT && self.place_due() {
            self.write();
        }
    }

    /// Runs a placement pass if one is due, or places returning service tasks on freed workers.
    /// Returns `true` if a write is due.
    fn place_due(&mut self) -> bool {
        if self.now < self.writes.next_write_at {
            let is_expedited = self.freed.by_service && self.now >= self.writes.next_expedited_at;
            return is_expedited && self.place_on_freed() > 0;
        }
        if self.room_changed && self.now >= self.next_pass_at {
            self.room_changed = false;
            self.next_pass_at = self.now + self.pass_interval();
            self.place();
        } else if !self.freed.workers.is_empty() {
            self.place_on_freed();
        }
        true
    }

    /// Writes the changed jobs that aren't part of a write in flight.
    fn write(&mut self) {
        let busy = &self.writes.busy;
        let (deferred, dirty): (BTreeSet<JobId>, BTreeSet<JobId>) =
            std::mem::take(&mut self.writes.dirty).into_iter().partition(|job| busy.contains(job));
        self.writes.dirty = deferred;
        if dirty.is_empty() {
            return;
        }
        let mut jobs = Vec::with_capacity(dirty.len());
        let mut changes = Vec::with_capacity(dirty.len());
        for job in dirty {
            let Some(state) = self.jobs.get(&job) else { continue };
            jobs.push((job, state.version, state.end));
            let change = match state.end {
                Some(state) => Change::End { job, state },
                None => Change::Progress { job, record: self.record(job, state) },
            };
            if let Change::Progress { record, .. } = &change {
                self.plan_next_rewrite(job, record);
            }
            changes.push(change);
        }
        self.writes.last += 1;
        if self.now >= self.writes.next_write_at {
            self.writes.next_write_at = self.now + self.settings.min_write_interval;
        }
        self.writes.next_expedited_at = self.now + EXPEDITED_WRITE_INTERVAL;
        let batch = self.writes.last;
        let is_written = |&(_, run): &(WorkerId, Run)| jobs.iter().any(|job| job.0 == run.task.job);
        let (intents, deferred) =
            std::mem::take(&mut self.writes.intents).into_iter().partition(is_written);
        self.writes.intents = deferred;
        self.writes.busy.extend(jobs.iter().map(|job| job.0));
        self.writes.in_flight.push(Write { batch, jobs, intents });
        self.actions.push(Action::Write { batch, changes });
    }

    fn record(&self, id: JobId, job: &Job) -> Record {
        Record {
            outstanding: self.outstanding_starts(id),
            waits: self.waits(id),
            settled: self.settled_tasks(id),
            ..job.record(|id| self.incarnation(id))
        }
    }

    fn incarnation(&self, worker: WorkerId) -> Option<Incarnation> {
        self.workers.get(worker).map(Worker::incarnation)
    }

    /// Handles a completed write, and does what depended on it.
    pub(crate) fn handle_written(&mut self, batch: BatchNumber) {
        let Some(index) = self.writes.in_flight.iter().position(|write| write.batch == batch)
        else {
            return;
        };
        let write = self.writes.in_flight.swap_remove(index);
        for (job, version, end) in write.jobs {
            self.writes.busy.remove(&job);
            match end {
                Some(state) => self.move_to_ended(job, state),
                None => {
                    if let Some(state) = self.jobs.get_mut(&job) {
                        state.stored_version = version;
                    }
                }
            }
        }
        for (worker, run) in write.intents {
            self.schedule_start(worker, run);
        }
        self.acknowledge_ends();
    }

    /// Handles a change that the store refuses. A job whose record can't be stored ends, since none
    /// of its tasks may start or go on without one; any other change is written again later.
    pub(crate) fn handle_refused(
        &mut self,
        batch: BatchNumber,
        job: JobId,
        lasting: bool,
        reason: String,
    ) {
        let mut writes = self.writes.in_flight.iter_mut();
        let Some(write) = writes.find(|write| write.batch == batch) else { return };
        write.jobs.retain(|&(written, ..)| written != job);
        let intents = std::mem::take(&mut write.intents);
        let (refused, others): (Vec<_>, Vec<_>) =
            intents.into_iter().partition(|(_, run)| run.task.job == job);
        write.intents = others;
        self.writes.busy.remove(&job);
        let is_open = self.jobs.get(&job).is_some_and(|state| state.end.is_none());
        if lasting && is_open {
            self.note(LogEvent::JobUnstorable, Some(job), None, None, reason);
            self.finish_job(job, State::Unstorable);
        } else {
            self.writes.intents.extend(refused);
            // The write of an end leaves an earlier plan in place.
            if let Some(state) = self.jobs.get_mut(&job) {
                state.rewrite_at = None;
            }
            self.plan_rewrite(job, REFUSED_WRITE_DELAY);
        }
    }

    /// Moves a job whose end is stored to the ended jobs, so that its client sees its final state.
    fn move_to_ended(&mut self, job: JobId, state: State) {
        if self.jobs.remove(&job).is_none() {
            return;
        }
        self.writes.dirty.remove(&job);
        self.ended.insert(job, state);
        self.ended_expiry.push_back((self.now + self.settings.ended_job_retention, job));
        self.note(LogEvent::JobEnded, Some(job), None, None, end_text(state));
    }

    pub(crate) fn forget_ended(&mut self) {
        while let Some(&(at, job)) = self.ended_expiry.front() {
            if at > self.now {
                break;
            }
            self.ended_expiry.pop_front();
            self.ended.remove(&job);
        }
    }

    fn schedule_start(&mut self, worker: WorkerId, run: Run) {
        let now = self.now;
        let stored = self.jobs.get(&run.task.job).map_or(0, |job| job.stored_version);
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(hosted) = state.runs.get_mut(&run) else { return };
        // A run that was withdrawn and assigned again waits for the later write.
        if !matches!(hosted.stage, Stage::Intended { version } if version <= stored) {
            return;
        }
        hosted.stage = Stage::Starting { command: Command::Due(now), unsettled: false };
        self.timers.insert((now, Timer::Command(worker, run)));
    }

    /// Sends heartbeats to workers whose ends can be acknowledged now.
    fn acknowledge_ends(&mut self) {
        let reporting: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.unacknowledged.is_empty())
            .map(|(id, _)| id)
            .collect();
        for worker in reporting {
            self.advance_acknowledged(worker);
            self.expedite_heartbeat(worker);
        }
    }
}

pub(crate) fn end_text(state: State) -> &'static str {
    match state {
        State::Completed => "completed",
        State::Failed => "failed",
        State::Cancelled => "cancelled",
        State::Crashed => "crashed",
        State::Unstorable => "unstorable",
        State::Queued | State::Active => "not ended",
    }
}
