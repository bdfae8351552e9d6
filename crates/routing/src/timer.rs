//! A heap of timers with lazy deletion of stale entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id::Time;

use crate::backend::Backend;
use crate::request::Request;

/// Maximum number of stale entries, beyond the live ones, before the heap is rebuilt without them.
const STALE_MAX: usize = 1024;

/// A timer and its subject. It is stale, and does nothing, if the subject is gone or its state has
/// changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The request's deadline passes.
    Deadline(Id<Request>),
    /// The request's maximum wait for a slot has passed.
    QueueWait(Id<Request>),
    /// The request has waited for a slot long enough to use a remote failure domain.
    Spill(Id<Request>),
    /// The request's backoff has ended.
    Retry(Id<Request>),
    /// The request's attempt has exceeded the hedge delay.
    Hedge(Id<Request>),
    /// The backend server's ejection has ended.
    Probe(Id<Backend>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Time,
    /// Sequence number, by which timers due at the same time fire in the order they were set.
    serial: u64,
    timer: Timer,
}

/// All timers of one router.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    swept_len: usize,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Time, timer: Timer) {
        self.serial += 1;
        self.heap.push(Reverse(Entry { at, serial: self.serial, timer }));
    }

    /// Removes and returns the next due timer, which may be stale.
    pub fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.heap.peek()?.0.at > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.timer)
    }

    /// Removes stale timers from the front of the heap, and all stale timers once they may
    /// outnumber the live ones.
    ///
    /// The next full sweep happens only when the heap has doubled since the last one, so that the
    /// amortized cost per timer is constant and memory is linear in the number of live timers.
    pub fn prune(&mut self, is_live: impl Fn(Time, Timer) -> bool) {
        if self.heap.len() > 2 * self.swept_len + STALE_MAX {
            self.heap.retain(|entry| is_live(entry.0.at, entry.0.timer));
            self.swept_len = self.heap.len();
        }
        while let Some(entry) = self.heap.peek() {
            if is_live(entry.0.at, entry.0.timer) {
                return;
            }
            self.heap.pop();
        }
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|entry| entry.0.at)
    }
}
