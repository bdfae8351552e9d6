//! The operator's evacuations of failure domains: follows them in the store and reports them to the
//! planner.
//!
//! A new owner reads them before it runs the cell, so that it starts nothing in an evacuated
//! domain, and follows them from that revision on. While the store can't be read, the last known
//! set stays in force.

use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::event::Event;
use cowslipchute_platform::operator;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::inbox;
use crate::log::Log;
use crate::watcher;
use crate::watcher::Change;

/// Delay before a failed read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The evacuated failure domains as of a revision of the store.
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

    /// Reads the evacuations, retrying until the store answers.
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

    /// Returns the planner event that reports the evacuations.
    pub fn event(&self) -> Event {
        Event::Evacuated { domains: self.domains.clone() }
    }

    /// Sends an event to the planner after every change.
    pub async fn follow<S: Store>(mut self, store: S, events: inbox::Sender) {
        let after = Some(self.revision);
        let prefix = operator::EVACUATIONS;
        let mut changes = watcher::spawn(store, prefix, after, None, self.log.clone());
        while let Some(first) = changes.recv().await {
            for change in watcher::collect_ready(first, &mut changes) {
                self.apply(change);
            }
            events.send(self.event());
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Snapshot(snapshot) => self.replace(&snapshot),
            Change::Put(entry) => self.insert(&entry),
            Change::Deleted { key, .. } => {
                if let Some(domain) = operator::evacuated_domain(&key) {
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

    /// Adds an evacuation. The key alone puts it in force: an invalid value is only logged.
    fn insert(&mut self, entry: &kv::Entry) {
        let Some(domain) = operator::evacuated_domain(&entry.key) else { return };
        if let Err(error) = operator::check_evacuation(&entry.value) {
            event!(self.log, LogEvent::EvacuationInvalid, "key" => entry.key.clone(),
                "reason" => error.to_string());
        }
        self.domains.insert(domain);
    }
}
