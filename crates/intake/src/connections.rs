//! Connections of clients, and which of them is closed when there are too many.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipchute_base::id::Time;

/// Number of a connection, in the order of acceptance.
pub type Id = u64;

/// What a connection does, in the order in which connections are closed for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has never sent a whole head of a request.
    New,
    /// It has no request in progress, after at least one.
    Idle,
    /// It sends the body of a request.
    Receiving,
    /// It has sent a whole request and waits for the response.
    Serving,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    next: Id,
    connections: BTreeMap<Id, (Phase, Time)>,
    /// Connections that may be closed for a new one, the first of them first.
    closable: BTreeSet<(Phase, Time, Id)>,
}

impl Table {
    /// Opens a table for at most this many connections.
    pub fn open(limit: usize) -> Table {
        Table { limit, next: 0, connections: BTreeMap::new(), closable: BTreeSet::new() }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns `true` if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Admits a connection; the second id is that of a connection to be closed for it, which has left
    /// the table. Returns `None` if all others are being served: the new one is to be closed.
    pub fn admit(&mut self, now: Time) -> Option<(Id, Option<Id>)> {
        let closed = match self.connections.len() < self.limit {
            true => None,
            false => Some(self.closable.first()?.2),
        };
        if let Some(closed) = closed {
            self.remove(closed);
        }
        let id = self.next;
        self.next += 1;
        self.insert(id, Phase::New, now);
        Some((id, closed))
    }

    /// Records what a connection does from now on. One that was closed is ignored.
    pub fn enter(&mut self, id: Id, phase: Phase, now: Time) {
        if self.remove(id) {
            self.insert(id, phase, now);
        }
    }

    /// Removes a connection; returns `false` if it isn't there, as after it was closed for another.
    pub fn remove(&mut self, id: Id) -> bool {
        let Some((phase, since)) = self.connections.remove(&id) else { return false };
        self.closable.remove(&(phase, since, id));
        true
    }

    fn insert(&mut self, id: Id, phase: Phase, since: Time) {
        self.connections.insert(id, (phase, since));
        if phase != Phase::Serving {
            self.closable.insert((phase, since, id));
        }
    }
}
