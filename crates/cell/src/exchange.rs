//! Exchanges with workers: their contents, timing and retries.
//!
//! Commands are not queued: each allocation records whether a command about it has to be sent, and
//! an exchange carries all such commands. After a lost answer the same commands are sent again,
//! which is safe because every command is idempotent.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Grant;
use cowslipchute_ports::worker::Run;

use crate::action::Action;
use crate::cell::Cell;
use crate::event::Sequence;
use crate::job::JobId;
use crate::lease;
use crate::life::Life;
use crate::worker::Fence;
use crate::worker::Flight;
use crate::worker::Health;
use crate::worker::Hold;
use crate::worker::WorkerId;

/// Backoff after the first failed exchange; doubled for each further one up to a heartbeat.
pub(crate) const RETRY: Duration = Duration::from_millis(100);
/// Consecutive failed exchanges after which a worker is reported as suspect.
const SUSPECT_MISSES: u32 = 2;

impl Cell {
    /// Marks a worker to be processed by [`Cell::flush`] before the step ends.
    pub(crate) fn touch(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !std::mem::replace(&mut worker.touched, true) {
            self.touched.push(id);
        }
    }

    /// Processes the workers whose timers are due.
    pub(crate) fn run_timers(&mut self) {
        while let Some(&(time, id)) = self.timers.first() {
            if time > self.now {
                return;
            }
            self.timers.pop_first();
            self.workers[id].timer = None;
            self.check_lapse(id);
            self.check_quarantine(id);
            self.touch(id);
        }
    }

    /// Sends due exchanges to the touched workers and updates their timers.
    pub(crate) fn flush(&mut self) {
        let owned = self.ownership.epoch();
        let mut touched = std::mem::take(&mut self.touched);
        for id in touched.drain(..) {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            worker.touched = false;
            let Some(epoch) = owned else { continue };
            let is_due = worker.due <= self.now || worker.has_need();
            if worker.flight.is_none() && worker.hush <= self.now && is_due {
                self.send(id, epoch);
            }
            self.retime(id);
        }
        self.touched = touched;
    }

    fn retime(&mut self, id: WorkerId) {
        let lapse = self.lapse_due(id);
        let worker = &mut self.workers[id];
        let said = if worker.has_need() { worker.hush } else { worker.due.max(worker.hush) };
        let send = worker.flight.is_none().then_some(said);
        let probe = worker.blame.probe_due().filter(|&due| due > self.now);
        let time = [lapse, send, probe].into_iter().flatten().min();
        if worker.timer == time {
            return;
        }
        if let Some(old) = std::mem::replace(&mut worker.timer, time) {
            self.timers.remove(&(old, id));
        }
        if let Some(time) = time {
            self.timers.insert((time, id));
        }
    }

    /// Returns the time by which all runs of a worker have ended unless its lease is renewed.
    fn lapse_due(&self, id: WorkerId) -> Option<Time> {
        let worker = &self.workers[id];
        match worker.fence {
            Fence::Unfenced => self.former_lapse(),
            Fence::Fenced => Some(worker.lapse),
            Fence::Lapsed => None,
        }
    }

    /// Drops the runs of a worker that can't be reached and whose leases have all expired.
    fn check_lapse(&mut self, id: WorkerId) {
        let Some(lapse) = self.lapse_due(id) else { return };
        if lapse > self.now {
            return;
        }
        self.lose_runs(id, "its worker can't be reached and its lease has lapsed");
        let worker = &mut self.workers[id];
        worker.fence = Fence::Lapsed;
        worker.health = Health::Suspect;
        worker.version = 0;
        worker.reading = None;
        let name = worker.name.clone();
        self.fencing_changed = true;
        self.refresh(id);
        self.note(Number::WorkerSuspect, &name, "every lease that it may hold has lapsed");
    }

    fn send(&mut self, id: WorkerId, epoch: id::Epoch) {
        self.sequence += 1;
        let valid = self.lease();
        let commands = self.commands(id);
        let worker = &mut self.workers[id];
        let reading = worker.reading.filter(|_| !valid.is_zero());
        let grant = reading.map(|reading| Grant { stamp: reading.stamp, valid });
        if let Some(reading) = reading {
            worker.lapse = worker.lapse.max(lease::lapse(reading.received, valid));
        }
        let now = self.now;
        let due = worker.later.extract_if(.., |later| later.from <= now);
        worker.acks.extend(due.map(|later| later.run));
        let acks = std::mem::take(&mut worker.acks);
        let exchange = worker::Exchange {
            cell: self.settings.cell.clone(),
            epoch,
            incarnation: worker.incarnation,
            grant,
            commands,
            acks: acks.clone(),
            known: worker.version,
        };
        let sequence = self.sequence;
        worker.flight = Some(Flight { sequence, acks, stale: false });
        // The policy's lease may not be granted yet, and its heartbeat may be too slow for the
        // shorter one.
        let within = if valid.is_zero() { self.policy.lease } else { valid } / 3;
        worker.due = self.now + self.policy.heartbeat.min(within);
        self.actions.push(Action::Exchange {
            sequence,
            worker: worker.name.clone(),
            address: worker.address,
            exchange,
        });
    }

    fn commands(&mut self, id: WorkerId) -> Vec<Command> {
        let worker = &mut self.workers[id];
        let mut commands = Vec::new();
        for hold in worker.holds.iter_mut().filter(|hold| hold.need) {
            hold.need = false;
            hold.flying = true;
            hold.flying_start = matches!(hold.life, Life::Starting(_));
            hold.tries += 1;
            commands.push(command(&self.jobs, hold));
        }
        commands
    }

    /// Handles an exchange that returned no report.
    pub(crate) fn miss(&mut self, sequence: Sequence, name: &id::Instance, unknown: bool) {
        let Some((id, flight)) = self.land_flight(sequence, name) else { return };
        if flight.stale {
            return;
        }
        self.workers[id].acks.extend(flight.acks);
        self.retry(id, unknown);
        let worker = &mut self.workers[id];
        worker.misses += 1;
        let backoff = RETRY * 2u32.saturating_pow(worker.misses.min(10) - 1);
        worker.hush = self.now + backoff.min(self.policy.heartbeat);
        worker.due = worker.hush;
        self.refresh(id);
        let worker = &mut self.workers[id];
        if worker.misses == SUSPECT_MISSES && worker.fence == Fence::Fenced {
            worker.health = Health::Suspect;
            self.note(
                Number::WorkerSuspect,
                name,
                "it does not answer; its tasks are maybe running",
            );
        }
    }

    /// Ends an exchange and returns its worker, or `None` if that is no longer listed.
    pub(crate) fn land_flight(
        &mut self,
        sequence: Sequence,
        name: &id::Instance,
    ) -> Option<(WorkerId, Flight)> {
        let Some(&id) = self.worker_names.get(name) else {
            self.orphans.remove(name);
            return None;
        };
        let worker = &mut self.workers[id];
        let flight = worker.flight.take_if(|flight| flight.sequence == sequence)?;
        self.touch(id);
        Some((id, flight))
    }

    /// Marks the commands of a failed exchange to be sent again; a start that certainly never
    /// arrived is cancelled.
    fn retry(&mut self, id: WorkerId, unknown: bool) {
        let worker = &mut self.workers[id];
        // The worker ignores a start that arrives after the lease granted with it has expired.
        let lapse = worker.lapse;
        for hold in worker.holds.iter_mut().filter(|hold| hold.flying) {
            hold.flying = false;
            hold.need = true;
            let was_start = std::mem::take(&mut hold.flying_start);
            if !unknown {
                hold.tries -= 1;
            } else if was_start {
                hold.linger = lapse;
            }
        }
        let unsent: Vec<Hold> = worker.holds.extract_if(.., |hold| hold.is_unsent()).collect();
        for hold in unsent {
            self.released(id, &hold);
            self.end_quietly(id, &hold);
        }
    }

    /// Stops a task's run on a worker, or drops its allocation if the start was never sent.
    pub(crate) fn stop_task(&mut self, id: WorkerId, job: JobId, task: id::TaskIndex) {
        let worker = &mut self.workers[id];
        let mut unsent = None;
        for (index, hold) in worker.holds.iter_mut().enumerate() {
            if hold.job != job || hold.task != task || matches!(hold.life, Life::Stopping(_)) {
                continue;
            }
            if hold.is_unsent() {
                unsent = Some(index);
                continue;
            }
            hold.life = hold.life.stop();
            hold.need = true;
        }
        if let Some(index) = unsent {
            let hold = self.workers[id].holds.swap_remove(index);
            self.released(id, &hold);
            self.end_quietly(id, &hold);
        }
        self.touch(id);
    }

    /// Returns the run of an allocation.
    pub(crate) fn run(&self, hold: &Hold) -> Run {
        let job = self.jobs[hold.job].name.clone();
        Run { job, task: hold.task, attempt: hold.attempt }
    }
}

/// Builds the command for an allocation's intended lifecycle state.
fn command(jobs: &cowslipchute_base::entity::Table<crate::job::Job>, hold: &Hold) -> Command {
    let job = &jobs[hold.job];
    let run = Run { job: job.name.clone(), task: hold.task, attempt: hold.attempt };
    match hold.life {
        Life::Starting(_) => Command::Start {
            run,
            amount: hold.amount,
            checkpoint: job.live.get(&hold.task).and_then(|task| task.checkpoint.clone()),
            duration: job.spec.as_ref().map_or(Duration::ZERO, |spec| spec.duration),
        },
        Life::Running(_) | Life::Throttled(_) => {
            Command::Throttle { run, permille: hold.life.permille() }
        }
        Life::Evicting(_) => Command::Evict { run },
        Life::Stopping(_) => Command::Stop { run },
    }
}
