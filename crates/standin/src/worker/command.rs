//! Execution of commands and acknowledgements by a worker.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Checkpoint;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Run;

use crate::worker::ledger::Ledger;
use crate::worker::ledger::Task;
use crate::worker::ledger::Violation;
use crate::worker::progress::Progress;
use crate::worker::slot::Ending;
use crate::worker::slot::Planned;
use crate::worker::slot::Slot;
use crate::worker::state::Environment;
use crate::worker::state::Worker;

/// A request to start a run.
struct Request<'a> {
    run: &'a Run,
    amount: Amount,
    checkpoint: Option<&'a Checkpoint>,
    duration: Duration,
}

impl Worker {
    /// Executes one command. `granted` is `true` if the grant of the same exchange is still valid:
    /// only then does the sender assume that a run started by it may be active.
    pub(super) fn execute(
        &mut self,
        command: &Command,
        granted: bool,
        environment: &mut Environment<'_>,
    ) {
        match command {
            Command::Start { run, amount, checkpoint, duration } => {
                let (checkpoint, duration) = (checkpoint.as_ref(), *duration);
                let request = Request { run, amount: *amount, checkpoint, duration };
                if self.admit(&request, granted, environment.ledger) {
                    self.start(&request, environment);
                }
            }
            Command::Stop { run } => self.stop(run),
            Command::Evict { run } => self.evict(run),
            Command::Throttle { run, permille } => self.throttle(run, *permille),
        }
    }

    /// Returns `true` if a run is to be started. Otherwise, the inventory holds the reason.
    fn admit(&mut self, request: &Request<'_>, granted: bool, ledger: &mut Ledger) -> bool {
        let run = request.run;
        if self.slots.contains_key(run) {
            return false;
        }
        if self.fences.get(&Task::of(run)).is_some_and(|fence| run.attempt <= *fence) {
            self.journal.record_forgotten(run);
            return false;
        }
        if !granted {
            self.store_result(run, Phase::Stopped);
            return false;
        }
        let taken = self.reserved().plus(request.amount);
        if !taken.fits_within(self.capacity) {
            let reason = String::from("the worker has no room for it");
            self.store_result(run, Phase::Failed { reason });
            let (run, instance) = (run.clone(), self.instance.clone());
            let capacity = self.capacity;
            ledger.record_violation(Violation::Overcommitted { run, instance, taken, capacity });
            return false;
        }
        true
    }

    fn start(&mut self, request: &Request<'_>, environment: &mut Environment<'_>) {
        let run = request.run;
        let resumed = environment.ledger.resume_progress(run, request.checkpoint);
        environment.ledger.start(&self.instance, run);
        let total = environment.behavior.duration(run, request.duration);
        let fails = self.health.failing || environment.behavior.failing.contains(&run.job);
        let reason = String::from("it exited with an error");
        let at = self.now + self.timing.fail;
        let planned = fails.then_some(Planned { at, ending: Ending::Fail(reason) });
        let progress = Progress::start(self.now, resumed, total);
        let amount = request.amount;
        let slot = Slot { amount, phase: Phase::Running, permille: 1000, progress, planned };
        self.slots.insert(run.clone(), slot);
        self.journal.record_change(run);
    }

    /// Stores the result of a run that was never started.
    fn store_result(&mut self, run: &Run, phase: Phase) {
        let progress = Progress::start(self.now, Duration::ZERO, Duration::ZERO);
        let slot = Slot { amount: Amount::ZERO, phase, permille: 1000, progress, planned: None };
        self.slots.insert(run.clone(), slot);
        self.journal.record_change(run);
    }

    fn stop(&mut self, run: &Run) {
        let at = self.now + self.timing.stop;
        match self.slots.get_mut(run) {
            None => self.fence(run),
            Some(slot) if slot.is_live() && !slot.is_stopping() => {
                slot.phase = Phase::Stopping;
                slot.planned = Some(Planned { at, ending: Ending::Stop });
                self.journal.record_change(run);
            }
            Some(_) => {}
        }
    }

    fn evict(&mut self, run: &Run) {
        let at = self.now + self.timing.checkpoint;
        match self.slots.get_mut(run) {
            None => self.fence(run),
            Some(slot) if slot.phase == Phase::Running => {
                slot.phase = Phase::Stopping;
                slot.progress.set_speed(self.now, 0);
                slot.planned = Some(Planned { at, ending: Ending::Evict });
                self.journal.record_change(run);
            }
            Some(_) => {}
        }
    }

    fn throttle(&mut self, run: &Run, permille: u16) {
        let Some(slot) = self.slots.get_mut(run) else { return };
        if slot.phase == Phase::Running && slot.permille != permille {
            slot.permille = permille.min(1000);
            self.journal.record_change(run);
        }
    }

    fn fence(&mut self, run: &Run) {
        let fence = self.fences.entry(Task::of(run)).or_insert(run.attempt);
        *fence = run.attempt.max(*fence);
        self.journal.record_forgotten(run);
    }

    pub(super) fn acknowledge(&mut self, run: &Run, ledger: &mut Ledger) {
        let Some(slot) = self.slots.get(run) else { return };
        if slot.is_live() {
            return;
        }
        if slot.phase == Phase::Done {
            ledger.acknowledge(run);
        }
        self.slots.remove(run);
        self.fence(run);
    }
}
