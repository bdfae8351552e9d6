//! What part of a cell tasks that last hold.
//!
//! Pattern answered: a task that lasts fails, or its worker is gone, and it wants its room back. One that failed
//! alone left a gap that is its own. But when a part of the workers is gone, so is that part of the room, and
//! giving back all that ran there would take it from short tasks alone. So what tasks that last gave up is given
//! back as far as they held that part of the cell a moment ago; beyond that they take what stays free, like new ones
//! ([`crate::idle`]).

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;

use crate::planner::Planner;
use crate::worker::WorkerId;

/// How long it is remembered what part they held: longer than a task that failed takes to find its room again.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// What tasks that last hold of a cell, and held a moment ago.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quota {
    /// The part of the processors that they held lately.
    fraction: f64,
    /// Thousandths of a processor of all open workers.
    capacity_milli: f64,
    /// Thousandths that they hold.
    held_milli: f64,
    at: Time,
}

impl Quota {
    /// Takes in what there is and what they hold of it.
    fn update(&mut self, now: Time, capacity_milli: f64, held_milli: f64) {
        let current = held_milli / capacity_milli.max(1.0);
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let faded = (self.fraction - current) * (-passed / DECAY_TIME.as_secs_f64()).exp();
        *self = Quota { fraction: current + faded.max(0.0), capacity_milli, held_milli, at: now };
    }

    /// Counts a task that lasts as placed.
    pub(crate) fn take(&mut self, step: &Step) {
        self.held_milli += f64::from(step.demand.cpu_milli);
        self.fraction = self.fraction.max(self.held_milli / self.capacity_milli.max(1.0));
    }

    /// Tells whether a task of a step that lasts can be given its room back.
    pub(crate) fn allows(&self, step: &Step) -> bool {
        self.held_milli + f64::from(step.demand.cpu_milli) <= self.fraction * self.capacity_milli
    }
}

impl Planner {
    /// Looks what tasks that last hold on the open workers.
    pub(crate) fn update_quota(&mut self, open: impl Iterator<Item = WorkerId>) {
        let mut capacity = 0.0;
        let mut held = 0.0;
        for worker in open {
            let worker = &self.workers[worker];
            capacity += f64::from(worker.capacity.cpu_milli);
            held += f64::from(worker.reserved_by_services.cpu_milli);
        }
        self.share.update(self.now, capacity, held);
    }
}
