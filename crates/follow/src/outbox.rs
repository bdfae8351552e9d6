//! Changes on their way to the process.
//!
//! A slow process lets the outbox grow by at most one entry for each key, since only the last
//! change of a key matters. The ring's refusal is no loss: the entry waits here.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_resource::key;
use cowslipchute_resource::stored::Stored;
use cowslipchute_spread::replica;
use slog::Logger;
use slog::o;

use crate::change::Change;

/// Whether the process still listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Everything was told.
    Empty,
    /// The ring is full; try again soon.
    Waiting,
    /// The process dropped its end.
    Closed,
}

/// Holds changes until the ring takes them.
#[derive(Debug)]
pub struct Outbox {
    ring: ring::Sender<Change>,
    logger: Logger,
    /// The last change of each key that was not told yet.
    pending: BTreeMap<replica::Key, replica::Version>,
    /// To be told once `pending` is empty.
    in_force: Option<Revision>,
}

impl Outbox {
    /// Opens an outbox in front of a ring.
    pub fn open(ring: ring::Sender<Change>, logger: Logger) -> Outbox {
        Outbox { ring, logger, pending: BTreeMap::new(), in_force: None }
    }

    /// Adds changes.
    pub fn extend(&mut self, changes: Vec<replica::Change>) {
        for change in changes {
            self.pending.insert(change.key, change.version);
        }
    }

    /// Sets the revision to be told after everything that waits now.
    pub fn reached(&mut self, revision: Revision) {
        self.in_force = Some(revision);
    }

    /// Moves as much as possible into the ring.
    pub fn flush(&mut self) -> Flow {
        while let Some((key, slot)) = self.pending.pop_first() {
            let Some(change) = self.read(&key, &slot) else { continue };
            match self.ring.send(change) {
                Ok(()) => {}
                Err(ring::SendError::Closed(_)) => return Flow::Closed,
                Err(ring::SendError::Full(_)) => {
                    self.pending.insert(key, slot);
                    return Flow::Waiting;
                }
            }
        }
        let Some(revision) = self.in_force else { return Flow::Empty };
        match self.ring.send(Change::InForce { revision }) {
            Ok(()) => {
                self.in_force = None;
                Flow::Empty
            }
            Err(ring::SendError::Closed(_)) => Flow::Closed,
            Err(ring::SendError::Full(_)) => Flow::Waiting,
        }
    }

    /// Reads a stored value; one that can't be read is left out, so that the last good one stays in
    /// force at the process.
    fn read(&self, key: &replica::Key, slot: &replica::Version) -> Option<Change> {
        let (kind, name) = key::parse_config(key)?;
        let name: Arc<str> = name.into();
        let revision = slot.revision;
        let Some(value) = &slot.value else {
            return Some(Change::Removed { kind, name, revision });
        };
        match Stored::from_bytes(value) {
            Ok(stored) if stored.resource.spec.kind() == kind => {
                Some(Change::Put { name, spec: Box::new(stored.resource.spec), revision })
            }
            Ok(_) => self.refuse(key, revision, "the kind is not the key's"),
            Err(error) => self.refuse(key, revision, &error.to_string()),
        }
    }

    fn refuse(&self, key: &replica::Key, revision: Revision, problem: &str) -> Option<Change> {
        let fields =
            o!("key" => key.to_string(), "revision" => revision, "problem" => problem.to_owned());
        log::emit(&self.logger, Event::ConfigInvalid, fields);
        None
    }
}
