//! Rate of work, averaged over the last seconds.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Time constant of the average: longer than most tasks, shorter than most bursts.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// An exponentially decaying rate of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Decaying sum of the work, in core-seconds.
    sum: f64,
    updated_at: Time,
}

impl Meter {
    /// Adds work that was done, or that arrived, at a time.
    pub fn add(&mut self, now: Time, work: f64) {
        self.sum = self.decayed(now) + work;
        self.updated_at = now;
    }

    /// Returns the rate in core-seconds per second.
    pub fn rate(&self, now: Time) -> f64 {
        self.decayed(now) / DECAY_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.sum * (-elapsed.div_duration_f64(DECAY_TIME)).exp()
    }
}
