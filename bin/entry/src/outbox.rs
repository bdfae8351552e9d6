//! A ring sender for messages that must not be lost: messages that don't fit wait in a backlog.
//!
//! The backlog is bounded by the requests in progress, since every message belongs to a request
//! admitted before. Code that admits requests uses [`Outbox::try_push`] and rejects new requests
//! while there is a backlog.

use std::collections::VecDeque;

use cowslipchute_daemon::ring;

/// The sender of a ring, with the messages that wait for free capacity.
#[derive(Debug)]
pub struct Outbox<T> {
    ring: ring::Sender<T>,
    backlog: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// Opens an outbox for a ring.
    pub fn open(ring: ring::Sender<T>) -> Outbox<T> {
        Outbox { ring, backlog: VecDeque::new() }
    }

    /// Sends a message, in order, now or as soon as the ring has free capacity.
    pub fn push(&mut self, message: T) {
        self.backlog.push_back(message);
        self.flush();
    }

    /// Sends a message only if it fits now, and returns `true` if it was sent.
    pub fn try_push(&mut self, message: T) -> bool {
        self.flush();
        !self.has_backlog() && self.ring.send(message).is_ok()
    }

    /// Sends waiting messages until the ring is full.
    pub fn flush(&mut self) {
        while let Some(message) = self.backlog.pop_front() {
            match self.ring.send(message) {
                Ok(()) => {}
                Err(ring::SendError::Full(message)) => {
                    self.backlog.push_front(message);
                    return;
                }
                // The receiver is closed: the process is ending.
                Err(ring::SendError::Closed(_)) => self.backlog.clear(),
            }
        }
    }

    /// Returns `true` if messages wait.
    pub fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }
}
