//! Exchanges with workers: their contents, timing and retries.
//!
//! Commands are not queued: each allocation records whether a command about it has to be sent, and
//! an exchange carries all such commands. After a lost answer the same commands are sent again,
//! which is safe because every command is idempotent.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
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
use crate::stage::Stage;
use crate::worker::Allocation;
use crate::worker::Fence;
use crate::worker::Flight;
use crate::worker::Health;
use crate::worker::WorkerId;

/// Backoff after the first failed exchange; doubled for each further one up to a heartbeat.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Consecutive failed exchanges after which a worker is reported as suspect.
const SUSPECT_FAILURES: u32 = 2;

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
            self.check_expiry(id);
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
            let is_due = worker.next_exchange <= self.now || worker.has_commands();
            if worker.flight.is_none() && worker.backoff_until <= self.now && is_due {
                self.send(id, epoch);
            }
            self.update_timer(id);
        }
        self.touched = touched;
    }

    fn update_timer(&mut self, id: WorkerId) {
        let expiry = self.expiry_due(id);
        let worker = &mut self.workers[id];
        let next_send = if worker.has_commands() {
            worker.backoff_until
        } else {
            worker.next_exchange.max(worker.backoff_until)
        };
        let send = worker.flight.is_none().then_some(next_send);
        let probe = worker.history.probe_due().filter(|&due| due > self.now);
        let time = [expiry, send, probe].into_iter().flatten().min();
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
    fn expiry_due(&self, id: WorkerId) -> Option<Time> {
        let worker = &self.workers[id];
        match worker.fence {
            Fence::Unfenced => self.former_expiry(),
            Fence::Fenced => Some(worker.lease_expiry),
            Fence::Expired => None,
        }
    }

    /// Drops the runs of a worker that can't be reached and whose leases have all expired.
    fn check_expiry(&mut self, id: WorkerId) {
        let Some(expiry) = self.expiry_due(id) else { return };
        if expiry > self.now {
            return;
        }
        self.lose_runs(id, "its worker can't be reached and its lease has lapsed");
        let worker = &mut self.workers[id];
        worker.fence = Fence::Expired;
        worker.health = Health::Suspect;
        worker.version = 0;
        worker.reading = None;
        let name = worker.name.clone();
        self.fencing_changed = true;
        self.update_free_capacity(id);
        self.note(LogEvent::WorkerSuspect, &name, "every lease that it may hold has lapsed");
    }

    fn send(&mut self, id: WorkerId, epoch: id::Epoch) {
        self.sequence += 1;
        let valid = self.grantable_lease();
        let commands = self.commands(id);
        let worker = &mut self.workers[id];
        let reading = worker.reading.filter(|_| !valid.is_zero());
        let grant = reading.map(|reading| Grant { stamp: reading.stamp, valid });
        if let Some(reading) = reading {
            worker.lease_expiry = worker.lease_expiry.max(lease::expiry(reading.received, valid));
        }
        let now = self.now;
        let due = worker.deferred_acks.extract_if(.., |ack| ack.from <= now);
        worker.acks.extend(due.map(|ack| ack.run));
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
        let heartbeat_max = if valid.is_zero() { self.policy.lease } else { valid } / 3;
        worker.next_exchange = self.now + self.policy.heartbeat.min(heartbeat_max);
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
        for allocation in
            worker.allocations.iter_mut().filter(|allocation| allocation.command_pending)
        {
            allocation.command_pending = false;
            allocation.command_in_flight = true;
            allocation.start_in_flight = matches!(allocation.stage, Stage::Starting(_));
            allocation.sends += 1;
            commands.push(command(&self.jobs, allocation));
        }
        commands
    }

    /// Handles an exchange that returned no report.
    pub(crate) fn handle_failed_exchange(
        &mut self,
        sequence: Sequence,
        name: &id::Instance,
        maybe_received: bool,
    ) {
        let Some((id, flight)) = self.finish_exchange(sequence, name) else { return };
        if flight.stale {
            return;
        }
        self.workers[id].acks.extend(flight.acks);
        self.resend_failed(id, maybe_received);
        let worker = &mut self.workers[id];
        worker.failed_exchanges += 1;
        let backoff = RETRY_DELAY * 2u32.saturating_pow(worker.failed_exchanges.min(10) - 1);
        worker.backoff_until = self.now + backoff.min(self.policy.heartbeat);
        worker.next_exchange = worker.backoff_until;
        self.update_free_capacity(id);
        let worker = &mut self.workers[id];
        if worker.failed_exchanges == SUSPECT_FAILURES && worker.fence == Fence::Fenced {
            worker.health = Health::Suspect;
            self.note(
                LogEvent::WorkerSuspect,
                name,
                "it does not answer; its tasks are maybe running",
            );
        }
    }

    /// Ends an exchange and returns its worker, or `None` if that is no longer listed.
    pub(crate) fn finish_exchange(
        &mut self,
        sequence: Sequence,
        name: &id::Instance,
    ) -> Option<(WorkerId, Flight)> {
        let Some(&id) = self.worker_names.get(name) else {
            self.unlisted_exchanges.remove(name);
            return None;
        };
        let worker = &mut self.workers[id];
        let flight = worker.flight.take_if(|flight| flight.sequence == sequence)?;
        self.touch(id);
        Some((id, flight))
    }

    /// Marks the commands of a failed exchange to be sent again; a start that certainly never
    /// arrived is cancelled.
    fn resend_failed(&mut self, id: WorkerId, maybe_received: bool) {
        let worker = &mut self.workers[id];
        // The worker ignores a start that arrives after the lease granted with it has expired.
        let lease_expiry = worker.lease_expiry;
        for allocation in
            worker.allocations.iter_mut().filter(|allocation| allocation.command_in_flight)
        {
            allocation.command_in_flight = false;
            allocation.command_pending = true;
            let was_start = std::mem::take(&mut allocation.start_in_flight);
            if !maybe_received {
                allocation.sends -= 1;
            } else if was_start {
                allocation.late_start_until = lease_expiry;
            }
        }
        let unsent: Vec<Allocation> =
            worker.allocations.extract_if(.., |allocation| allocation.is_unsent()).collect();
        for allocation in unsent {
            self.release_allocation(id, &allocation);
            self.end_without_result(id, &allocation);
        }
    }

    /// Stops a task's run on a worker, or drops its allocation if the start was never sent.
    pub(crate) fn stop_task(&mut self, id: WorkerId, job: JobId, task: id::TaskIndex) {
        let worker = &mut self.workers[id];
        let mut unsent = None;
        for (index, allocation) in worker.allocations.iter_mut().enumerate() {
            if allocation.job != job
                || allocation.task != task
                || matches!(allocation.stage, Stage::Stopping(_))
            {
                continue;
            }
            if allocation.is_unsent() {
                unsent = Some(index);
                continue;
            }
            allocation.stage = allocation.stage.stop();
            allocation.command_pending = true;
        }
        if let Some(index) = unsent {
            let allocation = self.workers[id].allocations.swap_remove(index);
            self.release_allocation(id, &allocation);
            self.end_without_result(id, &allocation);
        }
        self.touch(id);
    }

    /// Returns the run of an allocation.
    pub(crate) fn run(&self, allocation: &Allocation) -> Run {
        let job = self.jobs[allocation.job].name.clone();
        Run { job, task: allocation.task, attempt: allocation.attempt }
    }
}

/// Builds the command that brings a run to its allocation's stage.
fn command(
    jobs: &cowslipchute_base::entity::Table<crate::job::Job>,
    allocation: &Allocation,
) -> Command {
    let job = &jobs[allocation.job];
    let run = Run { job: job.name.clone(), task: allocation.task, attempt: allocation.attempt };
    match allocation.stage {
        Stage::Starting(_) => Command::Start {
            run,
            amount: allocation.amount,
            checkpoint: job.live.get(&allocation.task).and_then(|task| task.checkpoint.clone()),
            duration: job.spec.as_ref().map_or(Duration::ZERO, |spec| spec.duration),
        },
        Stage::Running(_) | Stage::Throttled(_) => {
            Command::Throttle { run, permille: allocation.stage.permille() }
        }
        Stage::Evicting(_) => Command::Evict { run },
        Stage::Stopping(_) => Command::Stop { run },
    }
}
