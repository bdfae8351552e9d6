//! Window of starts in flight.
//!
//! Load pattern: a takeover, or the end of an outage, finds capacity for thousands of tasks at once.
//! Without a window one placement pass assigns them all. It takes longer than a lease, and sending
//! its starts occupies the owner for seconds more, in which it handles no end and no arrival.
//!
//! With it, tasks beyond the window stay in the planner, where the most valuable one goes first and
//! cancelled ones are dropped. The window moves as starts are answered, so the owner decides on
//! starts as fast as it sends them.

/// Number of starts that may be unanswered at once: a few times what a busy owner sends while one
/// is on its way.
const MAX_STARTS: usize = 512;

/// Starts that are not answered yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    /// Starts that were sent.
    sent: usize,
    /// Starts decided on in the current placement pass.
    planned: usize,
    /// Whether a task had to wait for the window.
    refused: bool,
}

impl Window {
    /// Begins a placement pass.
    pub(crate) fn begin_pass(&mut self) {
        self.planned = 0;
        self.refused = false;
    }

    /// Returns `true` if another task may be assigned. If not, the next answer makes room.
    pub(crate) fn admit(&mut self) -> bool {
        let is_open = self.sent + self.planned < MAX_STARTS;
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
