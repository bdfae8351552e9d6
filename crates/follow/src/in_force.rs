//! The configuration in force, and the notifications about it.

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

/// The configuration in force, with the channels to its subscribers.
#[derive(Debug)]
pub struct InForce {
    replica: Replica,
    outbox: Outbox,
    revision_sender: watch::Sender<Revision>,
    logger: Logger,
}

impl InForce {
    /// Opens an empty configuration.
    pub fn open(
        changes: ring::Sender<Change>,
        revision_sender: watch::Sender<Revision>,
        logger: Logger,
    ) -> InForce {
        let outbox = Outbox::open(changes, logger.clone());
        InForce { replica: Replica::default(), outbox, revision_sender, logger }
    }

    /// Returns the replica of the configuration.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.replica.in_force()
    }

    /// Returns a receiver of the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision_sender.subscribe()
    }

    /// Applies the new changes of a batch and queues their notifications.
    pub fn apply(&mut self, batch: Batch) -> Continuity {
        let before = self.revision();
        let applied = self.replica.apply(batch);
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
            self.outbox.set_in_force(revision);
            self.revision_sender.send_replace(revision);
        }
        applied.continuity
    }

    /// Sends as many notifications as possible to the process.
    pub fn flush(&mut self) -> Flow {
        self.outbox.flush()
    }
}
