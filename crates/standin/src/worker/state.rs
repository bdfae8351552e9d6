//! One worker: its epochs, its lease and its runs. Does no I/O; the caller passes the time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Cell;
use cowslipchute_base::id::Checkpoint;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Grant;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;
use cowslipchute_ports::worker::Usage;

use crate::worker::behavior::Behavior;
use crate::worker::journal::Journal;
use crate::worker::ledger::End;
use crate::worker::ledger::Ledger;
use crate::worker::ledger::Task;
use crate::worker::ledger::millis;
use crate::worker::progress::FULL_PERMILLE;
use crate::worker::slot::Ending;
use crate::worker::slot::Slot;
use crate::worker::timing::Health;
use crate::worker::timing::Timing;

/// Measurements kept until their lag has passed and a report takes them.
const MAX_PENDING_MEASUREMENTS: usize = 4096;

/// The environment of a worker: the common record of all workers and the behavior of tasks.
#[derive(Debug)]
pub struct Environment<'a> {
    /// The record of all workers.
    pub ledger: &'a mut Ledger,
    /// The hidden behavior of tasks.
    pub behavior: &'a Behavior,
}

/// An event that is due. The order of variants is that of events due at the same time: a run that
/// completes at the moment of the lease expiry counts as completed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Run(Run),
    Measure,
    LeaseExpiry,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    pub(super) instance: Instance,
    pub(super) incarnation: Incarnation,
    pub(super) capacity: Amount,
    pub(super) timing: Timing,
    pub(super) health: Health,
    /// The time at which the worker's own clock started.
    pub(super) booted: Time,
    pub(super) now: Time,
    pub(super) epochs: BTreeMap<Cell, Epoch>,
    pub(super) lease: Option<Time>,
    pub(super) slots: BTreeMap<Run, Slot>,
    /// The highest attempt of each task that is forgotten here, or that was stopped before its
    /// start arrived. A delayed start of this attempt or an earlier one is refused.
    pub(super) fences: BTreeMap<Task, Attempt>,
    pub(super) journal: Journal,
    pub(super) measured: VecDeque<(Time, Usage)>,
    pub(super) next_measure: Time,
    pub(super) checkpoints: u64,
    /// The time of the earliest event.
    pub(super) due: Option<Time>,
}

impl Worker {
    /// Opens a worker that has just started.
    pub fn open(
        instance: Instance,
        incarnation: Incarnation,
        capacity: Amount,
        timing: Timing,
        now: Time,
    ) -> Worker {
        Worker {
            instance,
            incarnation,
            capacity,
            timing,
            health: Health::default(),
            booted: now,
            now,
            epochs: BTreeMap::new(),
            lease: None,
            slots: BTreeMap::new(),
            fences: BTreeMap::new(),
            journal: Journal::default(),
            measured: VecDeque::new(),
            next_measure: now + timing.measure,
            checkpoints: 0,
            due: None,
        }
    }

    /// Returns the worker's name.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Returns the worker's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the reading of the worker's own clock, in milliseconds.
    pub fn stamp(&self, now: Time) -> u64 {
        millis(now.saturating_sub(self.booted))
    }

    /// Returns the amount reserved for all live runs.
    pub fn reserved(&self) -> Amount {
        let live = self.slots.values().filter(|slot| slot.is_live());
        live.fold(Amount::ZERO, |sum, slot| sum.plus(slot.amount))
    }

    /// Sets the worker's faults.
    pub fn set_health(&mut self, now: Time, health: Health, environment: &mut Environment<'_>) {
        self.advance(now, environment);
        self.health = health;
        self.update_speeds(environment.behavior);
        self.update_due();
    }

    /// Ends this incarnation of the worker like a machine that is killed, and starts the next one.
    pub fn reboot(&mut self, now: Time, environment: &mut Environment<'_>) {
        self.advance(now, environment);
        for (run, slot) in &self.slots {
            if slot.is_live() {
                environment.ledger.end(&self.instance, run, End::Killed);
            }
        }
        let instance = self.instance.clone();
        *self = Worker::open(instance, self.incarnation + 1, self.capacity, self.timing, now);
    }

    /// Carries out all events that are due by now, in the order of their times.
    pub fn advance(&mut self, now: Time, environment: &mut Environment<'_>) {
        if self.due.is_none_or(|due| due > now) {
            self.now = self.now.max(now);
            return;
        }
        while let Some((at, due)) = self.next_due().filter(|(at, _)| *at <= now) {
            self.now = self.now.max(at);
            match due {
                Due::Run(run) => self.finish(&run, environment),
                Due::Measure => self.take_measurements(environment.behavior),
                Due::LeaseExpiry => self.expire_lease(environment),
            }
        }
        self.now = self.now.max(now);
        self.update_due();
    }

    fn next_due(&self) -> Option<(Time, Due)> {
        let live = self.slots.iter().filter(|(_, slot)| slot.is_live());
        let runs = live.filter_map(|(run, slot)| Some((slot.ends_at()?, Due::Run(run.clone()))));
        let expiry = self.lease.map(|lease| (lease, Due::LeaseExpiry));
        let running = self.slots.values().any(|slot| slot.phase == Phase::Running);
        let measure = running.then_some((self.next_measure, Due::Measure));
        runs.chain(expiry).chain(measure).min()
    }

    fn update_due(&mut self) {
        self.due = self.next_due().map(|(at, _)| at);
    }

    fn finish(&mut self, run: &Run, environment: &mut Environment<'_>) {
        let slot = self.slots.get_mut(run).expect("a due run is in the inventory");
        let ending = slot.planned.take().map(|planned| planned.ending);
        let (phase, end) = match ending {
            None => (Phase::Done, End::Done),
            Some(Ending::Stop) => (Phase::Stopped, End::Stopped),
            Some(Ending::Fail(reason)) => (Phase::Failed { reason }, End::Failed),
            Some(Ending::Evict) => {
                self.checkpoints += 1;
                let number = self.checkpoints;
                let handle = format!("{}.{}.{number}", self.instance, self.incarnation);
                let checkpoint = Checkpoint::from(handle);
                environment.ledger.record_checkpoint(
                    checkpoint.clone(),
                    run,
                    slot.progress.completed(self.now),
                );
                (Phase::Evicted { checkpoint: Some(checkpoint) }, End::Evicted)
            }
        };
        self.end(run, phase, end, environment);
        self.update_speeds(environment.behavior);
    }

    fn expire_lease(&mut self, environment: &mut Environment<'_>) {
        self.lease = None;
        let live = self.slots.iter().filter(|(_, slot)| slot.is_live());
        let runs: Vec<Run> = live.map(|(run, _)| run.clone()).collect();
        for run in runs {
            self.end(&run, Phase::Stopped, End::Expired, environment);
        }
    }

    fn end(&mut self, run: &Run, phase: Phase, end: End, environment: &mut Environment<'_>) {
        let slot = self.slots.get_mut(run).expect("an ending run is in the inventory");
        slot.phase = phase;
        slot.amount = Amount::ZERO;
        slot.planned = None;
        self.journal.record_change(run);
        environment.ledger.end(&self.instance, run, end);
    }

    fn take_measurements(&mut self, behavior: &Behavior) {
        let stamp = self.stamp(self.now);
        self.next_measure = self.now + self.timing.measure;
        for (run, slot) in &self.slots {
            if slot.phase != Phase::Running {
                continue;
            }
            let used = behavior.used(run, slot.amount);
            let cpu = u64::from(used.cpu_milli) * u64::from(slot.permille) / FULL_PERMILLE;
            let usage = Usage {
                run: run.clone(),
                amount: Amount { cpu_milli: cpu as u32, ..used },
                measured: stamp,
                slowdown_permille: self.slowdown(run, behavior) as u32,
            };
            self.measured.push_back((self.now, usage));
        }
        while self.measured.len() > MAX_PENDING_MEASUREMENTS {
            self.measured.pop_front();
        }
    }

    fn slowdown(&self, run: &Run, behavior: &Behavior) -> u64 {
        let running = self.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
        let others = running.map(|(other, slot)| {
            let cpu = u64::from(slot.amount.cpu_milli) * u64::from(slot.permille) / FULL_PERMILLE;
            (other, Amount { cpu_milli: cpu as u32, ..slot.amount })
        });
        let slowdown = behavior.slowdown(run, others, self.capacity);
        slowdown * u64::from(self.health.slow_permille) / FULL_PERMILLE
    }

    /// Sets the speed of each run according to its speed limit and its current slowdown.
    fn update_speeds(&mut self, behavior: &Behavior) {
        let running = self.slots.iter().filter(|(_, slot)| slot.phase == Phase::Running);
        let speeds: Vec<(Run, u64)> = running
            .map(|(run, slot)| {
                let slowdown = self.slowdown(run, behavior).max(1);
                (run.clone(), u64::from(slot.permille) * FULL_PERMILLE / slowdown)
            })
            .collect();
        for (run, speed) in speeds {
            let slot = self.slots.get_mut(&run).expect("the run is in the inventory");
            slot.progress.set_speed(self.now, speed);
        }
    }

    /// Carries out one exchange.
    pub fn exchange(
        &mut self,
        now: Time,
        exchange: &Exchange,
        environment: &mut Environment<'_>,
    ) -> Report {
        self.advance(now, environment);
        let highest = self.epochs.get(&exchange.cell).copied().unwrap_or(0);
        if exchange.incarnation != self.incarnation || exchange.epoch < highest {
            return self.rejection(exchange, highest);
        }
        self.epochs.insert(exchange.cell.clone(), exchange.epoch);
        let granted = exchange.grant.is_some_and(|grant| self.extend(grant));
        for command in &exchange.commands {
            self.execute(command, granted, environment);
        }
        for run in &exchange.acks {
            self.acknowledge(run, environment.ledger);
        }
        self.update_speeds(environment.behavior);
        self.update_due();
        // Runs that take no time have ended before the report.
        self.advance(now, environment);
        self.report(exchange)
    }

    /// Extends the lease and returns `true` if the grant is still valid. A stamp that this worker's
    /// clock has not reached can't be from one of its reports.
    fn extend(&mut self, grant: Grant) -> bool {
        let stamp = self.booted + Duration::from_millis(grant.stamp);
        let until = stamp + grant.valid;
        let valid = stamp <= self.now && until > self.now;
        if valid {
            self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
        }
        valid
    }
}
