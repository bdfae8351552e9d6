//! Event queue of a simulation in virtual time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cowslipchute_base::id::Time;

#[derive(Debug)]
struct Scheduled<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn rank(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

/// Events in order of time. Events with equal times are returned in insertion order, so that a run
/// depends only on its seed.
#[derive(Debug)]
pub struct Queue<E> {
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
}

impl<E> Queue<E> {
    /// Creates an empty queue at time zero.
    pub fn open() -> Queue<E> {
        Queue { now: Time::ZERO, sequence: 0, heap: BinaryHeap::new() }
    }

    /// Returns the time of the last event removed.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Inserts an event at a time, or now if the time has passed.
    pub fn at(&mut self, time: Time, event: E) {
        let at = time.max(self.now);
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Inserts an event after a delay.
    pub fn after(&mut self, delay: Time, event: E) {
        self.at(self.now + delay, event);
    }

    /// Removes the next event, unless it is later than `end`.
    pub fn next_until(&mut self, end: Time) -> Option<E> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        debug_assert!(scheduled.at >= self.now, "virtual time never decreases");
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}
