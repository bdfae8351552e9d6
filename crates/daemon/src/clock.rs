//! The monotonic clock. No other module of our processes reads it.

use std::time::Instant;

use cowslipchute_base::id::Time;

/// Monotonic clock that counts from its own start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Converts a time of this clock to the runtime's type, for timers.
    pub fn at(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time)
    }
}
