//! Writes batches of records to an in-memory store that loses responses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_placer::records;
use cowslipchute_placer::records::Batch;
use cowslipchute_placer::records::Edit;
use cowslipchute_placer::records::Written;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_tenure::key;
use tokio::sync::mpsc;
use yare::parameterized;

const CELL: &str = "a/0";
const OWNER: &str = "/cowslipchute/cell/a/0";

/// Outcome of the next commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Applied,
    Dropped,
}

#[derive(Debug, Default)]
struct State {
    revision: id::Revision,
    entries: BTreeMap<String, kv::Entry>,
    loss: Option<Loss>,
    sizes: Vec<usize>,
}

#[derive(Clone, Debug, Default)]
struct Memory {
    state: Arc<Mutex<State>>,
}

impl Memory {
    fn owned() -> Memory {
        let memory = Memory::default();
        memory.put(OWNER, b"owner");
        memory
    }

    fn put(&self, key: &str, value: &[u8]) -> id::Revision {
        self.state.lock().expect("no panic").put(key, value.to_vec())
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().expect("no panic");
        state.entries.get(key).map(|entry| entry.value.clone())
    }

    fn lose(&self, loss: Loss) {
        self.state.lock().expect("no panic").loss = Some(loss);
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>) -> id::Revision {
        self.revision += 1;
        let revision = self.revision;
        let entry = kv::Entry { key: key.to_owned(), value, revision, lease: 0 };
        self.entries.insert(key.to_owned(), entry);
        revision
    }

    fn decide(&mut self, txn: &kv::Txn) -> kv::TxnOutcome {
        let entry = |key: &str| self.entries.get(key);
        let holds = txn.preconditions.iter().all(|guard| match guard {
            kv::Precondition::Missing(key) => entry(key).is_none(),
            kv::Precondition::Present(key) => entry(key).is_some(),
            kv::Precondition::Unchanged(key, at) => entry(key).is_some_and(|e| e.revision == *at),
        });
        let current = txn.preconditions.iter().filter_map(|guard| match guard {
            kv::Precondition::Missing(key)
            | kv::Precondition::Present(key)
            | kv::Precondition::Unchanged(key, _) => entry(key).cloned(),
        });
        let current = current.collect();
        if holds {
            self.sizes.push(txn.changes.len());
            self.revision += 1;
            for change in txn.changes.clone() {
                match change {
                    kv::Change::Put { key, value, lease } => {
                        let revision = self.revision;
                        let entry = kv::Entry { key: key.clone(), value, revision, lease };
                        self.entries.insert(key, entry);
                    }
                    kv::Change::Delete { key } => {
                        self.entries.remove(&key);
                    }
                }
            }
        }
        kv::TxnOutcome { applied: holds, revision: self.revision, current }
    }
}

impl Store for Memory {
    async fn read(&self, prefix: &str) -> Result<kv::Snapshot, kv::Error> {
        let state = self.state.lock().expect("no panic");
        let entries = state.entries.values().filter(|entry| entry.key.starts_with(prefix));
        Ok(kv::Snapshot { revision: state.revision, entries: entries.cloned().collect() })
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        let mut state = self.state.lock().expect("no panic");
        let loss = state.loss.take();
        if loss == Some(Loss::Dropped) {
            return Err(kv::Error::Unknown(String::from("lost")));
        }
        let verdict = state.decide(&txn);
        match loss {
            Some(_) => Err(kv::Error::Unknown(String::from("lost"))),
            None => Ok(verdict),
        }
    }

    async fn grant(&self, _ttl: Duration) -> Result<kv::LeaseId, kv::Error> {
        unreachable!("records need no lease")
    }

    async fn keep_alive(&self, _lease: kv::LeaseId) -> Result<Duration, kv::Error> {
        unreachable!("records need no lease")
    }

    async fn revoke(&self, _lease: kv::LeaseId) -> Result<(), kv::Error> {
        unreachable!("records need no lease")
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: id::Revision,
    ) -> Result<mpsc::Receiver<kv::Update>, kv::Error> {
        unreachable!("records need no watch")
    }
}

fn edit(job: &str, revision: Option<id::Revision>, value: Option<&str>) -> Edit {
    let value = value.map(|text| text.as_bytes().to_vec());
    Edit { job: job.into(), revision, value, along: kv::Txn::default() }
}

fn write(memory: &Memory, owner_revision: id::Revision, edits: Vec<Edit>) -> Written {
    let (owner_key, cell) = (OWNER.to_owned(), CELL.into());
    let batch = Batch { number: 1, owner_key, owner_revision, cell, edits };
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(records::write(memory, &batch))
}

fn record(job: &str) -> String {
    key::record(CELL, job)
}

#[parameterized(
    applied = { Loss::Applied, true },
    dropped = { Loss::Dropped, false },
)]
fn a_lost_answer_is_settled_by_reading(loss: Loss, complete: bool) {
    let memory = Memory::owned();
    memory.lose(loss);
    let written = write(&memory, 1, vec![edit("report", None, Some("new"))]);
    assert_eq!(written.complete, complete);
    assert!(!written.ownership_lost);
    assert_eq!(memory.value(&record("report")).is_some(), complete);
    assert_eq!(written.revisions[0].revision.is_some(), complete);
}

#[parameterized(
    removed = { None },
    rewritten = { Some("new") },
)]
fn nothing_is_written_once_the_cell_has_another_owner(value: Option<&str>) {
    let memory = Memory::owned();
    let at = memory.put(&record("report"), b"old");
    memory.put(OWNER, b"another");
    let written = write(&memory, 1, vec![edit("report", Some(at), value)]);
    assert!(written.ownership_lost && !written.complete);
    assert_eq!(memory.value(&record("report")).as_deref(), Some(&b"old"[..]));
}

#[test]
fn an_equal_value_of_another_owner_is_not_taken_for_ours() {
    let memory = Memory::owned();
    memory.put(OWNER, b"another");
    memory.put(&record("report"), b"same");
    memory.lose(Loss::Dropped);
    let written = write(&memory, 1, vec![edit("report", None, Some("same"))]);
    assert!(written.ownership_lost && !written.complete);
}

#[test]
fn a_batch_that_was_overtaken_changes_nothing_and_learns_the_revision() {
    let memory = Memory::owned();
    let first = memory.put(&record("report"), b"first");
    let second = memory.put(&record("report"), b"second");
    let written = write(&memory, 1, vec![edit("report", Some(first), Some("late"))]);
    assert!(!written.complete && !written.ownership_lost);
    assert_eq!(written.revisions[0].revision, Some(second));
    assert_eq!(memory.value(&record("report")).as_deref(), Some(&b"second"[..]));
}

#[test]
fn a_removal_whose_home_did_not_go_is_not_complete() {
    let memory = Memory::owned();
    let home = key::home("report");
    memory.put(&home, b"home");
    memory.lose(Loss::Dropped);
    let delete = kv::Change::Delete { key: home.clone() };
    let along = kv::Txn { preconditions: Vec::new(), changes: vec![delete] };
    let written = write(&memory, 1, vec![Edit { along, ..edit("report", None, None) }]);
    assert!(!written.complete);
    assert!(memory.value(&home).is_some());
}

#[test]
fn a_large_batch_is_split_within_the_limits_of_the_store() {
    let memory = Memory::owned();
    let edits = (0..250).map(|n| edit(&format!("job-{n}"), None, Some("x"))).collect();
    assert!(write(&memory, 1, edits).complete);
    let large = "x".repeat(300_000);
    let edits = (0..4).map(|n| edit(&format!("large-{n}"), None, Some(&large))).collect();
    assert!(write(&memory, 1, edits).complete);
    let sizes = memory.state.lock().expect("no panic").sizes.clone();
    assert_eq!(sizes, [100, 100, 50, 2, 2]);
}
