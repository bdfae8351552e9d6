//! How long an outage is likely to last, from the outages before it.
//!
//! A retry during the outage uses up one of the client's few attempts; a retry long after it delays
//! the job.

use std::time::Duration;

use smallvec::SmallVec;

/// Number of outages that are remembered.
const MAX_OUTAGES: usize = 8;
/// Remaining time of an outage if none of those before lasted as long.
const DEFAULT_REMAINING: Duration = Duration::from_secs(1);
/// Shorter outages are single failed calls.
const MIN_OUTAGE: Duration = Duration::from_millis(100);
/// Minimum number of retries that fit into a client's timeout, so that some are left when the outage
/// ends.
const MIN_RETRIES: u32 = 3;

/// Durations of the latest outages.
#[derive(Clone, Debug, Default)]
pub struct History {
    durations: SmallVec<[Duration; MAX_OUTAGES]>,
}

impl History {
    /// Records an outage that has ended.
    pub fn record(&mut self, duration: Duration) {
        if duration < MIN_OUTAGE {
            return;
        }
        if self.durations.len() == MAX_OUTAGES {
            self.durations.remove(0);
        }
        self.durations.push(duration);
    }

    /// Returns the expected remaining time of an outage: the median over the earlier outages that
    /// lasted longer than `elapsed`.
    pub fn expected_remaining(&self, elapsed: Duration) -> Duration {
        let longer = self.durations.iter().filter(|&&duration| duration > elapsed);
        let mut remaining: SmallVec<[Duration; MAX_OUTAGES]> =
            longer.map(|&duration| duration - elapsed).collect();
        remaining.sort_unstable();
        remaining.get(remaining.len() / 2).copied().unwrap_or(DEFAULT_REMAINING)
    }

    /// Returns the time after which a client should retry that waits for at most `client_timeout`.
    pub fn retry_after(&self, elapsed: Duration, client_timeout: Duration) -> Duration {
        let limit = (client_timeout / MIN_RETRIES).max(DEFAULT_REMAINING);
        self.expected_remaining(elapsed).min(limit)
    }
}
