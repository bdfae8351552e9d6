//! Reserve of CPU that service tasks leave to short tasks.
//!
//! Service tasks rank first and keep their capacity. Without a limit they would fill the cell, and
//! short tasks of equal priority, which are worth several times as much per core-second, would find
//! no capacity for the rest of the day. So the CPU that short tasks have needed recently, and some
//! more for their bursts, stays free of service tasks for a while. The reserve decays where no
//! short task comes, and a service task never waits for long beside capacity that stays free.
//! New service tasks may not use capacity that is only free between two short tasks, since they run
//! for much longer. Capacity beside service tasks that is too small for a short task doesn't count
//! towards the reserve.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Spec;

/// Time constant of the recent work: a few times the duration of a short job.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Ratio of the reserve to the mean need, for bursts and for gaps that are left between short tasks.
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
    /// Decaying sum of task-seconds.
    task_time: f64,
    updated: Time,
    opened: Time,
    /// When a short task last found no worker, and when one was last placed.
    unplaced_at: Option<Time>,
    placed_at: Option<Time>,
}

impl Reserve {
    pub(crate) fn open(now: Time) -> Reserve {
        Reserve {
            work: 0.0,
            task_time: 0.0,
            updated: now,
            opened: now,
            unplaced_at: None,
            placed_at: None,
        }
    }

    /// Returns what is left now of the sums.
    fn remainder(&self, now: Time) -> f64 {
        decay(now.saturating_sub(self.updated), DECAY_TIME)
    }

    /// Adds the work of a job that has arrived.
    pub(crate) fn add_job(&mut self, now: Time, spec: &Spec) {
        let remainder = self.remainder(now);
        self.work *= remainder;
        self.task_time *= remainder;
        self.updated = now;
        for step in spec.steps.iter().filter(|step| !step.long_running && !step.best_effort) {
            let task_time = f64::from(step.count) * step.estimate.as_secs_f64();
            self.task_time += task_time;
            self.work += task_time * f64::from(step.demand.cpu_milli) / 1e3;
        }
    }

    /// Returns how much of a worker's capacity beside its service tasks counts for the reserve: none
    /// if it is too small for a short task of the mean demand, as long as such tasks come.
    pub(crate) fn usable_milli(&self, now: Time, milli: f64) -> f64 {
        let mean_milli = self.work * 1e3 / self.task_time;
        let is_too_small = milli < mean_milli && !self.is_idle_for(now, DECAY_TIME);
        if is_too_small { 0.0 } else { milli }
    }

    /// Records that a short task which can still be of use found no worker.
    pub(crate) fn record_unplaced(&mut self, now: Time) {
        self.unplaced_at = Some(now);
    }

    /// Records that a short task was placed.
    pub(crate) fn record_placed(&mut self, now: Time) {
        self.placed_at = Some(now);
    }

    /// Returns `true` if short tasks use the capacity that is left to them by turns: in the time
    /// `span` some found no worker and others were placed.
    pub(crate) fn is_contended(&self, now: Time, span: Duration) -> bool {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now < at + span);
        is_recent(self.unplaced_at) && is_recent(self.placed_at)
    }

    /// Returns `true` if no job has arrived for the time `span`.
    pub(crate) fn is_idle_for(&self, now: Time, span: Duration) -> bool {
        now >= self.updated + span
    }

    /// Returns the millicores of `capacity` to keep free of service tasks.
    pub(crate) fn milli(&self, now: Time, capacity: f64) -> f64 {
        let need = self.work * self.remainder(now) / DECAY_TIME.as_secs_f64() * 1e3 * BURST_FACTOR;
        let first = INITIAL_FRACTION
            * capacity
            * decay(now.saturating_sub(self.opened), INITIAL_DECAY_TIME);
        need.max(first).min(MAX_FRACTION * capacity)
    }
}

fn decay(elapsed: Duration, decay_time: Duration) -> f64 {
    (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
