//! Follows a prefix of the store: a read, then a watch from there, again and again.

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

/// First pause after a failed call. Short, since a configuration has to be in force soon after the
/// store is back.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause. All processes together then make a few calls a second to a store that is down.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Changes that may wait for whoever follows them. Some thousand workers make that many in half a second.
const QUEUE: usize = 1024;

/// What a watcher tells.
#[derive(Clone, Debug)]
pub enum Change {
    /// All keys below the prefix, in place of whatever was known.
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

/// Returns a change with all that wait behind it, in order. Whoever takes one change a turn falls behind
/// those who make them as soon as there are more changes than turns.
pub fn collect_ready(first: Change, changes: &mut mpsc::Receiver<Change>) -> Vec<Change> {
    let mut all = vec![first];
    while let Ok(change) = changes.try_recv() {
        all.push(change);
    }
    all
}

/// Starts following a prefix until the receiver is dropped. With `after`, what the prefix held at
/// that revision is known already. With `health`, it is told there whether the store
/// answers: a waiting watch is often the first to be cut.
pub fn spawn<S: Store>(
    store: S,
    prefix: &'static str,
    after: Option<Revision>,
    health: Option<Health>,
    log: Log,
) -> mpsc::Receiver<Change> {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let watcher =
        Watcher { store, prefix, after, sender, health, log, failing: false, asked: clock::now() };
    tokio::spawn(watcher.run());
    receiver
}

struct Watcher<S> {
    store: S,
    prefix: &'static str,
    /// The revision up to which everything was told.
    after: Option<Revision>,
    sender: mpsc::Sender<Change>,
    health: Option<Health>,
    log: Log,
    failing: bool,
    /// The next answer is to a call that was sent then, or later.
    asked: Time,
}

impl<S: Store> Watcher<S> {
    async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
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
                pause = FIRST_PAUSE;
            }
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.7..1.3))).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn failed(&mut self, error: &kv::Error) {
        if !self.failing {
            self.failing = true;
            if let Some(health) = &self.health {
                health.record_failure(self.asked, clock::now());
            }
            let reason = error.to_string();
            event!(self.log, Event::StoreLost, "prefix" => self.prefix, "reason" => reason);
        }
    }

    fn answered(&mut self) {
        let now = clock::now();
        if let Some(health) = &self.health {
            health.record_success(self.asked, now);
        }
        self.asked = now;
        if self.failing {
            self.failing = false;
            event!(self.log, Event::StoreBack, "prefix" => self.prefix);
        }
    }

    /// Follows until the watch ends; without an error only when the receiver is gone.
    async fn follow(&mut self) -> Result<(), kv::Error> {
        self.asked = clock::now();
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
