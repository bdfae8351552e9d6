//! The calls to the store that are out, at most one of each kind, and those that are wanted.

use cowslipchute_base::id::Time;

use crate::event::ReadId;

#[derive(Debug, Default)]
pub(crate) struct Calls {
    reading: Option<ReadId>,
    last_read: ReadId,
    wants_read: bool,
    is_proposing: bool,
    /// No call is made before this, after one that failed.
    not_before: Time,
}

impl Calls {
    /// Asks for a read of the roster as soon as one can be made.
    pub(crate) fn want_read(&mut self) {
        self.wants_read = true;
    }

    /// Asks for a read that begins after now, whatever is out; returns its number.
    pub(crate) fn want_fresh_read(&mut self, now: Time) -> ReadId {
        self.reading = None;
        self.wants_read = true;
        self.not_before = now;
        self.last_read + 1
    }

    /// Begins a read if one is wanted and may be made.
    pub(crate) fn begin_read(&mut self, now: Time) -> Option<ReadId> {
        if !self.wants_read || self.reading.is_some() || now < self.not_before {
            return None;
        }
        self.wants_read = false;
        self.last_read += 1;
        self.reading = Some(self.last_read);
        self.reading
    }

    pub(crate) fn begin_proposal(&mut self) {
        debug_assert!(!self.is_proposing, "one proposal at a time");
        self.is_proposing = true;
    }

    pub(crate) fn end_read(&mut self, read: ReadId) {
        if self.reading == Some(read) {
            self.reading = None;
        }
    }

    /// Only a read tells what a proposal has come to, whatever its answer.
    pub(crate) fn end_proposal(&mut self) {
        self.is_proposing = false;
        self.wants_read = true;
    }

    pub(crate) fn fail(&mut self, not_before: Time) {
        self.reading = None;
        self.is_proposing = false;
        self.wants_read = true;
        self.not_before = not_before;
    }

    /// Tells whether a proposal may be made: what is known is not about to change by a call that
    /// is out, and the last call did not just fail.
    pub(crate) fn may_propose(&self, now: Time) -> bool {
        let is_idle = self.reading.is_none() && !self.wants_read && !self.is_proposing;
        is_idle && now >= self.not_before
    }
}
