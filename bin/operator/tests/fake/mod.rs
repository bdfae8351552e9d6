// Each test file uses only some of these helpers.
#![allow(dead_code)]
//! An in-memory store whose next commits fail as configured.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::LeaseId;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Snapshot;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::TxnOutcome;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

/// Outcome of one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Committed and answered.
    Answered,
    /// Refused before it had any effect.
    Refused,
    /// Committed, but the response is lost.
    AnswerLost,
    /// Lost before it reaches the store.
    Lost,
    /// The response is lost, and the commit arrives only when [`Fake::release`] is called.
    Delayed,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    fates: VecDeque<Fate>,
    delayed: Vec<Txn>,
    /// Number of reads that still fail.
    failing_reads: usize,
    commits: usize,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Sets the outcomes of the next commits; later ones succeed and are answered.
    pub fn next(&self, fates: &[Fate]) {
        self.state.lock().expect("not poisoned").fates.extend(fates);
    }

    /// Makes the given number of reads fail.
    pub fn fail_reads(&self, count: usize) {
        self.state.lock().expect("not poisoned").failing_reads = count;
    }

    /// Lets the delayed commits arrive; returns how many of them took effect.
    pub fn release(&self) -> usize {
        let mut state = self.state.lock().expect("not poisoned");
        let delayed = std::mem::take(&mut state.delayed);
        delayed.into_iter().filter(|txn| state.decide(txn).applied).count()
    }

    /// Returns a key's entry.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.state.lock().expect("not poisoned").entries.get(key).cloned()
    }

    /// Returns the number of commits that were sent.
    pub fn commits(&self) -> usize {
        self.state.lock().expect("not poisoned").commits
    }
}

impl State {
    fn holds(&self, guard: &Precondition) -> bool {
        match guard {
            Precondition::Missing(key) => !self.entries.contains_key(key),
            Precondition::Present(key) => self.entries.contains_key(key),
            Precondition::Unchanged(key, revision) => {
                self.entries.get(key).is_some_and(|entry| entry.revision == *revision)
            }
        }
    }

    fn decide(&mut self, txn: &Txn) -> TxnOutcome {
        if !txn.preconditions.iter().all(|guard| self.holds(guard)) {
            let keys = txn.preconditions.iter().map(|guard| match guard {
                Precondition::Missing(key)
                | Precondition::Present(key)
                | Precondition::Unchanged(key, _) => key,
            });
            let current = keys.filter_map(|key| self.entries.get(key).cloned()).collect();
            return TxnOutcome { applied: false, revision: self.revision, current };
        }
        self.revision += 1;
        let revision = self.revision;
        for change in txn.changes.clone() {
            match change {
                Change::Put { key, value, lease } => {
                    let entry = Entry { key: key.clone(), value, revision, lease };
                    self.entries.insert(key, entry);
                }
                Change::Delete { key } => {
                    self.entries.remove(&key);
                }
            }
        }
        TxnOutcome { applied: true, revision, current: Vec::new() }
    }
}

impl Store for Fake {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        let mut state = self.state.lock().expect("not poisoned");
        if state.failing_reads > 0 {
            state.failing_reads -= 1;
            return Err(Error::Unavailable(String::from("down")));
        }
        let found = state.entries.values().filter(|entry| entry.key.starts_with(prefix));
        Ok(Snapshot { revision: state.revision, entries: found.cloned().collect() })
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        let mut state = self.state.lock().expect("not poisoned");
        state.commits += 1;
        let lost = || Error::Unknown(String::from("no answer"));
        match state.fates.pop_front().unwrap_or(Fate::Answered) {
            Fate::Answered => Ok(state.decide(&txn)),
            Fate::Refused => Err(Error::Unavailable(String::from("down"))),
            Fate::Lost => Err(lost()),
            Fate::AnswerLost => {
                state.decide(&txn);
                Err(lost())
            }
            Fate::Delayed => {
                state.delayed.push(txn);
                Err(lost())
            }
        }
    }

    async fn grant(&self, _ttl: Duration) -> Result<LeaseId, Error> {
        unimplemented!("operators take no leases")
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Duration, Error> {
        unimplemented!("operators take no leases")
    }

    async fn revoke(&self, _lease: LeaseId) -> Result<(), Error> {
        unimplemented!("operators take no leases")
    }

    async fn watch(&self, _prefix: &str, _: Revision) -> Result<mpsc::Receiver<Update>, Error> {
        unimplemented!("lanes watch nothing")
    }
}
