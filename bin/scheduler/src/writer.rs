//! Writes what a planner wants the store to hold: as the owner only, and each record only in place
//! of the one that this owner knows to be there.
//!
//! The second guard is for writes whose answer was lost: the store may carry one out seconds later,
//! when a newer record is in its place.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::action::Change;
use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::record;
use cowslipchute_platform::store::TXN_ENTRIES;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Guard;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;
use crate::retry::Limiter;

/// The ownership was lost: another owner's key stands where ours was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Writes for one ownership.
#[derive(Clone, Debug)]
pub struct Writer<S> {
    store: S,
    /// Revision of the seat's key, which guards every write.
    epoch: Revision,
    /// Revisions of the records in the store. Writes that overlap are of different jobs.
    revisions: Arc<Mutex<HashMap<JobId, Revision>>>,
    retry: Limiter,
    log: Log,
}

impl<S: Store> Writer<S> {
    /// Opens the journal of an ownership over the records found at its beginning.
    pub fn open(
        store: S,
        epoch: Revision,
        revisions: HashMap<JobId, Revision>,
        log: Log,
    ) -> Writer<S> {
        let revisions = Arc::new(Mutex::new(revisions));
        Writer { store, epoch, revisions, retry: Limiter::open(), log }
    }

    /// Writes changes until they are surely in the store.
    ///
    /// # Errors
    ///
    /// [`Fenced`] when the cell has another owner; then some may be in the store.
    pub async fn write(&self, changes: &[Change]) -> Result<(), Fenced> {
        let mut rest = changes;
        while !rest.is_empty() {
            let (part, later) = rest.split_at(batch_len(rest));
            self.write_part(part).await?;
            rest = later;
        }
        Ok(())
    }

    /// Writes what was learnt, once: a later write replaces it anyway.
    ///
    /// # Errors
    ///
    /// [`Fenced`] when the cell has another owner.
    pub async fn write_estimates(&self, learnt: &Estimates) -> Result<(), Fenced> {
        let value = record::encode(learnt);
        let txn = kv::Txn {
            guards: vec![Guard::Unchanged(keys::OWNER.to_owned(), self.epoch)],
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
                    self.applied(changes, verdict.revision);
                    return Ok(());
                }
                Ok(verdict) => {
                    let ours = |entry: &kv::Entry| {
                        entry.key == keys::OWNER && entry.revision == self.epoch
                    };
                    if !verdict.current.iter().any(ours) {
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
                Err(_) => {}
            }
            self.retry.wait().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, Revision>> {
        self.revisions.lock().expect("nobody panics while holding the revisions")
    }

    fn txn(&self, changes: &[Change]) -> kv::Txn {
        let mut txn = kv::Txn::default();
        txn.guards.push(Guard::Unchanged(keys::OWNER.to_owned(), self.epoch));
        for change in changes {
            let (Change::Progress { job, .. } | Change::End { job, .. }) = change;
            let key = keys::for_job(keys::RECORDS, *job);
            let known = self.lock().get(job).copied();
            txn.guards.push(match known {
                Some(revision) => Guard::Unchanged(key.clone(), revision),
                None => Guard::Missing(key.clone()),
            });
            match change {
                Change::Progress { record, .. } => {
                    let value = record.encode();
                    txn.changes.push(kv::Change::Put { key, value, lease: 0 });
                }
                Change::End { state, .. } => {
                    let end = keys::for_job(keys::FINAL_STATES, *job);
                    let value = record::encode(state);
                    txn.changes.push(kv::Change::Put { key: end, value, lease: 0 });
                    txn.changes.push(kv::Change::Delete { key: keys::for_job(keys::JOBS, *job) });
                    if known.is_some() {
                        txn.changes.push(kv::Change::Delete { key });
                    }
                }
            }
        }
        txn
    }

    fn applied(&self, changes: &[Change], revision: Revision) {
        for change in changes {
            match change {
                Change::Progress { job, .. } => self.lock().insert(*job, revision),
                Change::End { job, .. } => self.lock().remove(job),
            };
        }
    }

    /// Tells whether an earlier try, whose answer was lost, was carried out: then every record is
    /// as this try would have left it.
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
        let same = progress.into_iter().all(|key| {
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
        if same && ended {
            self.refresh_revisions(changes, current);
        }
        same && ended
    }

    /// Takes over the revisions that the store shows.
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

/// Returns how many of the first changes one transaction can hold beside the guard of the seat.
fn batch_len(changes: &[Change]) -> usize {
    let mut entries = 1;
    let fitting = changes.iter().take_while(|change| {
        entries += match change {
            // A guard and the record.
            Change::Progress { .. } => 2,
            // A guard, the end, and the job and its record to be removed.
            Change::End { .. } => 4,
        };
        entries <= TXN_ENTRIES
    });
    fitting.count()
}
