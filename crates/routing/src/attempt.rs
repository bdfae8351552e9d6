//! Attempts in flight, and a short memory of those that were given up.

use std::collections::HashMap;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id::Time;

use crate::backend::Backend;
use crate::event::Attempt;
use crate::request::Request;

/// Given-up attempts whose backend servers are remembered; a power of two.
const GIVEN_UP: usize = 1024;

/// One attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// Its request.
    pub request: Id<Request>,
    /// Its backend server.
    pub backend: Id<Backend>,
    /// When it was sent.
    pub sent: Time,
    /// Whether the backend server had no room left beside it.
    pub at_limit: bool,
}

/// A given-up attempt.
#[derive(Clone, Copy, Debug)]
struct GivenUp {
    attempt: Attempt,
    backend: Id<Backend>,
}

/// All attempts of one router, by number. A number is never given twice, so an ending can't be
/// taken for that of another attempt.
#[derive(Debug)]
pub struct Attempts {
    last: Attempt,
    in_flight: HashMap<Attempt, InFlight>,
    given_up: Vec<Option<GivenUp>>,
}

impl Default for Attempts {
    fn default() -> Self {
        Attempts { last: 0, in_flight: HashMap::new(), given_up: vec![None; GIVEN_UP] }
    }
}

impl Attempts {
    /// Begins an attempt and numbers it.
    pub fn begin(&mut self, attempt: InFlight) -> Attempt {
        self.last += 1;
        self.in_flight.insert(self.last, attempt);
        self.last
    }

    /// Takes out an attempt that ended; nothing, if it was given up or never begun.
    pub fn end(&mut self, attempt: Attempt) -> Option<InFlight> {
        self.in_flight.remove(&attempt)
    }

    /// Takes out an attempt whose ending isn't waited for any more.
    pub fn cancel(&mut self, attempt: Attempt) -> InFlight {
        let ended = self.end(attempt).expect("an attempt is given up while it is in flight");
        let slot = attempt as usize % GIVEN_UP;
        self.given_up[slot] = Some(GivenUp { attempt, backend: ended.backend });
        ended
    }

    /// Finds the backend server of a given-up attempt, if that is still remembered.
    pub fn cancelled_backend(&self, attempt: Attempt) -> Option<Id<Backend>> {
        let slot = attempt as usize % GIVEN_UP;
        self.given_up[slot].filter(|known| known.attempt == attempt).map(|known| known.backend)
    }

    /// Tells whether the number was ever given.
    pub fn was_issued(&self, attempt: Attempt) -> bool {
        (1..=self.last).contains(&attempt)
    }
}
