//! Removes the ends of jobs that nobody asks for any more, so that the store does not grow for ever.
//!
//! An end tells how a job ended, and keeps a repeated submission from running it again; clients ask
//! for it for a bounded time. Its age isn't stored: a key that is found unchanged in two looks which
//! lie that time apart is old enough. That needs no state beyond one owner's, costs one read of the
//! prefix a period, and begins anew with each owner.

use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_platform::store::TXN_ENTRIES;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Guard;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;

/// Entries of a transaction for one end: its guard and its removal.
const END_ENTRIES: usize = 2;

/// Ends as the last look found them.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    revisions: HashMap<String, Revision>,
}

impl Scanner {
    /// Takes in a look; returns the entries that were there unchanged at the one before.
    pub fn scan(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let before = std::mem::take(&mut self.revisions);
        self.revisions = entries.iter().map(|entry| (entry.key.clone(), entry.revision)).collect();
        entries
            .into_iter()
            .filter(|entry| before.get(&entry.key) == Some(&entry.revision))
            .collect()
    }
}

/// Removes old ends for as long as an ownership lasts, which its caller ends.
pub async fn run<S: Store>(store: S, epoch: Revision, period: Duration, log: Log) {
    let mut seen = Scanner::default();
    loop {
        tokio::time::sleep(period).await;
        let snapshot = match store.read(keys::FINAL_STATES).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                // The next look will do as well.
                event!(log, Event::StoreLost, "prefix" => keys::FINAL_STATES, "reason" => error.to_string());
                continue;
            }
        };
        let old = seen.scan(snapshot.entries);
        let mut removed = 0;
        for part in old.chunks((TXN_ENTRIES - 1) / END_ENTRIES) {
            match store.commit(removal(epoch, part)).await {
                Ok(verdict) if verdict.applied => removed += part.len(),
                // One has changed or is gone, or the cell has another owner, who sweeps anew.
                Ok(_) => {}
                Err(error) => {
                    event!(log, Event::StoreUnsettled, "reason" => error.to_string());
                }
            }
        }
        event!(log, Event::EndsRemoved, "removed" => removed, "kept" => seen.revisions.len() - removed);
    }
}

fn removal(epoch: Revision, entries: &[Entry]) -> kv::Txn {
    let mut txn = kv::Txn::default();
    txn.guards.push(Guard::Unchanged(keys::OWNER.to_owned(), epoch));
    for entry in entries {
        txn.guards.push(Guard::Unchanged(entry.key.clone(), entry.revision));
        txn.changes.push(kv::Change::Delete { key: entry.key.clone() });
    }
    txn
}
