//! Delay of a claim by the size of the instance: larger instances claim a vacant cell first, since
//! the owner has the most work.
//!
//! A small owner serves hundreds of workers with seconds of delay, but instances of equal size must
//! not lose time waiting for larger ones that don't exist. After an outage of the store, instances
//! see the vacancy within half a second of each other, so a small one waits for longer than that.
//! Each owner publishes its size, and others compare theirs with the largest seen; until one is
//! known, as at the first start, the delay depends on the instance's own size alone.

use std::time::Duration;

/// Delay of an instance with a full core until an owner is known; a smaller CPU share waits
/// proportionally longer.
const INITIAL_DELAY: Duration = Duration::from_millis(25);
/// Delay for each multiple by which the largest owner seen exceeds this instance, beyond the first.
/// The smallest known instances have a seventh of the largest's share, and wait half a second.
const DELAY_PER_MULTIPLE: Duration = Duration::from_millis(80);
/// Longest delay; the cell has no owner meanwhile if the larger instances are gone.
const MAX_DELAY: Duration = Duration::from_millis(600);
/// Smallest CPU share that the delay accounts for.
const MIN_SHARE: f64 = 0.01;

/// Sizes of this instance and of the largest owner seen.
#[derive(Clone, Copy, Debug)]
pub struct Precedence {
    own_share: f64,
    largest_share: Option<f64>,
}

impl Precedence {
    /// Opens with the CPU share of this instance, as a fraction of a core.
    pub fn open(own_share: f64) -> Precedence {
        Precedence { own_share: own_share.clamp(MIN_SHARE, 1.0), largest_share: None }
    }

    /// Records the CPU share of an owner.
    pub fn observe_owner(&mut self, share: f64) {
        let largest_share = self.largest_share.unwrap_or(0.0).max(share);
        self.largest_share = Some(largest_share);
    }

    /// Returns the delay before a claim.
    pub fn delay(self) -> Duration {
        let delay = match self.largest_share {
            None => INITIAL_DELAY.div_f64(self.own_share),
            Some(largest_share) => {
                DELAY_PER_MULTIPLE.mul_f64((largest_share / self.own_share - 1.0).max(0.0))
            }
        };
        delay.min(MAX_DELAY)
    }
}
