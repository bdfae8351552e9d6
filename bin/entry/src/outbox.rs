//! A ring's writing end for messages that must not be lost: what finds the ring full waits here.
//!
//! The wait is bounded by what is in progress, since every message here belongs to a request taken
//! in before. Whoever takes requests looks at [`Outbox::lags`] first and refuses new ones.

use std::collections::VecDeque;

use cowslipchute_daemon::ring;

/// The writing end of a ring, with what waits for room in it.
#[derive(Debug)]
pub struct Outbox<T> {
    ring: ring::Sender<T>,
    backlog: VecDeque<T>,
}

impl<T> Outbox<T> {
    /// Opens an outbox before a ring.
    pub fn open(ring: ring::Sender<T>) -> Outbox<T> {
        Outbox { ring, backlog: VecDeque::new() }
    }

    /// Passes a message on in its order, now or as soon as there is room.
    pub fn push(&mut self, message: T) {
        self.backlog.push_back(message);
        self.flush();
    }

    /// Passes a message on only if there is room now; tells whether it was.
    pub fn try_push(&mut self, message: T) -> bool {
        self.flush();
        !self.has_backlog() && self.ring.send(message).is_ok()
    }

    /// Passes on what waits, as far as there is room.
    pub fn flush(&mut self) {
        while let Some(message) = self.backlog.pop_front() {
            match self.ring.send(message) {
                Ok(()) => {}
                Err(ring::SendError::Full(message)) => {
                    self.backlog.push_front(message);
                    return;
                }
                // Nobody reads any more: the process is ending.
                Err(ring::SendError::Closed(_)) => self.backlog.clear(),
            }
        }
    }

    /// Tells whether anything waits.
    pub fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }
}
