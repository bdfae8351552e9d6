//! Writes the planner's changes to the store. Each write is guarded by the owner key, and each
//! record by the revision at which this owner knows the one that it replaces.
//!
//! The second guard is for writes whose answer was lost: the store may apply one seconds later,
//! when a newer record has taken its place.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_base::panic;
use cowslipchute_planner::action::Change;
use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::record;
use cowslipchute_platform::store::MAX_TXN_ENTRIES;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;
use crate::retry::Limiter;

/// The error of a write that was fenced off, since another process owns the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// The writer of one ownership.
#[derive(Clone, Debug)]
pub struct Writer<S> {
    store: S,
    /// Revision of the owner key, which guards every write.
    epoch: Revision,
    /// Revisions of the records in the store. Overlapping writes are about different jobs.
    revisions: Arc<Mutex<HashMap<JobId, Revision>>>,
    retry: Limiter,
    log: Log,
}

impl<S: Store> Writer<S> {
    /// Opens the writer of an ownership with the revisions of the records found at its start.
    pub fn open(
        store: S,
        epoch: Revision,
        revisions: HashMap<JobId, Revision>,
        log: Log,
    ) -> Writer<S> {
        let revisions = Arc::new(Mutex::new(revisions));
        Writer { store, epoch, revisions, retry: Limiter::open(), log }
    }

    /// Writes changes, retrying until the store certainly holds them.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the cell has another owner; the store may then hold some of the
    /// changes.
    pub async fn write(&self, changes: &[Change]) -> Result<(), Fenced> {
        let mut rest = changes;
        while !rest.is_empty() {
            let (part, later) = rest.split_at(batch_len(rest));
            self.write_part(part).await?;
            rest = later;
        }
        Ok(())
    }

    /// Writes the estimates, without a retry: a later write replaces them anyway.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the cell has another owner.
    pub async fn write_estimates(&self, estimates: &Estimates) -> Result<(), Fenced> {
        let value = record::encode(estimates);
        let txn = kv::Txn {
            preconditions: vec![Precondition::Unchanged(keys::OWNER.to_owned(), self.epoch)],
            changes: vec![kv::Change::Put { key: keys::ESTIMATES.to_owned(), value, lease: 0 }],
        };
        match self.store.commit(txn).await {
            Ok(verdict) if !verdict.applied => Err(Fenced),
            Ok(_) => Ok(()),
            Err(error) => {
                let reason = error.to_string();
                event!(self.log, Event::StoreUnsettled, "reason" => reason);
                Ok(())
            }
        }
    }

    async fn write_part(&self, changes: &[Change]) -> Result<(), Fenced> {
        let mut unsettled = false;
        loop {
            let txn = self.txn(changes);
            let wanted = txn.changes.clone();
            let outcome = self.store.commit(txn).await;
            match &outcome {
                Ok(_) => self.retry.record_success(),
                Err(_) => self.retry.record_failure(),
            }
            match outcome {
                Ok(verdict) if verdict.applied => {
                    self.record_revisions(changes, verdict.revision);
                    return Ok(());
                }
                Ok(verdict) => {
                    let owner_unchanged = |entry: &kv::Entry| {
                        entry.key == keys::OWNER && entry.revision == self.epoch
                    };
                    if !verdict.current.iter().any(owner_unchanged) {
                        return Err(Fenced);
                    }
                    if unsettled && self.is_already_applied(changes, &wanted, &verdict.current) {
                        return Ok(());
                    }
                    self.refresh_revisions(changes, &verdict.current);
                }
                Err(kv::Error::Unknown(reason)) => {
                    unsettled = true;
                    event!(self.log, Event::StoreUnsettled, "reason" => reason);
                }
                Err(kv::Error::Unavailable(_)) => {}
                Err(error) => self.log_refusal(&wanted, &error),
            }
            self.retry.wait().await;
        }
    }

    /// Logs a transaction that the store refuses.
    fn log_refusal(&self, changes: &[kv::Change], error: &kv::Error) {
        let values = changes.iter().filter_map(|change| match change {
            kv::Change::Put { key, value, .. } => Some((value.len(), key)),
            kv::Change::Delete { .. } => None,
        });
        let (bytes, key) = values.max().unzip();
        event!(self.log, Event::StoreRefused, "key" => key.cloned(), "bytes" => bytes,
            "changes" => changes.len(), "reason" => error.to_string());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, Revision>> {
        panic::lock(&self.revisions)
    }

    fn txn(&self, changes: &[Change]) -> kv::Txn {
        let mut txn = kv::Txn::default();
        txn.preconditions.push(Precondition::Unchanged(keys::OWNER.to_owned(), self.epoch));
        for change in changes {
            let (Change::Progress { job, .. } | Change::End { job, .. }) = change;
            let key = keys::for_job(keys::RECORDS, *job);
            let known = self.lock().get(job).copied();
            txn.preconditions.push(match known {
                Some(revision) => Precondition::Unchanged(key.clone(), revision),
                None => Precondition::Missing(key.clone()),
            });
            match change {
                Change::Progress { record, .. } => {
                    let value = record.encode();
                    txn.changes.push(kv::Change::Put { key, value, lease: 0 });
                }
                Change::End { state, .. } => {
                    let final_state_key = keys::for_job(keys::FINAL_STATES, *job);
                    let value = record::encode(state);
                    txn.changes.push(kv::Change::Put { key: final_state_key, value, lease: 0 });
                    txn.changes.push(kv::Change::Delete { key: keys::for_job(keys::JOBS, *job) });
                    if known.is_some() {
                        txn.changes.push(kv::Change::Delete { key });
                    }
                }
            }
        }
        txn
    }

    fn record_revisions(&self, changes: &[Change], revision: Revision) {
        for change in changes {
            match change {
                Change::Progress { job, .. } => self.lock().insert(*job, revision),
                Change::End { job, .. } => self.lock().remove(job),
            };
        }
    }

    /// Returns `true`, and adopts the store's revisions, if an earlier attempt whose answer was
    /// lost was applied: every record is then as this attempt would have left it.
    fn is_already_applied(
        &self,
        changes: &[Change],
        wanted: &[kv::Change],
        current: &[kv::Entry],
    ) -> bool {
        let found = |key: &str| current.iter().find(|entry| entry.key == key);
        let progress = changes.iter().filter_map(|change| match change {
            Change::Progress { job, .. } => Some(keys::for_job(keys::RECORDS, *job)),
            Change::End { .. } => None,
        });
        let records_match = progress.into_iter().all(|key| {
            let value = wanted.iter().find_map(|change| match change {
                kv::Change::Put { key: other, value, .. } if *other == key => Some(value),
                _ => None,
            });
            found(&key).is_some_and(|entry| Some(&entry.value) == value)
        });
        let ended = changes.iter().all(|change| match change {
            Change::End { job, .. } => found(&keys::for_job(keys::RECORDS, *job)).is_none(),
            Change::Progress { .. } => true,
        });
        if records_match && ended {
            self.refresh_revisions(changes, current);
        }
        records_match && ended
    }

    /// Adopts the revisions that the store returned.
    fn refresh_revisions(&self, changes: &[Change], current: &[kv::Entry]) {
        for change in changes {
            let (Change::Progress { job, .. } | Change::End { job, .. }) = change;
            let key = keys::for_job(keys::RECORDS, *job);
            match current.iter().find(|entry| entry.key == key) {
                Some(entry) => self.lock().insert(*job, entry.revision),
                None => self.lock().remove(job),
            };
        }
    }
}

/// Returns how many of the first changes fit into one transaction next to the guard of the owner
/// key.
fn batch_len(changes: &[Change]) -> usize {
    let mut entries = 1;
    let fitting = changes.iter().take_while(|change| {
        entries += match change {
            // A guard and the record.
            Change::Progress { .. } => 2,
            // A guard, the final state, and the removals of the job and its record.
            Change::End { .. } => 4,
        };
        entries <= MAX_TXN_ENTRIES
    });
    fitting.count()
}
