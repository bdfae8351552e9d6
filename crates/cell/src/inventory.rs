//! Applying the inventory in a worker's report: which runs it has and which have ended.

use std::collections::HashSet;

use cowslipchute_base::event::Event as Number;
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
use crate::life::Life;
use crate::life::Running;
use crate::life::Starting;
use crate::usage::Speed;
use crate::worker::Hold;
use crate::worker::Later;
use crate::worker::WorkerId;

/// One attempt of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub(crate) job: JobId,
    pub(crate) task: TaskIndex,
    pub(crate) attempt: Attempt,
}

/// The relation of a reported run to its task.
enum Standing {
    /// The task's current run, which replaces the run recorded so far.
    Current,
    /// The task has ended or has a newer run; the run is ignored.
    Stale,
    /// An older run that is still active while the task is queued; it is stopped and the task waits
    /// for its end.
    Lingering,
}

impl Cell {
    /// Applies a report's inventory.
    pub(crate) fn take_inventory(&mut self, id: WorkerId, report: &Report) {
        let mut keys = HashSet::new();
        for held in &report.held {
            let job = self.job(&held.run.job);
            let key = Key { job, task: held.run.task, attempt: held.run.attempt };
            self.take_held(id, key, held);
            keys.insert(key);
        }
        if !report.whole {
            return;
        }
        let worker = &mut self.workers[id];
        let vanished: Vec<Hold> = worker
            .holds
            .extract_if(.., |hold| {
                let key = Key { job: hold.job, task: hold.task, attempt: hold.attempt };
                !matches!(hold.life, Life::Starting(_)) && !keys.contains(&key)
            })
            .collect();
        for hold in vanished {
            self.released(id, &hold);
            self.note_lost(id, &hold, "its worker no longer reports it");
            self.end_quietly(id, &hold);
        }
    }

    fn take_held(&mut self, id: WorkerId, key: Key, held: &Held) {
        match &held.phase {
            Phase::Running | Phase::Stopping => self.found_running(id, key, held),
            Phase::Forgotten => self.found_forgotten(id, key),
            phase => self.found_result(id, key, phase),
        }
    }

    fn found_running(&mut self, id: WorkerId, key: Key, held: &Held) {
        let stopping = held.phase == Phase::Stopping;
        if let Some(index) = self.workers[id].find(key.job, key.task, key.attempt) {
            return self.confirm(id, index, held);
        }
        let life = match self.standing(id, key) {
            Standing::Current => {
                self.claim(id, key);
                Life::Running(Running)
            }
            Standing::Lingering => {
                self.jobs[key.job].set(key.task, State::Placed(id));
                Life::Running(Running).stop()
            }
            Standing::Stale => Life::Running(Running).stop(),
        };
        let unwanted = self.jobs[key.job].is_unwanted(key.task);
        let life = if unwanted { life.stop() } else { life };
        let life = if stopping && !life.is_ending() { life.evict().unwrap_or(life) } else { life };
        let hold = Hold {
            job: key.job,
            task: key.task,
            attempt: key.attempt,
            amount: held.amount,
            life,
            since: self.now,
            ending: Time::ZERO,
            speed: Speed::default(),
            former: None,
            need: life.is_ending() && !stopping,
            flying: false,
            tries: 1,
            flying_start: false,
            linger: Time::ZERO,
        };
        let hold = Hold { life: throttled(hold.life, held.permille), ..hold };
        self.hold(id, hold);
    }

    fn confirm(&mut self, id: WorkerId, index: usize, held: &Held) {
        let worker = &mut self.workers[id];
        let hold = &mut worker.holds[index];
        let was_starting = matches!(hold.life, Life::Starting(_));
        hold.life = hold.life.confirm();
        let (job, before) = (hold.job, hold.amount);
        hold.amount = held.amount;
        if was_starting {
            hold.since = self.now;
        }
        let said = hold.need || hold.flying;
        if held.phase == Phase::Stopping && !hold.life.is_ending() {
            hold.life = hold.life.evict().unwrap_or(hold.life);
            hold.need = false;
        } else if held.phase == Phase::Running && !said {
            hold.need = hold.life.is_ending() || hold.life.permille() != held.permille;
        }
        if before != held.amount {
            self.resized(id, job, before, held.amount);
        }
        if was_starting {
            let name = self.workers[id].name.clone();
            self.note_run(
                Number::TaskRunning,
                &name,
                held.run.clone(),
                "the worker confirmed the run",
            );
        }
    }

    /// Classifies a reported run by the state of its task.
    fn standing(&mut self, id: WorkerId, key: Key) -> Standing {
        let job = &mut self.jobs[key.job];
        if job.is_fated(key.task) || key.attempt <= job.floor {
            return Standing::Stale;
        }
        let Some(task) = job.live.get(&key.task) else { return Standing::Current };
        match task.state {
            // The store may have this end already; a newer run doesn't revert it.
            State::Settling(Outcome::Done | Outcome::Cancelled) => Standing::Stale,
            State::Queued | State::Parked(_) if key.attempt < task.attempt => Standing::Lingering,
            State::Queued | State::Parked(_) => Standing::Current,
            State::Placed(worker) if worker == id && key.attempt == task.attempt => {
                Standing::Current
            }
            State::Placed(_) | State::Settling(_) if key.attempt <= task.attempt => Standing::Stale,
            State::Placed(_) | State::Settling(_) => Standing::Current,
        }
    }

    /// Makes a reported run the task's current one; a run on another worker is older and is
    /// stopped.
    fn claim(&mut self, id: WorkerId, key: Key) {
        let job = &mut self.jobs[key.job];
        job.highest = job.highest.max(key.attempt);
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
        if worker.holds[index].linger > self.now {
            // An exchange that was given up as lost may still start the run; the allocation is kept
            // so that the run is stopped then.
            worker.holds[index].need = true;
            worker.hush = self.now + self.policy.heartbeat;
            return;
        }
        let hold = self.workers[id].holds.swap_remove(index);
        self.released(id, &hold);
        self.end_quietly(id, &hold);
    }

    fn found_result(&mut self, id: WorkerId, key: Key, phase: &Phase) {
        let hold = match self.workers[id].find(key.job, key.task, key.attempt) {
            Some(index) => {
                let hold = self.workers[id].holds.swap_remove(index);
                self.released(id, &hold);
                Some(hold)
            }
            None => None,
        };
        if self.is_kept(id, key) {
            return;
        }
        if let (Phase::Evicted { .. }, Some(hold)) = (phase, &hold)
            && hold.ending > Time::ZERO
        {
            self.learn_checkpoint(hold.ending);
        }
        let linger = hold.as_ref().map_or(Time::ZERO, |hold| hold.linger);
        match self.standing(id, key) {
            Standing::Current => {
                self.claim(id, key);
                self.end_run(id, key, phase, linger);
            }
            Standing::Stale | Standing::Lingering => {
                self.ack(id, key, linger);
                if let Some(hold) = hold {
                    self.end_quietly(id, &hold);
                }
            }
        }
    }

    /// Returns `true` if a result is already being written to the store.
    fn is_kept(&self, id: WorkerId, key: Key) -> bool {
        let job = &self.jobs[key.job];
        let Some(task) = job.live.get(&key.task) else { return false };
        matches!(task.state, State::Settling(_))
            && task.attempt == key.attempt
            && self.ledger.keeps(job, id, key)
    }

    /// Acknowledges a result, so that the worker drops it, in the first exchange at or after
    /// `from`.
    pub(crate) fn ack(&mut self, id: WorkerId, key: Key, from: Time) {
        let job = self.jobs[key.job].name.clone();
        let run = Run { job, task: key.task, attempt: key.attempt };
        let worker = &mut self.workers[id];
        if from <= self.now {
            worker.acks.push(run);
        } else if !worker.later.iter().any(|later| later.run == run) {
            worker.later.push(Later { run, from });
        }
    }

    /// Drops all allocations of a worker whose runs are certain to have ended.
    pub(crate) fn lose_runs(&mut self, id: WorkerId, reason: &str) {
        let holds = std::mem::take(&mut self.workers[id].holds);
        for hold in &holds {
            self.released(id, hold);
            self.note_lost(id, hold, reason);
            self.end_quietly(id, hold);
        }
    }

    fn note_lost(&mut self, id: WorkerId, hold: &Hold, reason: &str) {
        let name = self.workers[id].name.clone();
        let run = self.run(hold);
        self.note_run(Number::TaskLost, &name, run, reason);
    }

    /// Creates the allocation of a run whose start was not sent yet.
    pub(crate) fn starting(&self, key: Key, amount: cowslipchute_base::amount::Amount) -> Hold {
        Hold {
            job: key.job,
            task: key.task,
            attempt: key.attempt,
            amount,
            life: Life::Starting(Starting),
            since: self.now,
            ending: Time::ZERO,
            speed: Speed::default(),
            former: None,
            need: true,
            flying: false,
            tries: 0,
            flying_start: false,
            linger: Time::ZERO,
        }
    }
}

/// Applies a reported throttle, which a former owner may have set, to the run's lifecycle.
fn throttled(life: Life, permille: u16) -> Life {
    if life.is_ending() { life } else { life.throttle(permille).unwrap_or(life) }
}
