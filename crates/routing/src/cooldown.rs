//! Rate limit of a log event that could otherwise be written for every request.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Minimum time between two log events of the same cause.
const INTERVAL: Duration = Duration::from_secs(10);

/// Time of the last log event of one cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    last: Option<Time>,
}

impl Cooldown {
    /// Starts a new interval and returns `true`, unless the last one hasn't passed yet.
    pub fn start(&mut self, now: Time) -> bool {
        if self.last.is_some_and(|last| now.saturating_sub(last) < INTERVAL) {
            return false;
        }
        self.last = Some(now);
        true
    }
}
