//! Who claims a vacant cell first: the larger instances, since the owner has the most to do.
//!
//! Pattern answered: instances of very different size, of which a small one serves hundreds of workers
//! with seconds of delay, and equal ones, which lose time if they wait for larger ones that don't
//! exist. After an outage of the store each instance sees the vacancy at another time, within half a
//! second; so a small one has to wait for longer than that, and an equal one not at all. Every owner
//! says how large it is, and the largest that was seen is what others compare with. Before any is
//! known, as at the first start, an instance waits by its own size alone.

use std::time::Duration;

/// What a full core waits before any owner was seen; a smaller part waits proportionally longer.
const FIRST_DELAY: Duration = Duration::from_millis(25);
/// What an instance waits for each time that the largest owner seen is larger than it, beyond once.
/// The smallest instances known are a seventh of the largest, and come half a second later.
const SMALLER_DELAY: Duration = Duration::from_millis(80);
/// The longest wait: the cell has no owner meanwhile if the larger ones are gone.
const MOST_DELAY: Duration = Duration::from_millis(600);
/// The least part of a core that is counted.
const LEAST_SHARE: f64 = 0.01;

/// What is known of the sizes of instances.
#[derive(Clone, Copy, Debug)]
pub struct Precedence {
    own: f64,
    largest: Option<f64>,
}

impl Precedence {
    /// Opens with this instance's part of a core.
    pub fn open(own: f64) -> Precedence {
        Precedence { own: own.clamp(LEAST_SHARE, 1.0), largest: None }
    }

    /// An owner was seen that has this part of a core.
    pub fn observe_owner(&mut self, share: f64) {
        let largest = self.largest.unwrap_or(0.0).max(share);
        self.largest = Some(largest);
    }

    /// Returns how long to wait before a claim.
    pub fn delay(self) -> Duration {
        let delay = match self.largest {
            None => FIRST_DELAY.div_f64(self.own),
            Some(largest) => SMALLER_DELAY.mul_f64((largest / self.own - 1.0).max(0.0)),
        };
        delay.min(MOST_DELAY)
    }
}
