//! Fraction of a cell's CPU that service tasks hold.
//!
//! A service task that fails, or whose worker is gone, needs its capacity back. One that failed
//! alone left a gap that it may take again. But when some of the workers are gone, their capacity
//! is gone too, and giving back everything that ran there would take it from short tasks alone. So
//! returning service tasks get capacity up to the fraction of the cell that service tasks held a
//! moment ago. Beyond that they take what stays free, like new ones ([`crate::capacity::idle`]).

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;

use crate::planner::Planner;
use crate::workers::worker::WorkerId;

/// Time constant of the remembered fraction: longer than a failed task takes to be placed again.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// What service tasks hold of a cell, and held a moment ago.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quota {
    /// Fraction of the CPU that they held recently.
    fraction: f64,
    /// Millicores of all open workers.
    capacity_milli: f64,
    /// Millicores that service tasks hold.
    held_milli: f64,
    updated: Time,
}

impl Quota {
    /// Updates the quota from the current capacity and what service tasks hold of it.
    fn update(&mut self, now: Time, capacity_milli: f64, held_milli: f64) {
        let current = held_milli / capacity_milli.max(1.0);
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let decayed = (self.fraction - current) * (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        *self = Quota {
            fraction: current + decayed.max(0.0),
            capacity_milli,
            held_milli,
            updated: now,
        };
    }

    /// Counts a service task as placed.
    pub(crate) fn take(&mut self, step: &Step) {
        self.held_milli += f64::from(step.demand.cpu_milli);
        self.fraction = self.fraction.max(self.held_milli / self.capacity_milli.max(1.0));
    }

    /// Returns the millicores that service tasks hold, and those up to which they get theirs back.
    pub(crate) fn usage(&self) -> (f64, f64) {
        (self.held_milli, self.fraction * self.capacity_milli)
    }

    /// Returns `true` if a service task of a step may get its capacity back.
    pub(crate) fn allows(&self, step: &Step) -> bool {
        self.held_milli + f64::from(step.demand.cpu_milli) <= self.fraction * self.capacity_milli
    }
}

impl Planner {
    /// Updates the quota from the open workers.
    pub(crate) fn update_quota(&mut self, open: impl Iterator<Item = WorkerId>) {
        let mut capacity = 0.0;
        let mut held = 0.0;
        for worker in open {
            let worker = &self.workers[worker];
            capacity += f64::from(worker.capacity.cpu_milli);
            held += f64::from(worker.reserved_by_services.cpu_milli);
        }
        self.quota.update(self.now, capacity, held);
    }
}
