//! What is in force, and telling the process of it.

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::replica::Continuity;
use cowslipchute_spread::replica::Replica;
use slog::Logger;
use slog::o;
use tokio::sync::watch;

use crate::change::Change;
use crate::outbox::Flow;
use crate::outbox::Outbox;

/// The configuration in force, and the ways to those who want to know.
#[derive(Debug)]
pub struct InForce {
    held: Replica,
    outbox: Outbox,
    mark: watch::Sender<Revision>,
    logger: Logger,
}

impl InForce {
    /// Holds nothing yet.
    pub fn open(
        changes: ring::Sender<Change>,
        mark: watch::Sender<Revision>,
        logger: Logger,
    ) -> InForce {
        let outbox = Outbox::open(changes, logger.clone());
        InForce { held: Replica::default(), outbox, mark, logger }
    }

    /// Returns what is held.
    pub fn held(&self) -> &Replica {
        &self.held
    }

    /// Returns the revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.held.in_force()
    }

    /// Follows the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.mark.subscribe()
    }

    /// Takes what is new in a batch and tells of it.
    pub fn apply(&mut self, batch: Batch) -> Continuity {
        let before = self.revision();
        let applied = self.held.apply(batch);
        let revision = self.revision();
        if applied.continuity == Continuity::Stale {
            log::emit(&self.logger, Event::ConfigIgnored, o!("in_force" => revision));
        }
        if !applied.changes.is_empty() {
            let fields = o!("revision" => revision, "changes" => applied.changes.len());
            log::emit(&self.logger, Event::ConfigApplied, fields);
        }
        self.outbox.extend(applied.changes);
        if revision > before {
            self.outbox.reached(revision);
            self.mark.send_replace(revision);
        }
        applied.continuity
    }

    /// Moves as much as possible to the process.
    pub fn flush(&mut self) -> Flow {
        self.outbox.flush()
    }
}
