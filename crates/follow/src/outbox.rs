//! Changes waiting to be sent to the process.
//!
//! The outbox holds at most one entry per key, because only the last change of a key matters, so a
//! slow process can't make it grow without bound. An entry stays here while the ring is full.

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

/// State of the outbox after a flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Everything was sent.
    Empty,
    /// The ring is full; the flush must be retried.
    Waiting,
    /// The process dropped its end of the ring.
    Closed,
}

/// Queue of changes in front of the ring.
#[derive(Debug)]
pub struct Outbox {
    ring: ring::Sender<Change>,
    logger: Logger,
    /// The last unsent change of each key.
    pending: BTreeMap<replica::Key, replica::Version>,
    /// Revision to be announced once `pending` is empty.
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

    /// Sets the revision to be announced after all pending changes.
    pub fn set_in_force(&mut self, revision: Revision) {
        self.in_force = Some(revision);
    }

    /// Sends as many entries as the ring accepts.
    pub fn flush(&mut self) -> Flow {
        while let Some((key, version)) = self.pending.pop_first() {
            let Some(change) = self.decode(&key, &version) else { continue };
            match self.ring.send(change) {
                Ok(()) => {}
                Err(ring::SendError::Closed(_)) => return Flow::Closed,
                Err(ring::SendError::Full(_)) => {
                    self.pending.insert(key, version);
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

    /// Decodes a stored value. An invalid one is skipped, so that the last valid one stays in force
    /// at the process.
    fn decode(&self, key: &replica::Key, version: &replica::Version) -> Option<Change> {
        let (kind, name) = key::parse_config(key)?;
        let name: Arc<str> = name.into();
        let revision = version.revision;
        let Some(value) = &version.value else {
            return Some(Change::Removed { kind, name, revision });
        };
        match Stored::from_bytes(value) {
            Ok(stored) if stored.resource.spec.kind() == kind => {
                Some(Change::Put { name, spec: Box::new(stored.resource.spec), revision })
            }
            Ok(_) => self.reject(key, revision, "the kind is not the key's"),
            Err(error) => self.reject(key, revision, &error.to_string()),
        }
    }

    fn reject(&self, key: &replica::Key, revision: Revision, problem: &str) -> Option<Change> {
        let fields =
            o!("key" => key.to_string(), "revision" => revision, "problem" => problem.to_owned());
        log::emit(&self.logger, Event::ConfigInvalid, fields);
        None
    }
}
