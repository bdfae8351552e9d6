//! The owner's link, if it is narrow: traffic queues behind earlier traffic.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change;

/// Bytes of a command's headers, its other fields and its response.
const COMMAND_BYTES: usize = 600;
/// Bytes of a change beside its record.
const CHANGE_BYTES: usize = 300;

/// A link.
pub struct Link {
    /// Bytes per second.
    pub rate: f64,
    free_at: Time,
}

impl Link {
    pub fn open(rate: f64) -> Link {
        Link { rate, free_at: Time::ZERO }
    }

    /// Returns how long traffic sent now waits for earlier traffic.
    pub fn queue_delay(&self, now: Time) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Sends `bytes`; returns how long it takes until the last of them has left.
    pub fn send(&mut self, now: Time, bytes: usize) -> Duration {
        let duration = Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at = self.free_at.max(now) + duration;
        self.queue_delay(now)
    }
}

/// Returns the bytes of a command and its response.
pub fn command_bytes(command: &Action) -> usize {
    match command {
        Action::Start { start, .. } => start.payload.len() + COMMAND_BYTES,
        _ => COMMAND_BYTES,
    }
}

/// Returns the bytes of a write, in base64.
pub fn write_bytes(changes: &[Change]) -> usize {
    let records = changes.iter().map(|change| match change {
        Change::Progress { record, .. } => record.encode().len(),
        Change::End { .. } => 0,
    });
    records.map(|bytes| bytes * 4 / 3 + CHANGE_BYTES).sum()
}
