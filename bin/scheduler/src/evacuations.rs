//! The operator's evacuations of failure domains: which the store holds, told to the planner.
//!
//! A new owner reads them before it owns the cell, so that it starts nothing that is forbidden, and follows them from
//! that revision on. While the store can't be read what was known stays in force.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::event::Event;
use cowslipchute_platform::operator;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use tokio::sync::mpsc;

use crate::event;
use crate::log::Log;
use crate::watcher;
use crate::watcher::Change;

/// Pause before a read that did not come through is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The evacuations that the store holds, as of a revision.
#[derive(Clone, Debug)]
pub struct Evacuations {
    domains: BTreeSet<id::Domain>,
    revision: Revision,
    log: Log,
}

impl Evacuations {
    /// Opens an empty set.
    pub fn open(log: Log) -> Evacuations {
        Evacuations { domains: BTreeSet::new(), revision: 0, log }
    }

    /// Reads them, again and again until the store answers.
    pub async fn read<S: Store>(store: &S, log: &Log) -> Evacuations {
        loop {
            match store.read(operator::EVACUATIONS).await {
                Ok(snapshot) => {
                    let mut evacuations = Evacuations::open(log.clone());
                    evacuations.apply(Change::Snapshot(snapshot));
                    return evacuations;
                }
                Err(error) => {
                    event!(log, LogEvent::StoreLost, "prefix" => operator::EVACUATIONS,
                        "reason" => error.to_string());
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns what the planner is to be told of them.
    pub fn event(&self) -> Event {
        Event::Evacuated { domains: self.domains.clone() }
    }

    /// Tells of every change until the receiver is gone.
    pub async fn follow<S: Store>(mut self, store: S, events: mpsc::UnboundedSender<Event>) {
        let after = Some(self.revision);
        let prefix = operator::EVACUATIONS;
        let mut changes = watcher::spawn(store, prefix, after, None, self.log.clone());
        while let Some(first) = changes.recv().await {
            for change in watcher::collect_ready(first, &mut changes) {
                self.apply(change);
            }
            // The receiver is gone only when the ownership is ending.
            let _ = events.send(self.event());
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Snapshot(snapshot) => self.replace(&snapshot),
            Change::Put(entry) => self.insert(&entry),
            Change::Deleted { key, .. } => {
                if let Some(domain) = operator::evacuated(&key) {
                    self.domains.remove(&domain);
                }
            }
        }
    }

    fn replace(&mut self, snapshot: &kv::Snapshot) {
        self.domains.clear();
        self.revision = snapshot.revision;
        snapshot.entries.iter().for_each(|entry| self.insert(entry));
    }

    /// Whatever the text says, the key asks that nothing be started there.
    fn insert(&mut self, entry: &kv::Entry) {
        let Some(domain) = operator::evacuated(&entry.key) else { return };
        if let Err(error) = operator::check_evacuation(&entry.value) {
            event!(self.log, LogEvent::EvacuationInvalid, "key" => entry.key.clone(),
                "reason" => error.to_string());
        }
        self.domains.insert(domain);
    }
}
