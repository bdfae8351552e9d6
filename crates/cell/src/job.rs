//! The state of a job's tasks at the owner of their cell.
//!
//! Only tasks that are neither fresh (never started) nor ended have an entry, so that a job's
//! memory depends on the tasks that run or wait to resume and not on its size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::entity;
use cowslipchute_base::id;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_resource::job;
use smallvec::SmallVec;

use crate::failure::Score;
use crate::queue::Item;
use crate::quota::TeamIndex;
use crate::record::Span;
use crate::size::Size;
use crate::span::Spans;
use crate::worker::WorkerId;

pub(crate) type JobId = entity::Id<Job>;

/// The effect of a run's end on its task, applied once the end is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    Cancelled,
    /// The task runs again, from the new checkpoint if there is one.
    Evicted,
    /// The task runs again, from its last checkpoint if there is one.
    Failed,
    /// The task failed too often and is parked for the given reason.
    Park(String),
}

/// The state of a task that has an entry.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// It waits for a worker.
    Queued,
    /// It has a run on the worker, which the worker's allocation describes.
    Placed(WorkerId),
    /// Its run has ended and the end is being written to the store.
    Settling(Outcome),
    /// It can't run until its job is changed, for the given reason.
    Parked(String),
}

#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// The highest attempt known to have been started or to have ended.
    pub(crate) attempt: Attempt,
    /// The highest attempt that is known to have ended.
    pub(crate) ended: Attempt,
    pub(crate) checkpoint: Option<id::Checkpoint>,
    pub(crate) failures: u32,
    pub(crate) state: State,
}

impl Task {
    pub(crate) fn fresh(floor: Attempt) -> Task {
        Task { attempt: floor, ended: floor, checkpoint: None, failures: 0, state: State::Queued }
    }
}

/// The end of a run that is not in the store yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) task: TaskIndex,
    pub(crate) attempt: Attempt,
    /// The worker that retains the result; `None` if the run ended with its worker.
    pub(crate) holder: Option<Holder>,
}

/// The incarnation of a worker that retains a result until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) worker: WorkerId,
    pub(crate) incarnation: id::Incarnation,
    /// The earliest time at which the result may be acknowledged.
    pub(crate) ack_from: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) name: id::Job,
    /// The declaration; absent while the job is known only from workers or the store.
    pub(crate) spec: Option<Arc<job::Spec>>,
    /// Position in order of arrival.
    pub(crate) order: u64,
    /// The job is no longer declared; it is dropped after its last run has ended.
    pub(crate) removed: bool,
    /// Whether its record is being removed from the store.
    pub(crate) deleting_record: bool,
    /// A new declaration under the same name, received while the previous one's last runs end.
    pub(crate) successor: Option<Arc<job::Spec>>,
    /// The highest attempt of any of its tasks.
    pub(crate) highest_attempt: Attempt,
    /// The reason why none of its tasks may start.
    pub(crate) parked: Option<String>,
    /// Its entry in the queue, if it has one.
    pub(crate) queue_item: Option<Item>,
    /// Tasks that are neither fresh nor ended.
    pub(crate) live: BTreeMap<TaskIndex, Task>,
    /// The tasks in `live` that wait for a worker.
    pub(crate) queued: BTreeSet<TaskIndex>,
    /// Tasks from this index on that are in no other set are fresh: they wait for a first run.
    pub(crate) first_fresh: TaskIndex,
    pub(crate) done: Spans,
    pub(crate) cancelled: Spans,
    /// Ends of runs that are not in a batch yet.
    pub(crate) pending: Vec<Pending>,
    /// Number of batches in flight that contain its record.
    pub(crate) writes_in_flight: u32,
    /// Number of its runs on workers, including those of older attempts.
    pub(crate) runs: u32,
    /// Number of its runs by rack.
    pub(crate) runs_by_rack: SmallVec<[u16; 8]>,
    /// The sum of its runs' allocations.
    pub(crate) allocated: Amount,
    /// Whether its runs are counted as best-effort, which must leave the reserve free.
    pub(crate) best_effort: bool,
    /// The index of its team in the cell's table.
    pub(crate) team: TeamIndex,
    /// Measured usage of its tasks.
    pub(crate) usage: Size,
    /// The allocation of its next task; zero while there are too few measurements.
    pub(crate) learnt_amount: Amount,
    /// Failure statistics of its runs.
    pub(crate) score: Score,
    /// Number of runs that failed since one completed.
    pub(crate) failures: u32,
    /// Workers on which it failed since one of its runs completed.
    pub(crate) failed_on: SmallVec<[WorkerId; 4]>,
    /// Whether it is parked because it fails on every worker.
    pub(crate) fails_everywhere: bool,
    /// Attempts up to this one belong to an earlier job of the same name.
    pub(crate) floor: Attempt,
}

impl Job {
    pub(crate) fn open(name: id::Job, order: u64) -> Job {
        Job {
            name,
            spec: None,
            order,
            removed: false,
            deleting_record: false,
            successor: None,
            highest_attempt: 0,
            parked: None,
            queue_item: None,
            live: BTreeMap::new(),
            queued: BTreeSet::new(),
            first_fresh: 0,
            done: Spans::default(),
            cancelled: Spans::default(),
            pending: Vec::new(),
            writes_in_flight: 0,
            runs: 0,
            runs_by_rack: SmallVec::new(),
            allocated: Amount::ZERO,
            best_effort: false,
            team: 0,
            usage: Size::default(),
            learnt_amount: Amount::ZERO,
            score: Score::default(),
            failures: 0,
            failed_on: SmallVec::new(),
            fails_everywhere: false,
            floor: 0,
        }
    }

    /// Clears all progress; it is loaded again from the store and the workers.
    pub(crate) fn reset(&mut self) {
        let fresh = Job::open(self.name.clone(), self.order);
        let spec = self.spec.take();
        let removed = self.removed;
        let successor = self.successor.take();
        *self = Job { spec, removed, successor, team: self.team, ..fresh };
    }

    pub(crate) fn class(&self) -> Class {
        self.spec.as_ref().map_or(Class::Batch, |spec| spec.class)
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.urgent)
    }

    pub(crate) fn declared(&self) -> Amount {
        self.spec.as_ref().map_or(Amount::ZERO, |spec| spec.amount)
    }

    pub(crate) fn tasks(&self) -> u32 {
        self.spec.as_ref().map_or(0, |spec| spec.tasks)
    }

    /// Returns `true` if no task of the job should run any more.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.removed || self.spec.as_ref().is_some_and(|spec| spec.cancelled)
    }

    /// Returns `true` if a task should not run any more; `false` for jobs that are not declared
    /// yet.
    pub(crate) fn should_stop(&self, index: TaskIndex) -> bool {
        self.is_cancelled() || (self.spec.is_some() && index >= self.tasks())
    }

    /// Returns `true` if a task has completed or was cancelled.
    pub(crate) fn has_ended(&self, index: TaskIndex) -> bool {
        self.done.contains(index) || self.cancelled.contains(index)
    }

    /// Returns the next task that waits for a worker.
    pub(crate) fn next(&mut self) -> Option<TaskIndex> {
        if let Some(&index) = self.queued.first() {
            return Some(index);
        }
        self.skip_fresh();
        (self.first_fresh < self.tasks()).then_some(self.first_fresh)
    }

    fn skip_fresh(&mut self) {
        while self.first_fresh < self.tasks() {
            let next = self.cancelled.skip(self.done.skip(self.first_fresh));
            if next == self.first_fresh && !self.live.contains_key(&next) {
                return;
            }
            self.first_fresh = if next == self.first_fresh { next + 1 } else { next };
        }
    }

    /// Counts the tasks that wait for a worker.
    pub(crate) fn waiting(&self) -> u32 {
        let ended = self.done.len() + self.cancelled.len();
        let others = self.live.len() as u32 - self.queued.len() as u32;
        self.tasks().saturating_sub(ended + others)
    }

    /// Returns the entry of a task, creating it if there is none.
    pub(crate) fn entry(&mut self, index: TaskIndex) -> &mut Task {
        let floor = self.floor;
        self.live.entry(index).or_insert_with(|| {
            self.queued.insert(index);
            Task::fresh(floor)
        })
    }

    /// Sets the state of a task that has an entry.
    pub(crate) fn set(&mut self, index: TaskIndex, state: State) {
        if matches!(state, State::Queued) {
            self.queued.insert(index);
        } else {
            self.queued.remove(&index);
        }
        let task = self.live.get_mut(&index).expect("only a task with an entry changes its state");
        task.state = state;
    }

    /// Records that a task has completed or was cancelled.
    pub(crate) fn finish(&mut self, index: TaskIndex, outcome: &Outcome) {
        self.queued.remove(&index);
        self.live.remove(&index);
        match outcome {
            Outcome::Done => self.done.insert(index),
            Outcome::Cancelled => self.cancelled.insert(index),
            Outcome::Evicted | Outcome::Failed | Outcome::Park(_) => {
                unreachable!("these outcomes are not terminal")
            }
        }
    }

    /// Cancels every task from `from` on that is on no worker and returns their number.
    pub(crate) fn cancel_waiting(&mut self, from: TaskIndex, to: TaskIndex) -> u32 {
        let before = self.cancelled.len();
        let is_idle = |task: &Task| matches!(task.state, State::Queued | State::Parked(_));
        let entries: SmallVec<[TaskIndex; 16]> = self
            .live
            .range(from..)
            .filter(|(_, task)| is_idle(task))
            .map(|(&index, _)| index)
            .collect();
        for index in entries {
            self.finish(index, &Outcome::Cancelled);
        }
        self.cancel_fresh(from, to);
        self.cancelled.len() - before
    }

    /// Cancels the fresh tasks of a span; the cost depends on the number of gaps in it.
    fn cancel_fresh(&mut self, from: TaskIndex, to: TaskIndex) {
        let mut start = from.max(self.first_fresh);
        while start < to {
            let next = self.cancelled.skip(self.done.skip(start));
            if next > start || self.live.contains_key(&start) {
                start = next.max(start + 1);
                continue;
            }
            let end = self.next_occupied(start).min(to);
            self.cancelled.insert_span(Span { start, end });
            start = end;
        }
    }

    fn next_occupied(&self, start: TaskIndex) -> TaskIndex {
        let live = self.live.range(start..).next().map_or(TaskIndex::MAX, |(&index, _)| index);
        live.min(self.done.next(start)).min(self.cancelled.next(start))
    }

    /// Returns `true` if the job has no run on a worker and no pending write to the store.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs == 0 && self.pending.is_empty() && self.writes_in_flight == 0
    }
}
