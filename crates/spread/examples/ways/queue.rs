//! A queue of events in order of virtual time; events of the same time keep their order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cowslipchute_base::id::Time;

struct Entry<T> {
    at: Time,
    number: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The pending events.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    number: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn open() -> Queue<T> {
        Queue { heap: BinaryHeap::new(), number: 0 }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Time, event: T) {
        self.number += 1;
        self.heap.push(Reverse(Entry { at, number: self.number, event }));
    }

    /// Removes and returns the next event before a time.
    pub fn pop(&mut self, before: Time) -> Option<(Time, T)> {
        if self.heap.peek()?.0.at >= before {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
