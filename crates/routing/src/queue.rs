//! Requests that wait for a slot, first come first served within a class.

use std::collections::BTreeMap;

use cowslipchute_base::class::Class;
use cowslipchute_base::entity::Id;

use crate::request::Request;

/// Rank of a request's arrival; a retry keeps it and so goes before later arrivals.
pub type Sequence = u64;

/// The waiting requests of one pool. Their number is bounded by each service's own limit.
#[derive(Debug, Default)]
pub struct Queue {
    paying: BTreeMap<Sequence, Id<Request>>,
    trial: BTreeMap<Sequence, Id<Request>>,
    batch: BTreeMap<Sequence, Id<Request>>,
}

impl Queue {
    fn of(&mut self, class: Class) -> &mut BTreeMap<Sequence, Id<Request>> {
        match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
            Class::Batch => &mut self.batch,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, class: Class, rank: Sequence, request: Id<Request>) {
        let old = self.of(class).insert(rank, request);
        assert!(old.is_none(), "a request waits in one place");
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, class: Class, rank: Sequence) {
        let old = self.of(class).remove(&rank);
        assert!(old.is_some(), "a waiting request is in its queue");
    }

    /// Finds the request of a class that is next.
    pub fn head(&self, class: Class) -> Option<Id<Request>> {
        self.nth(class, 0)
    }

    /// Finds the request of a class before which so many others wait.
    pub fn nth(&self, class: Class, before: usize) -> Option<Id<Request>> {
        self.class(class).values().nth(before).copied()
    }

    /// Tells whether more than one request of a class waits.
    pub fn has_others(&self, class: Class) -> bool {
        self.class(class).len() > 1
    }

    fn class(&self, class: Class) -> &BTreeMap<Sequence, Id<Request>> {
        match class {
            Class::Paying => &self.paying,
            Class::Trial => &self.trial,
            Class::Batch => &self.batch,
        }
    }

    /// Tells whether a request of that class or of one served before it waits.
    pub fn has_waiting(&self, class: Class) -> bool {
        Class::ALL.into_iter().any(|other| other <= class && self.head(other).is_some())
    }
}
