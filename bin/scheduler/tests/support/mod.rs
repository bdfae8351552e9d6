//! An in-memory store that fails calls as a test demands.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

/// The fate of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The store decides it, and the answer is lost.
    AnswerLost,
    /// It never reaches the store; the caller sees the same as for a lost answer.
    Dropped,
    /// The store rejects it.
    Refused,
}

#[derive(Debug, Default)]
pub struct Inner {
    pub revision: u64,
    pub keys: BTreeMap<String, (Vec<u8>, u64)>,
    pub fates: Vec<Fate>,
    pub commits: usize,
    pub entries: usize,
    /// Largest sum of the values of a transaction.
    pub txn_bytes: usize,
    /// Size of the largest value that it accepts, if it has a limit.
    pub max_value_bytes: Option<usize>,
}

#[derive(Clone, Debug, Default)]
pub struct Fake(pub Arc<Mutex<Inner>>);

impl Fake {
    pub fn put(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut inner = self.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.keys.insert(key.to_owned(), (value, revision));
        revision
    }

    pub fn has(&self, key: &str) -> bool {
        self.0.lock().unwrap().keys.contains_key(key)
    }
}

impl Inner {
    fn is_too_large(&self, txn: &kv::Txn) -> bool {
        let Some(limit) = self.max_value_bytes else { return false };
        txn.changes.iter().any(|change| match change {
            kv::Change::Put { value, .. } => value.len() > limit,
            kv::Change::Delete { .. } => false,
        })
    }

    fn decide(&mut self, txn: &kv::Txn) -> kv::TxnOutcome {
        let values = txn.changes.iter().map(|change| match change {
            kv::Change::Put { value, .. } => value.len(),
            kv::Change::Delete { .. } => 0,
        });
        self.txn_bytes = self.txn_bytes.max(values.sum());
        self.entries = self.entries.max(txn.preconditions.len() + txn.changes.len());
        let holds = txn.preconditions.iter().all(|guard| match guard {
            kv::Precondition::Missing(key) => !self.keys.contains_key(key),
            kv::Precondition::Unchanged(key, revision) => {
                self.keys.get(key).is_some_and(|(_, current)| current == revision)
            }
            kv::Precondition::Present(key) => self.keys.contains_key(key),
        });
        if !holds {
            let current = txn.preconditions.iter().filter_map(|guard| {
                let (kv::Precondition::Missing(key)
                | kv::Precondition::Unchanged(key, _)
                | kv::Precondition::Present(key)) = guard;
                let (value, revision) = self.keys.get(key)?;
                let (key, value, revision) = (key.clone(), value.clone(), *revision);
                Some(kv::Entry { key, value, revision, lease: 0 })
            });
            return kv::TxnOutcome { applied: false, revision: 0, current: current.collect() };
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                kv::Change::Put { key, value, .. } => {
                    self.keys.insert(key.clone(), (value.clone(), self.revision));
                }
                kv::Change::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        kv::TxnOutcome { applied: true, revision: self.revision, current: Vec::new() }
    }
}

impl Store for Fake {
    async fn read(&self, prefix: &str) -> Result<kv::Snapshot, kv::Error> {
        let inner = self.0.lock().unwrap();
        let found = inner.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, (value, revision))| {
            let (key, value, revision) = (key.clone(), value.clone(), *revision);
            kv::Entry { key, value, revision, lease: 0 }
        });
        Ok(kv::Snapshot { revision: inner.revision, entries: entries.collect() })
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        let mut inner = self.0.lock().unwrap();
        inner.commits += 1;
        let lost = || Err(kv::Error::Unknown(String::from("no answer")));
        match inner.fates.pop() {
            None if inner.is_too_large(&txn) => {
                Err(kv::Error::Refused(String::from("a value is too large")))
            }
            None => Ok(inner.decide(&txn)),
            Some(Fate::AnswerLost) => {
                inner.decide(&txn);
                lost()
            }
            Some(Fate::Dropped) => lost(),
            Some(Fate::Refused) => Err(kv::Error::Unavailable(String::from("busy"))),
        }
    }

    async fn grant(&self, _: Duration) -> Result<kv::LeaseId, kv::Error> {
        Ok(1)
    }

    async fn keep_alive(&self, _: kv::LeaseId) -> Result<Duration, kv::Error> {
        Ok(Duration::from_secs(1))
    }

    async fn revoke(&self, _: kv::LeaseId) -> Result<(), kv::Error> {
        Ok(())
    }

    async fn watch(&self, _: &str, _: u64) -> Result<mpsc::Receiver<Update>, kv::Error> {
        Err(kv::Error::Unavailable(String::from("not watched here")))
    }
}
