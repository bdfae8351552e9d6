//! Window of starts in flight.
//!
//! Load pattern: a takeover, or the end of an outage, finds capacity for thousands of tasks at once.
//! Without a window one placement pass assigns them all. It takes longer than a lease, and sending
//! its starts occupies the owner for seconds more, in which it handles no end and no arrival.
//!
//! With it, tasks beyond the window stay in the planner, where the most valuable one goes first and
//! cancelled ones are dropped. The window moves as starts are answered, so the owner decides on
//! starts as fast as it sends them. It is smaller while the owner is behind, since each start in
//! flight delays whatever comes after it.

use std::time::Duration;

/// Number of starts that may be unanswered at once: a few times what a busy owner sends while one
/// is on its way.
const MAX_STARTS: usize = 512;
/// The same for an owner that is far behind.
const MIN_STARTS: usize = 16;
/// Lag up to which the window has its full size.
const FULL_SIZE_LAG: Duration = Duration::from_millis(60);

/// Starts that are not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    /// Number of starts that may be in flight.
    size: usize,
    /// Starts that were sent.
    sent: usize,
    /// Starts decided on in the current placement pass.
    planned: usize,
    /// Whether a task had to wait for the window.
    refused: bool,
}

impl Default for Window {
    fn default() -> Window {
        Window { size: MAX_STARTS, sent: 0, planned: 0, refused: false }
    }
}

impl Window {
    /// Sets the size for an owner with this lag.
    pub(crate) fn resize(&mut self, lag: Duration) {
        let fraction = FULL_SIZE_LAG.div_duration_f64(lag.max(FULL_SIZE_LAG));
        self.size = ((MAX_STARTS as f64 * fraction) as usize).max(MIN_STARTS);
    }

    /// Begins a placement pass.
    pub(crate) fn begin_pass(&mut self) {
        self.planned = 0;
        self.refused = false;
    }

    /// Returns `true` if another task may be assigned. If not, the next answer makes room.
    pub(crate) fn admit(&mut self) -> bool {
        let is_open = self.sent + self.planned < self.size;
        self.refused |= !is_open;
        is_open
    }

    /// Records that a task was assigned.
    pub(crate) fn plan(&mut self) {
        self.planned += 1;
    }

    /// Records that a start was sent.
    pub(crate) fn send(&mut self) {
        self.sent += 1;
    }

    /// Records that a start was answered or given up. Returns `true` if a task waits for that.
    pub(crate) fn settle(&mut self) -> bool {
        self.sent = self.sent.saturating_sub(1);
        std::mem::take(&mut self.refused)
    }
}
