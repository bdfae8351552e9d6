//! A worker's responses to exchanges.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Epoch;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Held;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;
use cowslipchute_ports::worker::Usage;

use crate::worker::state::Worker;

impl Worker {
    /// Returns the report of a refused exchange. It holds no inventory, which an owner that has
    /// been replaced doesn't need.
    pub(super) fn rejection(&self, exchange: &Exchange, epoch: Epoch) -> Report {
        Report {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp(self.now),
            epoch,
            obeyed: false,
            version: exchange.known,
            whole: false,
            held: Vec::new(),
            usage: Vec::new(),
            leaving: self.health.leaving,
        }
    }

    pub(super) fn report(&mut self, exchange: &Exchange) -> Report {
        let changes = self.journal.changes_after(exchange.known).map(|runs| {
            let held = runs.map(|run| self.held(run));
            held.collect::<Vec<Held>>()
        });
        let whole = changes.is_none();
        let held = changes.unwrap_or_else(|| self.slots.keys().map(|run| self.held(run)).collect());
        Report {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp(self.now),
            epoch: exchange.epoch,
            obeyed: true,
            version: self.journal.version(),
            whole,
            held,
            usage: self.take_usage(),
            leaving: self.health.leaving,
        }
    }

    fn held(&self, run: &Run) -> Held {
        let slot = self.slots.get(run);
        Held {
            run: run.clone(),
            amount: slot.map_or(Amount::ZERO, |slot| slot.amount),
            phase: slot.map_or(Phase::Forgotten, |slot| slot.phase.clone()),
            permille: slot.map_or(1000, |slot| slot.permille),
        }
    }

    fn take_usage(&mut self) -> Vec<Usage> {
        let (now, lag) = (self.now, self.timing.measure_lag);
        let ready = self.measured.partition_point(|(at, _)| *at + lag <= now);
        self.measured.drain(..ready).map(|(_, usage)| usage).collect()
    }
}
