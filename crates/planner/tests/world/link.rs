//! The owner's link, where it is narrow: what is sent waits behind what was sent before.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::action::Change;

/// Bytes of an order's head, its other fields and its answer.
const ORDER_BYTES: usize = 600;
/// Bytes of a change beside its record.
const CHANGE_BYTES: usize = 300;

/// A link.
pub struct Link {
    /// Bytes a second.
    pub rate: f64,
    free_at: Time,
}

impl Link {
    pub fn open(rate: f64) -> Link {
        Link { rate, free_at: Time::ZERO }
    }

    /// Returns how long what is sent now waits for what was sent before.
    pub fn queue_delay(&self, now: Time) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Sends so many bytes; returns when the last of them has left.
    pub fn send(&mut self, now: Time, bytes: usize) -> Duration {
        let takes = Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at = self.free_at.max(now) + takes;
        self.queue_delay(now)
    }
}

/// Returns the bytes of an order, with its answer.
pub fn order_bytes(order: &Action) -> usize {
    match order {
        Action::Start { start, .. } => start.payload.len() + ORDER_BYTES,
        _ => ORDER_BYTES,
    }
}

/// Returns the bytes of a write, as base64.
pub fn write_bytes(changes: &[Change]) -> usize {
    let records = changes.iter().map(|change| match change {
        Change::Progress { record, .. } => record.encode().len(),
        Change::End { .. } => 0,
    });
    records.map(|bytes| bytes * 4 / 3 + CHANGE_BYTES).sum()
}
