//! Workers whose capacity changes while they run, and how much each may hold then.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;

use super::Arrival;
use super::World;
use super::workers::registration;

/// Delay until the directory shows a new capacity.
const ENTRY_DELAY: Duration = Duration::from_millis(1500);
/// Time within which starts may still assume the previous capacity: a heartbeat and one directory
/// update.
const GRACE: Duration = Duration::from_millis(4500);

/// What a worker that has shrunk may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    shrunk_at: Time,
    /// What it may hold within [`GRACE`].
    before: Amount,
    /// What it may hold after that: what it held then, and never more than it has held since.
    held: Amount,
}

/// Returns the larger of two amounts in every dimension.
fn max_each(a: Amount, b: Amount) -> Amount {
    Amount {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Returns the smaller of two amounts in every dimension.
fn min_each(a: Amount, b: Amount) -> Amount {
    Amount {
        cpu_milli: a.cpu_milli.min(b.cpu_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl Bound {
    /// Returns what a worker that holds `sum` of its `capacity` may hold now.
    pub(super) fn allowed(&mut self, now: Time, capacity: Amount, sum: Amount) -> Amount {
        if now <= self.shrunk_at + GRACE {
            self.held = sum;
            return max_each(self.before, capacity);
        }
        let allowed = max_each(self.held, capacity);
        self.held = min_each(self.held, sum);
        allowed
    }

    /// Allows for an earlier start that was carried out late.
    pub(super) fn allow_late_start(&mut self, demand: Amount) {
        self.before = self.before.plus(demand);
        self.held = self.held.plus(demand);
    }
}

impl World {
    /// Changes the capacity of a worker; its directory entry shows it after [`ENTRY_DELAY`].
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
