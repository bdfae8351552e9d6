//! Writes the planner's changes to the store. Each write is guarded by the owner key, and each
//! record by the revision at which this owner knows the one that it replaces.
//!
//! The second guard is for writes whose answer was lost: the store may apply one seconds later,
//! when a newer record has taken its place.
//!
//! A transaction that the store refuses permanently is divided until the change at fault is alone, so
//! that it holds back no other job. A record that can't be stored is handed back to the caller.
//! [docs/design/record-size.md](../../../docs/design/record-size.md) has the reasons.

mod entry;

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
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;
use crate::retry::Limiter;
use crate::writer::entry::Entry;

/// The error of a write that was fenced off, since another process owns the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// A change that the store refuses although it is alone in its transaction; nothing of it was
/// written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The job.
    pub job: JobId,
    /// Whether the change itself is at fault: it is a record that can't be stored. Otherwise the
    /// store refuses whatever it is sent, and may take the change later.
    pub lasting: bool,
    /// The size of the record, and the limit or the store's answer.
    pub reason: String,
}

/// The outcome of a transaction.
enum Outcome {
    Stored,
    /// The store refuses it permanently, with this answer.
    Refused(String),
}

/// The writer of one ownership.
#[derive(Clone, Debug)]
pub struct Writer<S> {
    store: S,
    /// Revision of the owner key, which guards every write.
    epoch: Revision,
    /// Revisions of the records in the store. Overlapping writes are about different jobs.
    revisions: Arc<Mutex<HashMap<JobId, Revision>>>,
    /// Size of the largest value that the store accepts.
    max_value_bytes: usize,
    retry: Limiter,
    log: Log,
}

impl<S: Store> Writer<S> {
    /// Opens the writer of an ownership with the revisions of the records found at its start, and
    /// the size in bytes of the largest value that the store accepts.
    pub fn open(
        store: S,
        epoch: Revision,
        revisions: HashMap<JobId, Revision>,
        max_value_bytes: usize,
        log: Log,
    ) -> Writer<S> {
        let revisions = Arc::new(Mutex::new(revisions));
        Writer { store, epoch, revisions, max_value_bytes, retry: Limiter::open(), log }
    }

    /// Writes changes, retrying until the store certainly holds all but those that it refuses.
    /// Returns these.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the cell has another owner; the store may then hold some of the
    /// changes.
    pub async fn write(&self, changes: &[Change]) -> Result<Vec<Refusal>, Fenced> {
        let entries: Vec<Entry> = changes.iter().map(Entry::new).collect();
        let (entries, oversized): (Vec<Entry>, Vec<Entry>) =
            entries.into_iter().partition(|entry| entry.value_bytes() <= self.max_value_bytes);
        let mut refusals = Vec::new();
        for entry in oversized {
            let bytes = entry.value_bytes();
            let reason = format!("{bytes} bytes; a value holds up to {}", self.max_value_bytes);
            refusals.push(Refusal { job: entry.job, lasting: true, reason });
        }
        let mut rest = &entries[..];
        while !rest.is_empty() {
            let (part, later) = rest.split_at(entry::batch_len(rest));
            self.write_divided(part, &mut refusals).await?;
            rest = later;
        }
        Ok(refusals)
    }

    /// Writes the estimates, without a retry: a later write replaces them anyway.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the cell has another owner.
    pub async fn write_estimates(&self, estimates: &Estimates) -> Result<(), Fenced> {
        let value = record::encode(estimates);
        if value.len() > self.max_value_bytes {
            event!(self.log, Event::StoreRefused, "key" => keys::ESTIMATES, "bytes" => value.len(),
                "reason" => format!("a value holds up to {} bytes", self.max_value_bytes));
            return Ok(());
        }
        let txn = kv::Txn {
            preconditions: vec![self.guard()],
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

    /// Writes entries in one transaction, or in smaller and smaller ones if the store refuses it.
    async fn write_divided(
        &self,
        entries: &[Entry],
        refusals: &mut Vec<Refusal>,
    ) -> Result<(), Fenced> {
        let mut parts = vec![entries];
        while let Some(part) = parts.pop() {
            let Outcome::Refused(answer) = self.write_part(part).await? else { continue };
            if let [entry] = part {
                let lasting = entry.is_record() && self.accepts_writes().await;
                let reason = format!("{} bytes: {answer}", entry.value_bytes());
                refusals.push(Refusal { job: entry.job, lasting, reason });
            } else {
                let (first, second) = part.split_at(part.len() / 2);
                parts.extend([second, first]);
            }
        }
        Ok(())
    }

    /// Returns `true` if the store takes another write of this owner right now.
    async fn accepts_writes(&self) -> bool {
        let value = record::encode(&self.epoch);
        let txn = kv::Txn {
            preconditions: vec![self.guard()],
            changes: vec![kv::Change::Put { key: keys::WRITE_CHECK.to_owned(), value, lease: 0 }],
        };
        self.store.commit(txn).await.is_ok_and(|verdict| verdict.applied)
    }

    async fn write_part(&self, entries: &[Entry]) -> Result<Outcome, Fenced> {
        let mut unsettled = false;
        loop {
            let outcome = self.store.commit(self.txn(entries)).await;
            match &outcome {
                Ok(_) | Err(kv::Error::Refused(_)) => self.retry.record_success(),
                Err(_) => self.retry.record_failure(),
            }
            match outcome {
                Ok(verdict) if verdict.applied => {
                    self.record_revisions(entries, verdict.revision);
                    return Ok(Outcome::Stored);
                }
                Ok(verdict) => {
                    let owner_unchanged = |entry: &kv::Entry| {
                        entry.key == keys::OWNER && entry.revision == self.epoch
                    };
                    if !verdict.current.iter().any(owner_unchanged) {
                        return Err(Fenced);
                    }
                    if unsettled && self.is_already_applied(entries, &verdict.current) {
                        return Ok(Outcome::Stored);
                    }
                    self.refresh_revisions(entries, &verdict.current);
                }
                Err(kv::Error::Unknown(reason)) => {
                    unsettled = true;
                    event!(self.log, Event::StoreUnsettled, "reason" => reason);
                }
                Err(kv::Error::Unavailable(_)) => {}
                Err(error @ kv::Error::Refused(_)) => {
                    self.log_refusal(entries, &error);
                    return Ok(Outcome::Refused(error.to_string()));
                }
                Err(error) => self.log_refusal(entries, &error),
            }
            self.retry.wait().await;
        }
    }

    /// Logs a transaction that the store refuses.
    fn log_refusal(&self, entries: &[Entry], error: &kv::Error) {
        let largest = entries.iter().max_by_key(|entry| entry.value_bytes());
        let (key, bytes) = largest.map(|entry| (entry.key(), entry.value_bytes())).unzip();
        event!(self.log, Event::StoreRefused, "key" => key, "bytes" => bytes,
            "changes" => entries.len(), "reason" => error.to_string());
    }

    /// Returns the condition that this process still owns the cell.
    fn guard(&self) -> Precondition {
        Precondition::Unchanged(keys::OWNER.to_owned(), self.epoch)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<JobId, Revision>> {
        panic::lock(&self.revisions)
    }

    fn txn(&self, entries: &[Entry]) -> kv::Txn {
        let mut txn = kv::Txn { preconditions: vec![self.guard()], changes: Vec::new() };
        for entry in entries {
            let known = self.lock().get(&entry.job).copied();
            txn.preconditions.push(match known {
                Some(revision) => Precondition::Unchanged(entry.record_key.clone(), revision),
                None => Precondition::Missing(entry.record_key.clone()),
            });
            txn.changes.extend(entry.changes(known.is_some()));
        }
        txn
    }

    fn record_revisions(&self, entries: &[Entry], revision: Revision) {
        for entry in entries {
            match entry.is_record() {
                true => self.lock().insert(entry.job, revision),
                false => self.lock().remove(&entry.job),
            };
        }
    }

    /// Returns `true`, and adopts the store's revisions, if an earlier attempt whose answer was
    /// lost was applied: every record is then as this attempt would have left it.
    fn is_already_applied(&self, entries: &[Entry], current: &[kv::Entry]) -> bool {
        let applied = entries.iter().all(|entry| {
            let found = current.iter().find(|found| found.key == entry.record_key);
            entry.is_applied(found.map(|found| &found.value[..]))
        });
        if applied {
            self.refresh_revisions(entries, current);
        }
        applied
    }

    /// Adopts the revisions that the store returned.
    fn refresh_revisions(&self, entries: &[Entry], current: &[kv::Entry]) {
        for entry in entries {
            match current.iter().find(|found| found.key == entry.record_key) {
                Some(found) => self.lock().insert(entry.job, found.revision),
                None => self.lock().remove(&entry.job),
            };
        }
    }
}
