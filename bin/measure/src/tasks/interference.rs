//! Interference between tasks on one worker.

use cowslipchute_base::id::Time;

use crate::tasks::model::Job;
use crate::tasks::model::KINDS;
use crate::tasks::model::Model;

/// Pressure of a set of runs on the worker's shared hardware.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Interference {
    pressures: [f64; KINDS],
    load: f64,
}

impl Interference {
    /// Adds a run that uses a share of the worker's processors.
    pub(super) fn add(&mut self, job: &Job, share: f64, now: Time) {
        self.pressures[job.kind] += share * job.pressure(now);
        self.load += share;
    }

    /// Returns the slowdown that the others cause to one run of the set.
    pub(super) fn slowdown(&self, job: &Job, share: f64, now: Time, model: &Model) -> f64 {
        let mut others = self.pressures;
        let own = share * job.pressure(now);
        others[job.kind] = (others[job.kind] - own).max(0.0);
        model.slowdown(job.kind, &others, self.load)
    }
}
