//! Applying the inventory in a worker's report: which runs it has and which have ended.

use std::collections::HashSet;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Held;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;

use crate::cell::Cell;
use crate::job::JobId;
use crate::job::Outcome;
use crate::job::State;
use crate::measurement::Measurement;
use crate::stage::Running;
use crate::stage::Stage;
use crate::stage::Starting;
use crate::worker::Ack;
use crate::worker::Allocation;
use crate::worker::WorkerId;

/// One attempt of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub(crate) job: JobId,
    pub(crate) task: TaskIndex,
    pub(crate) attempt: Attempt,
}

/// The relation of a reported run to its task.
enum Relation {
    /// The task's current run, which replaces the run recorded so far.
    Current,
    /// The task has ended or has a newer run; the run doesn't count and is stopped if it is active.
    Stale,
    /// An older run that is still active while the task is queued; it is stopped and the task waits
    /// for its end.
    Lingering,
}

impl Cell {
    /// Applies a report's inventory.
    pub(crate) fn apply_inventory(&mut self, id: WorkerId, report: &Report) {
        let mut keys = HashSet::new();
        for held in &report.held {
            let job = self.job_or_insert(&held.run.job);
            let key = Key { job, task: held.run.task, attempt: held.run.attempt };
            self.apply_held(id, key, held);
            keys.insert(key);
        }
        if !report.whole {
            return;
        }
        let worker = &mut self.workers[id];
        let missing: Vec<Allocation> = worker
            .allocations
            .extract_if(.., |allocation| {
                let key =
                    Key { job: allocation.job, task: allocation.task, attempt: allocation.attempt };
                !matches!(allocation.stage, Stage::Starting(_)) && !keys.contains(&key)
            })
            .collect();
        for allocation in missing {
            self.release_allocation(id, &allocation);
            self.note_lost(id, &allocation, "its worker no longer holds it");
            self.end_without_result(id, &allocation);
        }
    }

    fn apply_held(&mut self, id: WorkerId, key: Key, held: &Held) {
        match &held.phase {
            Phase::Running | Phase::Stopping => self.found_running(id, key, held),
            Phase::Forgotten => self.found_forgotten(id, key),
            phase => self.found_result(id, key, phase),
        }
    }

    fn found_running(&mut self, id: WorkerId, key: Key, held: &Held) {
        let is_stopping = held.phase == Phase::Stopping;
        if let Some(index) = self.workers[id].find(key.job, key.task, key.attempt) {
            return self.confirm(id, index, held);
        }
        let stage = match self.relation(id, key) {
            Relation::Current => {
                self.adopt(id, key);
                Stage::Running(Running)
            }
            Relation::Lingering => {
                self.jobs[key.job].set(key.task, State::Placed(id));
                Stage::Running(Running).stop()
            }
            Relation::Stale => Stage::Running(Running).stop(),
        };
        let should_stop = self.jobs[key.job].should_stop(key.task);
        let stage = if should_stop { stage.stop() } else { stage };
        let stage =
            if is_stopping && !stage.is_ending() { stage.evict().unwrap_or(stage) } else { stage };
        let allocation = Allocation {
            job: key.job,
            task: key.task,
            attempt: key.attempt,
            amount: held.amount,
            stage,
            since: self.now,
            evicted_at: Time::ZERO,
            measurement: Measurement::default(),
            previous_throttle: None,
            command_pending: stage.is_ending() && !is_stopping,
            command_in_flight: false,
            sends: 1,
            start_in_flight: false,
            late_start_until: Time::ZERO,
        };
        let allocation =
            Allocation { stage: with_throttle(allocation.stage, held.permille), ..allocation };
        self.add_allocation(id, allocation);
    }

    fn confirm(&mut self, id: WorkerId, index: usize, held: &Held) {
        let worker = &mut self.workers[id];
        let allocation = &mut worker.allocations[index];
        let was_starting = matches!(allocation.stage, Stage::Starting(_));
        allocation.stage = allocation.stage.confirm();
        let (job, before) = (allocation.job, allocation.amount);
        allocation.amount = held.amount;
        if was_starting {
            allocation.since = self.now;
        }
        let is_command_pending = allocation.command_pending || allocation.command_in_flight;
        if held.phase == Phase::Stopping && !allocation.stage.is_ending() {
            allocation.stage = allocation.stage.evict().unwrap_or(allocation.stage);
            allocation.command_pending = false;
        } else if held.phase == Phase::Running && !is_command_pending {
            allocation.command_pending =
                allocation.stage.is_ending() || allocation.stage.permille() != held.permille;
        }
        if before != held.amount {
            self.resize_allocation(id, job, before, held.amount);
        }
        if was_starting {
            let name = self.workers[id].name.clone();
            self.note_run(LogEvent::TaskRunning, &name, held.run.clone(), "the worker runs it");
        }
    }

    /// Classifies a reported run by the state of its task.
    fn relation(&mut self, id: WorkerId, key: Key) -> Relation {
        let job = &mut self.jobs[key.job];
        if job.has_ended(key.task) || key.attempt <= job.floor {
            return Relation::Stale;
        }
        let Some(task) = job.live.get(&key.task) else { return Relation::Current };
        match task.state {
            // The store may have this end already; a newer run doesn't revert it.
            State::Settling(Outcome::Done | Outcome::Cancelled) => Relation::Stale,
            State::Queued | State::Parked(_) if key.attempt < task.attempt => Relation::Lingering,
            State::Queued | State::Parked(_) => Relation::Current,
            State::Placed(worker) if worker == id && key.attempt == task.attempt => {
                Relation::Current
            }
            State::Placed(_) | State::Settling(_) if key.attempt <= task.attempt => Relation::Stale,
            State::Placed(_) | State::Settling(_) => Relation::Current,
        }
    }

    /// Makes a reported run the task's current one; a run on another worker is older and is
    /// stopped.
    fn adopt(&mut self, id: WorkerId, key: Key) {
        let job = &mut self.jobs[key.job];
        job.highest_attempt = job.highest_attempt.max(key.attempt);
        let task = job.entry(key.task);
        task.attempt = key.attempt;
        let before = std::mem::replace(&mut task.state, State::Placed(id));
        job.set(key.task, State::Placed(id));
        if let State::Placed(other) = before
            && other != id
        {
            self.stop_task(other, key.job, key.task);
        }
    }

    fn found_forgotten(&mut self, id: WorkerId, key: Key) {
        let Some(index) = self.workers[id].find(key.job, key.task, key.attempt) else { return };
        let worker = &mut self.workers[id];
        if worker.allocations[index].late_start_until > self.now {
            // An exchange that was given up as lost may still start the run; the allocation is kept
            // so that the run is stopped then.
            worker.allocations[index].command_pending = true;
            worker.backoff_until = self.now + self.policy.heartbeat;
            return;
        }
        let allocation = self.workers[id].allocations.swap_remove(index);
        self.release_allocation(id, &allocation);
        self.end_without_result(id, &allocation);
    }

    fn found_result(&mut self, id: WorkerId, key: Key, phase: &Phase) {
        let allocation = match self.workers[id].find(key.job, key.task, key.attempt) {
            Some(index) => {
                let allocation = self.workers[id].allocations.swap_remove(index);
                self.release_allocation(id, &allocation);
                Some(allocation)
            }
            None => None,
        };
        if self.is_result_pending(id, key) {
            return;
        }
        if let (Phase::Evicted { .. }, Some(allocation)) = (phase, &allocation)
            && allocation.evicted_at > Time::ZERO
        {
            self.record_checkpoint_time(allocation.evicted_at);
        }
        let ack_from =
            allocation.as_ref().map_or(Time::ZERO, |allocation| allocation.late_start_until);
        match self.relation(id, key) {
            Relation::Current => {
                self.adopt(id, key);
                self.end_run(id, key, phase, ack_from);
            }
            Relation::Stale | Relation::Lingering => {
                self.ack(id, key, ack_from);
                if let Some(allocation) = allocation {
                    self.end_without_result(id, &allocation);
                }
            }
        }
    }

    /// Returns `true` if a result is already being written to the store.
    fn is_result_pending(&self, id: WorkerId, key: Key) -> bool {
        let job = &self.jobs[key.job];
        let Some(task) = job.live.get(&key.task) else { return false };
        matches!(task.state, State::Settling(_))
            && task.attempt == key.attempt
            && self.writer.has_result(job, id, key)
    }

    /// Acknowledges a result, so that the worker drops it, in the first exchange at or after
    /// `from`.
    pub(crate) fn ack(&mut self, id: WorkerId, key: Key, from: Time) {
        let job = self.jobs[key.job].name.clone();
        let run = Run { job, task: key.task, attempt: key.attempt };
        let worker = &mut self.workers[id];
        if from <= self.now {
            worker.acks.push(run);
        } else if !worker.deferred_acks.iter().any(|ack| ack.run == run) {
            worker.deferred_acks.push(Ack { run, from });
        }
    }

    /// Drops all allocations of a worker whose runs are certain to have ended.
    pub(crate) fn lose_runs(&mut self, id: WorkerId, reason: &str) {
        let allocations = std::mem::take(&mut self.workers[id].allocations);
        for allocation in &allocations {
            self.release_allocation(id, allocation);
            self.note_lost(id, allocation, reason);
            self.end_without_result(id, allocation);
        }
    }

    fn note_lost(&mut self, id: WorkerId, allocation: &Allocation, reason: &str) {
        let name = self.workers[id].name.clone();
        let run = self.run(allocation);
        self.note_run(LogEvent::TaskLost, &name, run, reason);
    }

    /// Creates the allocation of a run whose start was not sent yet.
    pub(crate) fn new_allocation(
        &self,
        key: Key,
        amount: cowslipchute_base::amount::Amount,
    ) -> Allocation {
        Allocation {
            job: key.job,
            task: key.task,
            attempt: key.attempt,
            amount,
            stage: Stage::Starting(Starting),
            since: self.now,
            evicted_at: Time::ZERO,
            measurement: Measurement::default(),
            previous_throttle: None,
            command_pending: true,
            command_in_flight: false,
            sends: 0,
            start_in_flight: false,
            late_start_until: Time::ZERO,
        }
    }
}

/// Applies a reported throttle, which a previous owner may have set, to a run's stage.
fn with_throttle(stage: Stage, permille: u16) -> Stage {
    if stage.is_ending() { stage } else { stage.throttle(permille).unwrap_or(stage) }
}
