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
const MEMORY: Duration = Duration::from_secs(10);

/// What tasks that last hold of a cell, and held a moment ago.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    /// The part of the processors that they held lately.
    part: f64,
    /// Thousandths of a processor of all open workers.
    capacity: f64,
    /// Thousandths that they hold.
    held: f64,
    at: Time,
}

impl Share {
    /// Takes in what there is and what they hold of it.
    fn look(&mut self, now: Time, capacity: f64, held: f64) {
        let current = held / capacity.max(1.0);
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let faded = (self.part - current) * (-passed / MEMORY.as_secs_f64()).exp();
        *self = Share { part: current + faded.max(0.0), capacity, held, at: now };
    }

    /// Counts a task that lasts as placed.
    pub(crate) fn take(&mut self, step: &Step) {
        self.held += f64::from(step.demand.cpu_milli);
        self.part = self.part.max(self.held / self.capacity.max(1.0));
    }

    /// Tells whether a task of a step that lasts can be given its room back.
    pub(crate) fn allows(&self, step: &Step) -> bool {
        self.held + f64::from(step.demand.cpu_milli) <= self.part * self.capacity
    }
}

impl Planner {
    /// Looks what tasks that last hold on the open workers.
    pub(crate) fn look_at_share(&mut self, open: impl Iterator<Item = WorkerId>) {
        let mut capacity = 0.0;
        let mut held = 0.0;
        for worker in open {
            let worker = &self.workers[worker];
            capacity += f64::from(worker.capacity.cpu_milli);
            held += f64::from(worker.lasting.cpu_milli);
        }
        self.share.look(self.now, capacity, held);
    }
}
