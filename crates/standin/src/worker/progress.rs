//! The progress of a run whose speed changes over time.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Full speed, in thousandths.
pub const FULL_PERMILLE: u64 = 1000;

/// The progress of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Work done until `since`, in time at full speed.
    done: Duration,
    /// Total work, in time at full speed; zero for a run without an end.
    total: Duration,
    since: Time,
    /// Thousandths of full speed.
    speed: u64,
}

fn scale(time: Duration, by: u64, of: u64) -> Duration {
    let nanos = time.as_nanos() * u128::from(by) / u128::from(of);
    Duration::from_nanos(nanos as u64)
}

impl Progress {
    /// Returns the progress of a run that starts now at full speed with some of the work done.
    pub fn start(now: Time, done: Duration, total: Duration) -> Progress {
        Progress { done, total, since: now, speed: FULL_PERMILLE }
    }

    /// Returns the work done.
    pub fn completed(&self, now: Time) -> Duration {
        self.done + scale(now.saturating_sub(self.since), self.speed, FULL_PERMILLE)
    }

    /// Changes the speed from now on.
    pub fn set_speed(&mut self, now: Time, speed: u64) {
        self.done = self.completed(now);
        self.since = now;
        self.speed = speed;
    }

    /// Returns the time at which the work will be done, if it ever is at the current speed.
    pub fn completes_at(&self) -> Option<Time> {
        if self.total.is_zero() || self.speed == 0 {
            return None;
        }
        let left = self.total.saturating_sub(self.done);
        Some(self.since + scale(left, FULL_PERMILLE, self.speed))
    }
}
