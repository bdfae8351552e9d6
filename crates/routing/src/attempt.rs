//! Attempts in flight, and the backend servers of recently cancelled ones.

use std::collections::HashMap;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id::Time;

use crate::backend::Backend;
use crate::event::Attempt;
use crate::request::Request;

/// Number of cancelled attempts whose backend servers are remembered; a power of two.
const CANCELLED_MAX: usize = 1024;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// Its request.
    pub request: Id<Request>,
    /// Its backend server.
    pub backend: Id<Backend>,
    /// Time at which it was sent.
    pub sent: Time,
    /// Whether it took the last free slot of the backend server.
    pub at_limit: bool,
}

/// A cancelled attempt.
#[derive(Clone, Copy, Debug)]
struct Cancelled {
    attempt: Attempt,
    backend: Id<Backend>,
}

/// All attempts of one router by number. Numbers are never reused, so that an ending can't be
/// attributed to another attempt.
#[derive(Debug)]
pub struct Attempts {
    last: Attempt,
    in_flight: HashMap<Attempt, InFlight>,
    cancelled: Vec<Option<Cancelled>>,
}

impl Default for Attempts {
    fn default() -> Self {
        Attempts { last: 0, in_flight: HashMap::new(), cancelled: vec![None; CANCELLED_MAX] }
    }
}

impl Attempts {
    /// Adds an attempt and returns its number.
    pub fn begin(&mut self, attempt: InFlight) -> Attempt {
        self.last += 1;
        self.in_flight.insert(self.last, attempt);
        self.last
    }

    /// Removes and returns an attempt that ended, or `None` if it was cancelled or never started.
    pub fn end(&mut self, attempt: Attempt) -> Option<InFlight> {
        self.in_flight.remove(&attempt)
    }

    /// Removes and returns an attempt whose ending is no longer needed.
    pub fn cancel(&mut self, attempt: Attempt) -> InFlight {
        let ended = self.end(attempt).expect("a cancelled attempt is in flight");
        let index = attempt as usize % CANCELLED_MAX;
        self.cancelled[index] = Some(Cancelled { attempt, backend: ended.backend });
        ended
    }

    /// Returns the backend server of a cancelled attempt, if it is still remembered.
    pub fn cancelled_backend(&self, attempt: Attempt) -> Option<Id<Backend>> {
        let index = attempt as usize % CANCELLED_MAX;
        self.cancelled[index]
            .filter(|cancelled| cancelled.attempt == attempt)
            .map(|cancelled| cancelled.backend)
    }

    /// Returns `true` if the number was ever issued.
    pub fn was_issued(&self, attempt: Attempt) -> bool {
        (1..=self.last).contains(&attempt)
    }
}
