//! Keeps a log event that could come with every request down to one in a while.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Time between two log events of the same cause.
const EVERY: Duration = Duration::from_secs(10);

/// When something was last noted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    last: Option<Time>,
}

impl Cooldown {
    /// Tells whether it is to be noted now, and takes it as noted.
    pub fn start(&mut self, now: Time) -> bool {
        if self.last.is_some_and(|last| now.saturating_sub(last) < EVERY) {
            return false;
        }
        self.last = Some(now);
        true
    }
}
