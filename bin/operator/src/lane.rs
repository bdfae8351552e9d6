//! A lane: a key of the store that orders the writes of one operator process.
//!
//! Each write also stores its operation id in its lane's key, guarded by the revision that the
//! previous write left there. When a response is lost, the lane therefore shows the outcome: if it
//! holds the operation id, the write took effect at the lane's revision, even if its resource has
//! since been removed or replaced. If not, one more write to the lane makes the guard of the lost
//! write fail forever. An operation id in the resource's value could show neither the outcome of a
//! removal nor that a write in flight will never arrive.

use std::time::Duration;

use cowslipchute_base::id::Operation;
use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use tokio::time::Instant;

/// Retry delay while determining the outcome of a write.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of attempts of a write whose lane was changed by an older write or by another
/// incarnation of the instance.
const ATTEMPTS_MAX: usize = 4;

/// Value of a lane before its first write.
const INITIAL: Operation = 0;

/// A write to be ordered by a lane.
#[derive(Clone, Debug)]
pub struct Write {
    /// Operation id of the write.
    pub operation: Operation,
    /// Conditions of the write.
    pub guards: Vec<Precondition>,
    /// Changes of the write.
    pub changes: Vec<Change>,
}

/// Reason why a write was not made, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A guard doesn't hold; contains the current entries of the guarded keys. Nothing was changed.
    Refused(Vec<Entry>),
    /// The store can't be reached; nothing was or will be changed.
    Down(String),
    /// The store may have made the change, or may still make it.
    Unknown(String),
}

/// Outcome of a write whose response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settled {
    Made(Revision),
    NotMade,
}

/// A lane, used by one write at a time.
#[derive(Debug)]
pub struct Lane {
    key: String,
    /// Revision of the lane's key; `None` or zero when it has to be read.
    revision: Option<Revision>,
    settled: u64,
}

impl Lane {
    /// Opens the lane with the given key, which is read with the first write.
    pub fn open(key: String) -> Lane {
        Lane { key, revision: None, settled: 0 }
    }

    /// Returns the number of writes whose response was lost and whose outcome was determined.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Performs one write and, if its response is lost, determines its outcome within the time
    /// `within`. Returns the revision of the change.
    ///
    /// # Errors
    ///
    /// When the change was not made, or its outcome is unknown.
    pub async fn commit<S: Store>(
        &mut self,
        store: &S,
        write: &Write,
        within: Duration,
    ) -> Result<Revision, Error> {
        for _ in 0..ATTEMPTS_MAX {
            let expected = self.expected(store).await?;
            // Until the response arrives, the lane's revision is unknown, also if this call is
            // dropped.
            self.revision = None;
            match store.commit(self.txn(write, expected)).await {
                Ok(verdict) if verdict.applied => {
                    self.revision = Some(verdict.revision);
                    return Ok(verdict.revision);
                }
                Ok(verdict) => {
                    let found = self.found(&verdict.current);
                    self.revision = Some(found);
                    if found == expected {
                        let others = |entry: &Entry| entry.key != self.key;
                        return Err(Error::Refused(
                            verdict.current.into_iter().filter(others).collect(),
                        ));
                    }
                }
                Err(kv::Error::Unavailable(text)) => {
                    self.revision = Some(expected);
                    return Err(Error::Down(text));
                }
                Err(error) => return self.settle(store, write, expected, error, within).await,
            }
        }
        Err(Error::Down(String::from("the lane of this process is moved by another one")))
    }

    /// Returns the revision of the lane's key, which is created if it doesn't exist.
    ///
    /// A write is never guarded by a missing key: a later incarnation of this instance removes the
    /// lanes of earlier ones, so a key that a write created and that was then removed looks the
    /// same as one that never existed.
    async fn expected<S: Store>(&mut self, store: &S) -> Result<Revision, Error> {
        // No part of the write is sent here, so on any failure it is certain that it wasn't made.
        let down = |error: kv::Error| Error::Down(error.to_string());
        if let Some(revision) = self.revision.filter(|revision| *revision > 0) {
            return Ok(revision);
        }
        if let Some(entry) = self.read(store).await.map_err(down)? {
            return Ok(entry.revision);
        }
        let guards = vec![Precondition::Missing(self.key.clone())];
        let txn = Txn { preconditions: guards, changes: vec![self.mark(INITIAL)] };
        let verdict = store.commit(txn).await.map_err(down)?;
        Ok(if verdict.applied { verdict.revision } else { self.found(&verdict.current) })
    }

    async fn read<S: Store>(&self, store: &S) -> Result<Option<Entry>, kv::Error> {
        let snapshot = store.read(&self.key).await?;
        Ok(snapshot.entries.into_iter().find(|entry| entry.key == self.key))
    }

    fn found(&self, current: &[Entry]) -> Revision {
        current.iter().find(|entry| entry.key == self.key).map_or(0, |entry| entry.revision)
    }

    fn txn(&self, write: &Write, expected: Revision) -> Txn {
        let mut guards = write.guards.clone();
        guards.push(Precondition::Unchanged(self.key.clone(), expected));
        let mut changes = write.changes.clone();
        changes.push(self.mark(write.operation));
        Txn { preconditions: guards, changes }
    }

    fn mark(&self, operation: Operation) -> Change {
        Change::Put { key: self.key.clone(), value: value(operation), lease: 0 }
    }

    async fn settle<S: Store>(
        &mut self,
        store: &S,
        write: &Write,
        expected: Revision,
        lost: kv::Error,
        within: Duration,
    ) -> Result<Revision, Error> {
        let deadline = Instant::now() + within;
        loop {
            let settled = self.try_settle(store, write.operation, expected).await;
            self.settled += u64::from(settled.is_some());
            match settled {
                Some(Settled::Made(revision)) => return Ok(revision),
                Some(Settled::NotMade) => return Err(Error::Down(lost.to_string())),
                None => {}
            }
            if Instant::now() + SETTLE_RETRY_DELAY >= deadline {
                return Err(Error::Unknown(lost.to_string()));
            }
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        }
    }

    /// Reads the lane and, if the write isn't there yet, prevents it from taking effect later.
    async fn try_settle<S: Store>(
        &mut self,
        store: &S,
        operation: Operation,
        expected: Revision,
    ) -> Option<Settled> {
        let bar = !operation;
        let entry = self.read(store).await.ok()?;
        let (revision, held) = entry.map_or((0, Vec::new()), |entry| (entry.revision, entry.value));
        if held == value(operation) {
            self.revision = Some(revision);
            return Some(Settled::Made(revision));
        }
        if held == value(bar) {
            self.revision = Some(revision);
            return Some(Settled::NotMade);
        }
        if revision != expected {
            // Only another incarnation of this instance can have changed or removed the lane,
            // perhaps after the write took effect, so the outcome can no longer be determined.
            return None;
        }
        let guards = vec![Precondition::Unchanged(self.key.clone(), expected)];
        let txn = Txn { preconditions: guards, changes: vec![self.mark(bar)] };
        let verdict = store.commit(txn).await.ok()?;
        if !verdict.applied {
            return None;
        }
        self.revision = Some(verdict.revision);
        Some(Settled::NotMade)
    }
}

fn value(operation: Operation) -> Vec<u8> {
    format!("{operation:032x}").into_bytes()
}
