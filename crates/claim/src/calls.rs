//! Store calls in flight, at most one of each kind, and requested reads.

use cowslipchute_base::id::Time;

use crate::event::ReadId;

#[derive(Debug, Default)]
pub(crate) struct Calls {
    reading: Option<ReadId>,
    last_read: ReadId,
    is_read_requested: bool,
    is_proposing: bool,
    /// The earliest time of the next call after a failed one.
    retry_at: Time,
}

impl Calls {
    /// Requests a read of the roster.
    pub(crate) fn request_read(&mut self) {
        self.is_read_requested = true;
    }

    /// Requests a read that begins now or later, even if one is in flight, and returns its
    /// identifier.
    pub(crate) fn request_fresh_read(&mut self, now: Time) -> ReadId {
        self.reading = None;
        self.is_read_requested = true;
        self.retry_at = now;
        self.last_read + 1
    }

    /// Begins a read if one is requested and may be made.
    pub(crate) fn begin_read(&mut self, now: Time) -> Option<ReadId> {
        if !self.is_read_requested || self.reading.is_some() || now < self.retry_at {
            return None;
        }
        self.is_read_requested = false;
        self.last_read += 1;
        self.reading = Some(self.last_read);
        self.reading
    }

    pub(crate) fn begin_proposal(&mut self) {
        debug_assert!(!self.is_proposing, "at most one proposal is in flight");
        self.is_proposing = true;
    }

    pub(crate) fn end_read(&mut self, read: ReadId) {
        if self.reading == Some(read) {
            self.reading = None;
        }
    }

    /// Ends a proposal and requests a read, since only a read shows the outcome for certain.
    pub(crate) fn end_proposal(&mut self) {
        self.is_proposing = false;
        self.is_read_requested = true;
    }

    pub(crate) fn fail(&mut self, retry_at: Time) {
        self.reading = None;
        self.is_proposing = false;
        self.is_read_requested = true;
        self.retry_at = retry_at;
    }

    /// Returns `true` if a proposal may be made: no call in flight is about to change what is
    /// known, and the last call has not just failed.
    pub(crate) fn may_propose(&self, now: Time) -> bool {
        let is_idle = self.reading.is_none() && !self.is_read_requested && !self.is_proposing;
        is_idle && now >= self.retry_at
    }
}
