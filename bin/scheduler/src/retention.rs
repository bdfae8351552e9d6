//! Removes old final states of jobs, so that the store doesn't grow without bound.
//!
//! A final state records how a job ended, and keeps a repeated submission from running it again;
//! clients query it for a bounded time. Its age isn't stored: a key is old enough if two scans that
//! are one such period apart find it unchanged. This needs no state beyond that of one owner, costs
//! one read of the prefix per period, and starts over with each owner.

use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_platform::store::MAX_TXN_ENTRIES;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;

/// Entries that one final state adds to a transaction: its guard and its removal.
const ENTRIES_PER_STATE: usize = 2;

/// Revisions found by the last scan, to detect unchanged entries.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    revisions: HashMap<String, Revision>,
}

impl Scanner {
    /// Records a scan; returns the entries that are unchanged since the previous one.
    pub fn scan(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let before = std::mem::take(&mut self.revisions);
        self.revisions = entries.iter().map(|entry| (entry.key.clone(), entry.revision)).collect();
        entries
            .into_iter()
            .filter(|entry| before.get(&entry.key) == Some(&entry.revision))
            .collect()
    }
}

/// Removes old final states until the caller aborts the task at the end of the ownership.
pub async fn run<S: Store>(store: S, epoch: Revision, period: Duration, log: Log) {
    let mut scanner = Scanner::default();
    loop {
        tokio::time::sleep(period).await;
        let snapshot = match store.read(keys::FINAL_STATES).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                // Removal may wait for the next scan.
                event!(log, Event::StoreLost, "prefix" => keys::FINAL_STATES, "reason" => error.to_string());
                continue;
            }
        };
        let old = scanner.scan(snapshot.entries);
        let mut removed = 0;
        for part in old.chunks((MAX_TXN_ENTRIES - 1) / ENTRIES_PER_STATE) {
            match store.commit(removal(epoch, part)).await {
                Ok(verdict) if verdict.applied => removed += part.len(),
                // An entry has changed or is gone, or the cell has another owner, which runs scans
                // of its own.
                Ok(_) => {}
                Err(error) => {
                    event!(log, Event::StoreUnsettled, "reason" => error.to_string());
                }
            }
        }
        event!(log, Event::EndsRemoved, "removed" => removed, "kept" => scanner.revisions.len() - removed);
    }
}

fn removal(epoch: Revision, entries: &[Entry]) -> kv::Txn {
    let mut txn = kv::Txn::default();
    txn.preconditions.push(Precondition::Unchanged(keys::OWNER.to_owned(), epoch));
    for entry in entries {
        txn.preconditions.push(Precondition::Unchanged(entry.key.clone(), entry.revision));
        txn.changes.push(kv::Change::Delete { key: entry.key.clone() });
    }
    txn
}
