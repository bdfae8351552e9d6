//! Queue of requests that wait for a slot, in order of arrival within a class.

use std::collections::BTreeMap;

use cowslipchute_base::class::Class;
use cowslipchute_base::entity::Id;

use crate::request::Request;

/// Sequence number of a request's arrival; a retry keeps it and goes before later arrivals.
pub type Sequence = u64;

/// The waiting requests of one pool. The limit of each service bounds their number.
#[derive(Debug, Default)]
pub struct Queue {
    paying: BTreeMap<Sequence, Id<Request>>,
    trial: BTreeMap<Sequence, Id<Request>>,
    batch: BTreeMap<Sequence, Id<Request>>,
}

impl Queue {
    fn class_mut(&mut self, class: Class) -> &mut BTreeMap<Sequence, Id<Request>> {
        match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
            Class::Batch => &mut self.batch,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, class: Class, sequence: Sequence, request: Id<Request>) {
        let old = self.class_mut(class).insert(sequence, request);
        assert!(old.is_none(), "a request is queued only once");
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, class: Class, sequence: Sequence) {
        let old = self.class_mut(class).remove(&sequence);
        assert!(old.is_some(), "a waiting request is in its queue");
    }

    /// Returns the first request of a class.
    pub fn head(&self, class: Class) -> Option<Id<Request>> {
        self.nth(class, 0)
    }

    /// Returns the request of a class that has `before` others in front of it.
    pub fn nth(&self, class: Class, before: usize) -> Option<Id<Request>> {
        self.class(class).values().nth(before).copied()
    }

    /// Returns `true` if more than one request of a class waits.
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

    /// Returns `true` if a request of `class` or of a higher class waits.
    pub fn has_waiting(&self, class: Class) -> bool {
        Class::ALL.into_iter().any(|other| other <= class && self.head(other).is_some())
    }
}
