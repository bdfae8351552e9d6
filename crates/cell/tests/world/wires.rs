//! Delivery of exchanges between owners and workers, with losses and delays.

use cowslipchute_base::amount::Amount;
use cowslipchute_cell::event::Event;
use cowslipchute_ports::worker::Usage;

use super::World;

impl World {
    /// Delivers an exchange's request or answer; returns `false` if the answer is held back.
    pub fn deliver(&mut self, index: usize) -> bool {
        let transfer = &mut self.transfers[index];
        let Some(exchange) = transfer.exchange.take() else {
            if self.held_back.contains(&transfer.worker) {
                return false;
            }
            let transfer = self.transfers.remove(index);
            self.deliver_event(
                transfer.owner,
                transfer.answer.expect("an exchange that was made has an answer"),
            );
            return true;
        };
        let (name, sequence) = (transfer.worker.clone(), transfer.sequence);
        let failed = |maybe_received| Event::Failed {
            sequence,
            worker: name.as_str().into(),
            maybe_received,
        };
        let (now, fake) = (self.now, self.fakes.get_mut(&name));
        let (answer, started) = match fake {
            Some(fake) if fake.alive && !fake.partitioned && fake.delay_exchanges > 0 => {
                fake.delay_exchanges -= 1;
                self.late_exchanges.push((name.clone(), exchange.clone()));
                (failed(true), Vec::new())
            }
            Some(fake) if fake.alive && !fake.partitioned && fake.lose_exchanges > 0 => {
                fake.lose_exchanges -= 1;
                (failed(true), Vec::new())
            }
            Some(fake) if fake.alive && !fake.partitioned => {
                let (report, started) = fake.exchange(now, &exchange);
                let is_lost = fake.lose_answers > 0;
                fake.lose_answers = fake.lose_answers.saturating_sub(1);
                let answer =
                    if is_lost { failed(true) } else { Event::Reported { sequence, report } };
                (answer, started)
            }
            _ => (failed(false), Vec::new()),
        };
        self.transfers[index].answer = Some(answer);
        for started in started {
            self.check_start(&started, exchange.epoch);
        }
        self.check();
        true
    }

    /// Loses all exchanges in flight with a worker.
    pub fn lose_transfers(&mut self, worker: &str) {
        for transfer in self.transfers.iter_mut().filter(|transfer| transfer.worker == worker) {
            let (sequence, maybe_received) = (transfer.sequence, transfer.exchange.is_none());
            transfer.exchange = None;
            transfer.answer =
                Some(Event::Failed { sequence, worker: worker.into(), maybe_received });
        }
    }

    /// Makes a worker report measurements of all its active runs, with the same slowdown.
    pub fn measure(&mut self, worker: &str, slowdown_permille: u32) {
        let now = self.now;
        let fake = self.fake(worker);
        let measured = fake.stamp(now);
        let used = |amount: Amount| Amount { cpu_milli: amount.cpu_milli / 2, ..amount };
        let usage: Vec<Usage> = fake
            .active()
            .map(|held| Usage {
                run: held.run.clone(),
                amount: used(held.amount),
                measured,
                slowdown_permille,
            })
            .collect();
        fake.usage.extend(usage);
    }

    /// Reports the undelivered requests to a worker as lost; they may arrive later.
    pub fn delay_exchanges(&mut self, worker: &str) {
        for transfer in self.transfers.iter_mut().filter(|transfer| transfer.worker == worker) {
            let Some(exchange) = transfer.exchange.take() else { continue };
            self.late_exchanges.push((worker.to_owned(), exchange));
            let (sequence, worker) = (transfer.sequence, worker.into());
            transfer.answer = Some(Event::Failed { sequence, worker, maybe_received: true });
        }
    }

    /// Delivers a request that was reported as lost.
    pub fn deliver_late(&mut self, index: usize) {
        let (name, exchange) = self.late_exchanges.remove(index);
        let now = self.now;
        let Some(fake) = self.fakes.get_mut(&name).filter(|fake| fake.alive && !fake.partitioned)
        else {
            return;
        };
        let (_, started) = fake.exchange(now, &exchange);
        for started in started {
            self.check_start(&started, exchange.epoch);
        }
        self.check();
    }
}
