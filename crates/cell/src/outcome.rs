//! Ends of runs and their effects on the tasks.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Run;

use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::Holder;
use crate::job::Outcome;
use crate::job::Pending;
use crate::job::State;
use crate::worker::Allocation;
use crate::worker::WorkerId;

impl Cell {
    /// Handles the result of a task's current run. The worker retains it until the store has it.
    pub(crate) fn end_run(&mut self, id: WorkerId, key: Key, phase: &Phase, ack_from: Time) {
        let should_stop = self.jobs[key.job].should_stop(key.task);
        let task = self.jobs[key.job].entry(key.task);
        task.ended = key.attempt;
        let outcome = match phase {
            Phase::Done => {
                self.record_success(id, key.job);
                Outcome::Done
            }
            Phase::Evicted { checkpoint } => {
                // Without a new checkpoint, the one that the run resumed from remains valid.
                let newest = checkpoint.clone().or(task.checkpoint.take());
                task.checkpoint = newest;
                Outcome::Evicted
            }
            Phase::Failed { reason } => self.handle_failure(id, key, reason),
            _ if should_stop => Outcome::Cancelled,
            _ => {
                self.ack(id, key, ack_from);
                return self.requeue_when_stored(key);
            }
        };
        let outcome = match outcome {
            Outcome::Done => Outcome::Done,
            _ if should_stop => Outcome::Cancelled,
            other => other,
        };
        let incarnation = self.workers[id].incarnation;
        self.record_end(key, outcome, Some(Holder { worker: id, incarnation, ack_from }));
    }

    fn handle_failure(&mut self, id: WorkerId, key: Key, reason: &str) -> Outcome {
        let job = &mut self.jobs[key.job];
        let limit = job.spec.as_ref().map_or(u32::MAX, |spec| spec.failures_max.max(1));
        job.failures += 1;
        let run = Run { job: job.name.clone(), task: key.task, attempt: key.attempt };
        let name = self.workers[id].name.clone();
        self.note_run(LogEvent::TaskFailed, &name, run, reason);
        if !self.attribute_failure(id, key) {
            return Outcome::Failed;
        }
        self.check_failing(key.job, reason);
        let task = self.jobs[key.job].entry(key.task);
        task.failures += 1;
        let failures = task.failures;
        if failures < limit {
            return Outcome::Failed;
        }
        Outcome::Park(format!("{failures} runs failed, the last with: {reason}"))
    }

    /// Marks the end of a run to be written; the task waits until it is stored.
    fn record_end(&mut self, key: Key, outcome: Outcome, holder: Option<Holder>) {
        let job = &mut self.jobs[key.job];
        job.set(key.task, State::Settling(outcome));
        job.pending.push(Pending { task: key.task, attempt: key.attempt, holder });
        self.writer.mark(key.job);
    }

    /// Ends a run that left no result, on a worker that certainly no longer runs it.
    pub(crate) fn end_without_result(&mut self, id: WorkerId, allocation: &Allocation) {
        let key = Key { job: allocation.job, task: allocation.task, attempt: allocation.attempt };
        let job = &mut self.jobs[key.job];
        let is_placed = job
            .live
            .get(&key.task)
            .is_some_and(|task| matches!(task.state, State::Placed(worker) if worker == id));
        // The task may have another run on the same worker.
        let has_other_run = self.workers.get(id).is_some_and(|w| {
            w.allocations.iter().any(|other| other.job == key.job && other.task == key.task)
        });
        if !is_placed || has_other_run {
            return self.schedule_reap(key.job);
        }
        let job = &mut self.jobs[key.job];
        let should_stop = job.should_stop(key.task);
        let task = job.entry(key.task);
        task.ended = task.ended.max(key.attempt);
        let key = Key { attempt: task.attempt, ..key };
        if should_stop {
            return self.record_end(key, Outcome::Cancelled, None);
        }
        self.requeue_when_stored(key);
    }

    /// Requeues a task, but only after an earlier run's end is stored: no run resumes from a
    /// checkpoint that the store doesn't have.
    fn requeue_when_stored(&mut self, key: Key) {
        if self.writer.has_end(&self.jobs[key.job], key) {
            return self.record_end(key, Outcome::Evicted, None);
        }
        self.requeue(key);
    }

    /// Requeues a task.
    pub(crate) fn requeue(&mut self, key: Key) {
        self.jobs[key.job].set(key.task, State::Queued);
        self.enqueue(key.job);
    }

    /// Applies the outcome of a run whose end is now stored.
    pub(crate) fn apply_stored_end(&mut self, job: crate::job::JobId, pending: &Pending) {
        let key = Key { job, task: pending.task, attempt: pending.attempt };
        if let Some(holder) = pending.holder
            && self.workers.get(holder.worker).is_some_and(|w| w.incarnation == holder.incarnation)
        {
            self.ack(holder.worker, key, holder.ack_from);
        }
        let job = &mut self.jobs[key.job];
        let Some(task) = job.live.get(&key.task) else { return };
        let State::Settling(outcome) = &task.state else { return };
        if task.attempt != key.attempt {
            return;
        }
        let outcome = outcome.clone();
        match &outcome {
            Outcome::Done | Outcome::Cancelled => job.finish(key.task, &outcome),
            Outcome::Park(reason) => job.set(key.task, State::Parked(reason.clone())),
            Outcome::Evicted | Outcome::Failed if job.should_stop(key.task) => {
                job.finish(key.task, &Outcome::Cancelled);
                self.writer.mark(key.job);
            }
            Outcome::Evicted | Outcome::Failed => self.requeue(key),
        }
        self.note_stored_end(key, pending.holder, &outcome);
    }

    fn note_stored_end(&mut self, key: Key, holder: Option<Holder>, outcome: &Outcome) {
        let job = self.jobs[key.job].name.clone();
        let subject: id::Instance = holder
            .and_then(|holder| self.workers.get(holder.worker))
            .map_or_else(|| job.clone(), |worker| worker.name.clone());
        let run = Run { job, task: key.task, attempt: key.attempt };
        let (number, reason) = match outcome {
            Outcome::Done => (LogEvent::TaskDone, "it completed"),
            Outcome::Cancelled => (LogEvent::TaskCancelled, "its run has ended"),
            Outcome::Park(reason) => (LogEvent::TaskParked, reason.as_str()),
            Outcome::Evicted => (LogEvent::TaskEvicted, "it waits to run again"),
            Outcome::Failed => (LogEvent::TaskQueued, "it failed and waits to run again"),
        };
        self.note_run(number, &subject, run, reason);
    }
}
