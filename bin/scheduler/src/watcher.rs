//! Follows a prefix of the store: reads it, watches it from that revision on, and starts over after
//! a failure.

use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::health::Health;
use crate::log::Log;

/// First delay after a failed call. It is short since a configuration must be in force soon after
/// the store is back.
const INITIAL_BACKOFF: Duration = Duration::from_millis(80);
/// Longest delay between failed calls. All processes together then make a few calls a second to a
/// store that is down.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Changes that may wait for the receiver. A few thousand workers make that many in half a second.
const QUEUE_CAPACITY: usize = 1024;

/// A change of the prefix.
#[derive(Clone, Debug)]
pub enum Change {
    /// All keys below the prefix; replaces what was known before.
    Snapshot(kv::Snapshot),
    /// A key was written.
    Put(kv::Entry),
    /// A key was removed.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// Returns a change and all changes that wait behind it, in order. A receiver that handles one
/// change per iteration of its loop falls behind as soon as changes arrive faster than it iterates.
pub fn collect_ready(first: Change, changes: &mut mpsc::Receiver<Change>) -> Vec<Change> {
    let mut all = vec![first];
    while let Ok(change) = changes.try_recv() {
        all.push(change);
    }
    all
}

/// Starts following a prefix until the receiver is dropped. With `after`, the caller knows the
/// prefix as of that revision already. With `health`, answers and failures are recorded there: a
/// pending watch is often the first call to fail.
pub fn spawn<S: Store>(
    store: S,
    prefix: &'static str,
    after: Option<Revision>,
    health: Option<Health>,
    log: Log,
) -> mpsc::Receiver<Change> {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let watcher = Watcher {
        store,
        prefix,
        after,
        sender,
        health,
        log,
        failing: false,
        sent_at: clock::now(),
    };
    tokio::spawn(watcher.run());
    receiver
}

struct Watcher<S> {
    store: S,
    prefix: &'static str,
    /// Revision up to which all changes were sent.
    after: Option<Revision>,
    sender: mpsc::Sender<Change>,
    health: Option<Health>,
    log: Log,
    failing: bool,
    /// Earliest time at which the call that is answered next was sent.
    sent_at: Time,
}

impl<S: Store> Watcher<S> {
    async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let sender = self.sender.clone();
        loop {
            let before = self.after;
            let outcome = tokio::select! {
                outcome = self.follow() => outcome,
                () = sender.closed() => return,
            };
            match outcome {
                Ok(()) => return,
                Err(kv::Error::Compacted(_)) => self.after = None,
                Err(error) => self.failed(&error),
            }
            if self.after != before {
                backoff = INITIAL_BACKOFF;
            }
            tokio::time::sleep(backoff.mul_f64(rand::random_range(0.7..1.3))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn failed(&mut self, error: &kv::Error) {
        if !self.failing {
            self.failing = true;
            if let Some(health) = &self.health {
                health.record_failure(self.sent_at, clock::now());
            }
            let reason = error.to_string();
            event!(self.log, Event::StoreLost, "prefix" => self.prefix, "reason" => reason);
        }
    }

    fn answered(&mut self) {
        let now = clock::now();
        if let Some(health) = &self.health {
            health.record_success(self.sent_at, now);
        }
        self.sent_at = now;
        if self.failing {
            self.failing = false;
            event!(self.log, Event::StoreBack, "prefix" => self.prefix);
        }
    }

    /// Follows the prefix until the watch ends; returns `Ok` only if the receiver is dropped.
    async fn follow(&mut self) -> Result<(), kv::Error> {
        self.sent_at = clock::now();
        let after = match self.after {
            Some(after) => after,
            None => {
                let snapshot = self.store.read(self.prefix).await?;
                let revision = snapshot.revision;
                self.answered();
                if self.sender.send(Change::Snapshot(snapshot)).await.is_err() {
                    return Ok(());
                }
                self.after = Some(revision);
                revision
            }
        };
        let mut updates = self.store.watch(self.prefix, after).await?;
        while let Some(update) = updates.recv().await {
            let change = match update {
                Update::Put(entry) => Change::Put(entry),
                Update::Deleted { key, revision } => Change::Deleted { key, revision },
                Update::Progress(revision) => {
                    self.after = Some(revision);
                    self.answered();
                    continue;
                }
                Update::Ended(error) => return Err(error),
            };
            if self.sender.send(change).await.is_err() {
                return Ok(());
            }
        }
        Err(kv::Error::Unavailable(String::from("the watch ended")))
    }
}
