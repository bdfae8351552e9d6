//! All workers and their common record. Does no I/O; the caller passes the time.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Report;

use crate::worker::behavior::Behavior;
use crate::worker::ledger::Ledger;
use crate::worker::state::Environment;
use crate::worker::state::Worker;
use crate::worker::timing::Health;
use crate::worker::timing::Timing;

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: BTreeMap<Instance, Worker>,
    ledger: Ledger,
    behavior: Behavior,
}

impl Fleet {
    /// Opens a fleet without workers.
    pub fn open(behavior: Behavior) -> Fleet {
        Fleet { workers: BTreeMap::new(), ledger: Ledger::default(), behavior }
    }

    /// Adds a worker that has just started, in its first incarnation.
    pub fn add(&mut self, now: Time, instance: Instance, capacity: Amount, timing: Timing) {
        let worker = Worker::open(instance.clone(), 1, capacity, timing, now);
        self.workers.insert(instance, worker);
    }

    /// Returns the record.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns a worker.
    pub fn worker(&self, instance: &Instance) -> Option<&Worker> {
        self.workers.get(instance)
    }

    /// Carries out everything that is due on any worker by now.
    pub fn advance(&mut self, now: Time) {
        for worker in self.workers.values_mut() {
            worker.advance(
                now,
                &mut Environment { ledger: &mut self.ledger, behavior: &self.behavior },
            );
        }
    }

    /// Carries out one exchange with a worker. Returns `None` if there is no worker of that name.
    pub fn exchange(
        &mut self,
        instance: &Instance,
        now: Time,
        exchange: &Exchange,
    ) -> Option<Report> {
        let is_start = |command: &Command| matches!(command, Command::Start { .. });
        if exchange.commands.iter().any(is_start) {
            // Runs that have ended on other workers by now must be recorded before a start here.
            self.advance(now);
        }
        let environment = &mut Environment { ledger: &mut self.ledger, behavior: &self.behavior };
        Some(self.workers.get_mut(instance)?.exchange(now, exchange, environment))
    }

    /// Sets the faults of a worker.
    pub fn set_health(&mut self, instance: &Instance, now: Time, health: Health) {
        let environment = &mut Environment { ledger: &mut self.ledger, behavior: &self.behavior };
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.set_health(now, health, environment);
        }
    }

    /// Kills a worker, restarts it and returns its new incarnation.
    pub fn reboot(&mut self, instance: &Instance, now: Time) -> Option<Incarnation> {
        let environment = &mut Environment { ledger: &mut self.ledger, behavior: &self.behavior };
        let worker = self.workers.get_mut(instance)?;
        worker.reboot(now, environment);
        Some(worker.incarnation())
    }
}
