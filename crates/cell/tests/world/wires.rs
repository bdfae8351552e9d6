//! Delivery of exchanges between owners and workers, with losses and delays.

use cowslipchute_base::amount::Amount;
use cowslipchute_cell::event::Event;
use cowslipchute_ports::worker::Usage;

use super::World;

impl World {
    /// Delivers an exchange's request or answer; returns `false` if the answer is held back.
    pub fn deliver(&mut self, index: usize) -> bool {
        let wire = &mut self.wires[index];
        let Some(exchange) = wire.exchange.take() else {
            if self.stuck.contains(&wire.worker) {
                return false;
            }
            let wire = self.wires.remove(index);
            self.tell(wire.owner, wire.answer.expect("an exchange that was made has an answer"));
            return true;
        };
        let (name, sequence) = (wire.worker.clone(), wire.sequence);
        let failed = |unknown| Event::Failed { sequence, worker: name.as_str().into(), unknown };
        let (now, fake) = (self.now, self.fakes.get_mut(&name));
        let (answer, begun) = match fake {
            Some(fake) if fake.alive && !fake.cut && fake.linger > 0 => {
                fake.linger -= 1;
                self.ghosts.push((name.clone(), exchange.clone()));
                (failed(true), Vec::new())
            }
            Some(fake) if fake.alive && !fake.cut && fake.void > 0 => {
                fake.void -= 1;
                (failed(true), Vec::new())
            }
            Some(fake) if fake.alive && !fake.cut => {
                let (report, begun) = fake.exchange(now, &exchange);
                let lost = fake.lose > 0;
                fake.lose = fake.lose.saturating_sub(1);
                let answer = if lost { failed(true) } else { Event::Reported { sequence, report } };
                (answer, begun)
            }
            _ => (failed(false), Vec::new()),
        };
        self.wires[index].answer = Some(answer);
        for begun in begun {
            self.check_begun(&begun, exchange.epoch);
        }
        self.check();
        true
    }

    /// Loses all exchanges in flight with a worker.
    pub fn lose_wires(&mut self, worker: &str) {
        for wire in self.wires.iter_mut().filter(|wire| wire.worker == worker) {
            let (sequence, unknown) = (wire.sequence, wire.exchange.is_none());
            wire.exchange = None;
            wire.answer = Some(Event::Failed { sequence, worker: worker.into(), unknown });
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
    pub fn linger(&mut self, worker: &str) {
        for wire in self.wires.iter_mut().filter(|wire| wire.worker == worker) {
            let Some(exchange) = wire.exchange.take() else { continue };
            self.ghosts.push((worker.to_owned(), exchange));
            let (sequence, worker) = (wire.sequence, worker.into());
            wire.answer = Some(Event::Failed { sequence, worker, unknown: true });
        }
    }

    /// Delivers a request that was reported as lost.
    pub fn haunt(&mut self, index: usize) {
        let (name, exchange) = self.ghosts.remove(index);
        let now = self.now;
        let Some(fake) = self.fakes.get_mut(&name).filter(|fake| fake.alive && !fake.cut) else {
            return;
        };
        let (_, begun) = fake.exchange(now, &exchange);
        for begun in begun {
            self.check_begun(&begun, exchange.epoch);
        }
        self.check();
    }
}
