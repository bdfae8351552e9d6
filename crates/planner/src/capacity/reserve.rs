//! Reserve of CPU that service tasks leave to short tasks.
//!
//! Service tasks rank first and keep their capacity. Without a limit they would fill the cell, and
//! short tasks of equal priority, which are worth several times as much per core-second, would find
//! no capacity for the rest of the day. So the CPU that short tasks have needed recently, and some
//! more for their bursts, stays free of service tasks for a while. The reserve decays where no
//! short task comes, and a service task never waits for long beside capacity that stays free.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Spec;

/// Time constant of the recent work: a few times the duration of a short job.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Ratio of the reserve to the mean need, for bursts and for gaps that are too small to use.
const BURST_FACTOR: f64 = 1.7;
/// Fraction of the cell reserved before anything is known about short tasks.
const INITIAL_FRACTION: f64 = 0.12;
/// Time constant of the decay of [`INITIAL_FRACTION`].
const INITIAL_DECAY_TIME: Duration = Duration::from_secs(20);
/// Maximum fraction of the cell to reserve, since service tasks have to be served too.
const MAX_FRACTION: f64 = 0.2;

/// Recent need of short tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reserve {
    /// Decaying sum of core-seconds.
    work: f64,
    updated: Time,
    opened: Time,
}

impl Reserve {
    pub(crate) fn open(now: Time) -> Reserve {
        Reserve { work: 0.0, updated: now, opened: now }
    }

    fn decayed_work(&self, now: Time) -> f64 {
        self.work * decay(now.saturating_sub(self.updated), DECAY_TIME)
    }

    /// Adds the work of a job that has arrived.
    pub(crate) fn add_job(&mut self, now: Time, spec: &Spec) {
        let short = spec.steps.iter().filter(|step| !step.long_running && !step.best_effort);
        let work = short.map(|step| {
            let cores = f64::from(step.demand.cpu_milli) / 1e3;
            f64::from(step.count) * cores * step.estimate.as_secs_f64()
        });
        self.work = self.decayed_work(now) + work.sum::<f64>();
        self.updated = now;
    }

    /// Returns `true` if no job has arrived for the time `span`.
    pub(crate) fn is_idle_for(&self, now: Time, span: Duration) -> bool {
        now >= self.updated + span
    }

    /// Returns the millicores of `capacity` to keep free of service tasks.
    pub(crate) fn milli(&self, now: Time, capacity: f64) -> f64 {
        let need = self.decayed_work(now) / DECAY_TIME.as_secs_f64() * 1e3 * BURST_FACTOR;
        let first = INITIAL_FRACTION
            * capacity
            * decay(now.saturating_sub(self.opened), INITIAL_DECAY_TIME);
        need.max(first).min(MAX_FRACTION * capacity)
    }
}

fn decay(elapsed: Duration, decay_time: Duration) -> f64 {
    (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
