//! Workers whose capacity shrinks and grows while they run, and how full each may be then.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;

use super::Arrival;
use super::World;
use super::workers::registration;

/// How long the directory takes to tell of a new capacity.
const ENTRY_DELAY: Duration = Duration::from_millis(1500);
/// For so long starts may still go by the capacity before: contact, and one beat.
const GRACE: Duration = Duration::from_millis(4500);

/// What a worker that has shrunk may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    shrunk_at: Time,
    /// What it may hold at first.
    before: Amount,
    /// What it may hold after that: what it held then, and never more again than it has held since.
    held: Amount,
}

/// The larger of two amounts in every dimension.
fn max_each(a: Amount, b: Amount) -> Amount {
    Amount {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// The smaller of two amounts in every dimension.
fn min_each(a: Amount, b: Amount) -> Amount {
    Amount {
        cpu_milli: a.cpu_milli.min(b.cpu_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl Bound {
    /// What may be held now, by a worker that holds `sum` of its `capacity`.
    pub(super) fn allowed(&mut self, now: Time, capacity: Amount, sum: Amount) -> Amount {
        if now <= self.shrunk_at + GRACE {
            self.held = sum;
            return max_each(self.before, capacity);
        }
        let allowed = max_each(self.held, capacity);
        self.held = min_each(self.held, sum);
        allowed
    }

    /// A start of before was carried out late.
    pub(super) fn allow_late_start(&mut self, demand: Amount) {
        self.before = self.before.plus(demand);
        self.held = self.held.plus(demand);
    }
}

impl World {
    /// A worker has another capacity from now on; its entry tells a beat later.
    pub fn resize(&mut self, name: &str, capacity: Amount) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let held = self.bounds.get(name).map_or(Amount::ZERO, |bound| {
            if now <= bound.shrunk_at + GRACE { bound.before } else { bound.held }
        });
        let before = max_each(worker.capacity, held);
        self.bounds.insert(name.to_owned(), Bound { shrunk_at: now, before, held: before });
        worker.capacity = capacity;
        let registration = registration(worker);
        let event = Event::Listed { registration };
        self.push(now + ENTRY_DELAY, Arrival::Event(self.term, event));
    }
}
