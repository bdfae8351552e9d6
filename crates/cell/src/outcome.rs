//! Ends of runs and their effects on the tasks.

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Run;

use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::Keeper;
use crate::job::Outcome;
use crate::job::Pending;
use crate::job::State;
use crate::worker::Hold;
use crate::worker::WorkerId;

impl Cell {
    /// Handles the result of a task's current run. The worker retains it until the store has it.
    pub(crate) fn end_run(&mut self, id: WorkerId, key: Key, phase: &Phase, linger: Time) {
        let unwanted = self.jobs[key.job].is_unwanted(key.task);
        let task = self.jobs[key.job].entry(key.task);
        task.ended = key.attempt;
        let outcome = match phase {
            Phase::Done => {
                self.praise(id, key.job);
                Outcome::Done
            }
            Phase::Evicted { checkpoint } => {
                // Without a new checkpoint, the one that the run resumed from remains valid.
                let kept = checkpoint.clone().or(task.checkpoint.take());
                task.checkpoint = kept;
                Outcome::Evicted
            }
            Phase::Failed { reason } => self.failed(id, key, reason),
            _ if unwanted => Outcome::Cancelled,
            _ => {
                self.ack(id, key, linger);
                return self.wait_again(key);
            }
        };
        let outcome = match outcome {
            Outcome::Done => Outcome::Done,
            _ if unwanted => Outcome::Cancelled,
            other => other,
        };
        let incarnation = self.workers[id].incarnation;
        self.keep(key, outcome, Some(Keeper { worker: id, incarnation, linger }));
    }

    fn failed(&mut self, id: WorkerId, key: Key, reason: &str) -> Outcome {
        let job = &mut self.jobs[key.job];
        let limit = job.spec.as_ref().map_or(u32::MAX, |spec| spec.failures_max.max(1));
        job.failures += 1;
        let run = Run { job: job.name.clone(), task: key.task, attempt: key.attempt };
        let name = self.workers[id].name.clone();
        self.note_run(Number::TaskFailed, &name, run, reason);
        if !self.blame(id, key) {
            return Outcome::Failed;
        }
        self.check_broken(key.job, reason);
        let task = self.jobs[key.job].entry(key.task);
        task.failures += 1;
        let failures = task.failures;
        if failures < limit {
            return Outcome::Failed;
        }
        Outcome::Park(format!("{failures} runs failed, the last with: {reason}"))
    }

    /// Marks the end of a run to be written; the task waits until it is stored.
    fn keep(&mut self, key: Key, outcome: Outcome, keeper: Option<Keeper>) {
        let job = &mut self.jobs[key.job];
        job.set(key.task, State::Settling(outcome));
        job.pending.push(Pending { task: key.task, attempt: key.attempt, keeper });
        self.ledger.mark(key.job);
    }

    /// Ends a run that left no result, on a worker that certainly no longer runs it.
    pub(crate) fn end_quietly(&mut self, id: WorkerId, hold: &Hold) {
        let key = Key { job: hold.job, task: hold.task, attempt: hold.attempt };
        let job = &mut self.jobs[key.job];
        let placed = job
            .live
            .get(&key.task)
            .is_some_and(|task| matches!(task.state, State::Placed(worker) if worker == id));
        // The task may have another run on the same worker.
        let again = self
            .workers
            .get(id)
            .is_some_and(|w| w.holds.iter().any(|h| h.job == key.job && h.task == key.task));
        if !placed || again {
            return self.finish_job(key.job);
        }
        let job = &mut self.jobs[key.job];
        let unwanted = job.is_unwanted(key.task);
        let task = job.entry(key.task);
        task.ended = task.ended.max(key.attempt);
        let key = Key { attempt: task.attempt, ..key };
        if unwanted {
            return self.keep(key, Outcome::Cancelled, None);
        }
        self.wait_again(key);
    }

    /// Requeues a task, but only after an earlier run's end is stored: no run resumes from a
    /// checkpoint that the store doesn't have.
    fn wait_again(&mut self, key: Key) {
        if self.ledger.writes(&self.jobs[key.job], key) {
            return self.keep(key, Outcome::Evicted, None);
        }
        self.requeue(key);
    }

    /// Requeues a task.
    pub(crate) fn requeue(&mut self, key: Key) {
        self.jobs[key.job].set(key.task, State::Queued);
        self.enqueue(key.job);
    }

    /// Applies the outcome of a run whose end is now stored.
    pub(crate) fn settled(&mut self, job: crate::job::JobId, pending: &Pending) {
        let key = Key { job, task: pending.task, attempt: pending.attempt };
        if let Some(keeper) = pending.keeper
            && self.workers.get(keeper.worker).is_some_and(|w| w.incarnation == keeper.incarnation)
        {
            self.ack(keeper.worker, key, keeper.linger);
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
            Outcome::Evicted | Outcome::Failed if job.is_unwanted(key.task) => {
                job.finish(key.task, &Outcome::Cancelled);
                self.ledger.mark(key.job);
            }
            Outcome::Evicted | Outcome::Failed => self.requeue(key),
        }
        self.note_settled(key, pending.keeper, &outcome);
    }

    fn note_settled(&mut self, key: Key, keeper: Option<Keeper>, outcome: &Outcome) {
        let job = self.jobs[key.job].name.clone();
        let subject: id::Instance = keeper
            .and_then(|keeper| self.workers.get(keeper.worker))
            .map_or_else(|| job.clone(), |worker| worker.name.clone());
        let run = Run { job, task: key.task, attempt: key.attempt };
        let (number, reason) = match outcome {
            Outcome::Done => (Number::TaskDone, "it completed"),
            Outcome::Cancelled => (Number::TaskCancelled, "its run has ended"),
            Outcome::Park(reason) => (Number::TaskParked, reason.as_str()),
            Outcome::Evicted => (Number::TaskEvicted, "it waits to run again"),
            Outcome::Failed => (Number::TaskQueued, "it failed and waits to run again"),
        };
        self.note_run(number, &subject, run, reason);
    }
}
