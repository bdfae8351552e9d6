//! Records of tasks in the store: read when a cell is acquired, written in batches by its owner.
//!
//! Each batch is guarded by the cell's key, so that an owner that lost the cell writes nothing, and
//! by each record's own revision, so that a delayed batch can't undo a later one.

use std::collections::BTreeMap;

use cowslipchute_base::id;
use cowslipchute_cell::record::Record;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_tenure::key;

/// Maximum number of changes in one transaction; the store accepts 128 operations of each kind.
const CHANGES_MAX: usize = 100;
/// Maximum size of one transaction in bytes; the store accepts one megabyte.
const BYTES_MAX: usize = 800_000;

/// Revisions of the records that the store holds.
pub type Revisions = BTreeMap<id::Job, id::Revision>;

/// The records of a cell.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Records that can be decoded.
    pub records: Vec<Record>,
    /// Revisions of all records.
    pub revisions: Revisions,
}

/// A batch to be written.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Number that the cell assigned to the batch.
    pub number: u64,
    /// Key of the cell's ownership.
    pub owner_key: String,
    /// Revision that this key must have.
    pub owner_revision: id::Revision,
    /// The cell.
    pub cell: id::Cell,
    /// Changes to write.
    pub edits: Vec<Edit>,
}

/// One change of a record.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The job.
    pub job: id::Job,
    /// Current revision of the record; `None` if there is no record.
    pub revision: Option<id::Revision>,
    /// New value; `None` removes the record.
    pub value: Option<Vec<u8>>,
    /// Operations that must take effect only together with this change.
    pub along: kv::Txn,
}

/// Result of writing a batch.
#[derive(Clone, Debug)]
pub struct Written {
    /// `true` if the whole batch is in the store.
    pub complete: bool,
    /// `true` if the cell's key has another revision, so that this owner can write nothing more.
    pub ownership_lost: bool,
    /// Revisions observed during the write, whether or not the batch succeeded.
    pub revisions: Vec<Observed>,
    /// Error of the write, if any.
    pub error: Option<kv::Error>,
}

/// Observed revision of one record.
#[derive(Clone, Debug)]
pub struct Observed {
    /// The job.
    pub job: id::Job,
    /// Revision; `None` if there is no record.
    pub revision: Option<id::Revision>,
}

/// Reads the records of a cell.
///
/// # Errors
///
/// When the store can't be read.
pub async fn load<S: Store>(store: &S, cell: &id::Cell) -> Result<Loaded, kv::Error> {
    let prefix = key::records(cell);
    let snapshot = store.read(&prefix).await?;
    let mut loaded = Loaded::default();
    for entry in snapshot.entries {
        let Some(job) = entry.key.strip_prefix(&prefix) else { continue };
        loaded.revisions.insert(job.into(), entry.revision);
        if let Ok(record) = serde_json::from_slice(&entry.value) {
            loaded.records.push(record);
        }
    }
    Ok(loaded)
}

/// Writes a batch, in as many transactions as its size requires. Stops at the first failure.
pub async fn write<S: Store>(store: &S, batch: &Batch) -> Written {
    let mut written =
        Written { complete: true, ownership_lost: false, revisions: Vec::new(), error: None };
    for part in parts(&batch.edits) {
        match store.commit(txn(batch, part)).await {
            Ok(verdict) if verdict.applied => note_applied(part, verdict.revision, &mut written),
            Ok(verdict) => note_refused(batch, part, &verdict, &mut written),
            Err(kv::Error::Unknown(why)) => settle(store, batch, part, why, &mut written).await,
            Err(error) => {
                written.complete = false;
                written.error = Some(error);
            }
        }
        if !written.complete {
            break;
        }
    }
    written
}

/// Splits a batch so that no transaction exceeds the limits.
fn parts(edits: &[Edit]) -> Vec<&[Edit]> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    let mut changes = 0;
    for (index, edit) in edits.iter().enumerate() {
        let size = edit.value.as_ref().map_or(0, Vec::len);
        let count = 1 + edit.along.changes.len();
        if index > start && (bytes + size > BYTES_MAX || changes + count > CHANGES_MAX) {
            parts.push(&edits[start..index]);
            (start, bytes, changes) = (index, 0, 0);
        }
        bytes += size;
        changes += count;
    }
    if start < edits.len() {
        parts.push(&edits[start..]);
    }
    parts
}

fn txn(batch: &Batch, part: &[Edit]) -> kv::Txn {
    let owned = kv::Precondition::Unchanged(batch.owner_key.clone(), batch.owner_revision);
    let mut txn = kv::Txn { preconditions: vec![owned], changes: Vec::new() };
    for edit in part {
        let key = key::record(&batch.cell, &edit.job);
        txn.preconditions.push(match edit.revision {
            Some(revision) => kv::Precondition::Unchanged(key.clone(), revision),
            None => kv::Precondition::Missing(key.clone()),
        });
        match &edit.value {
            Some(value) => {
                txn.changes.push(kv::Change::Put { key, value: value.clone(), lease: 0 });
            }
            None => txn.changes.push(kv::Change::Delete { key }),
        }
        txn.preconditions.extend(edit.along.preconditions.iter().cloned());
        txn.changes.extend(edit.along.changes.iter().cloned());
    }
    txn
}

fn note_applied(part: &[Edit], revision: id::Revision, written: &mut Written) {
    for edit in part {
        let revision = edit.value.as_ref().map(|_| revision);
        written.revisions.push(Observed { job: edit.job.clone(), revision });
    }
}

fn note_refused(batch: &Batch, part: &[Edit], verdict: &kv::TxnOutcome, written: &mut Written) {
    written.complete = false;
    let at = |key: &str| verdict.current.iter().find(|entry| entry.key == key);
    let owner = at(&batch.owner_key);
    written.ownership_lost = owner.is_none_or(|entry| entry.revision != batch.owner_revision);
    for edit in part {
        let revision = at(&key::record(&batch.cell, &edit.job)).map(|entry| entry.revision);
        written.revisions.push(Observed { job: edit.job.clone(), revision });
    }
}

/// Reads the store to determine whether a transaction whose response was lost took effect. A
/// transaction is atomic, so each of its changes is compared.
async fn settle<S: Store>(
    store: &S,
    batch: &Batch,
    part: &[Edit],
    why: String,
    written: &mut Written,
) {
    written.complete = false;
    written.error = Some(kv::Error::Unknown(why));
    let Ok(owner) = read_one(store, &batch.owner_key).await else { return };
    written.ownership_lost = owner.is_none_or(|entry| entry.revision != batch.owner_revision);
    let mut applied = true;
    for edit in part {
        let key = key::record(&batch.cell, &edit.job);
        let Ok(entry) = read_one(store, &key).await else { return };
        let value = entry.as_ref().map(|entry| &entry.value);
        applied &= value == edit.value.as_ref();
        for change in &edit.along.changes {
            let Ok(made) = is_made(store, change).await else { return };
            applied &= made;
        }
        let revision = entry.map(|entry| entry.revision);
        written.revisions.push(Observed { job: edit.job.clone(), revision });
    }
    // Equal values count only while this placer is the owner: a later owner may have written the
    // same.
    written.complete = applied && !written.ownership_lost;
    if written.complete {
        written.error = None;
    }
}

/// Returns `true` if the store reflects a change.
async fn is_made<S: Store>(store: &S, change: &kv::Change) -> Result<bool, kv::Error> {
    Ok(match change {
        kv::Change::Put { key, value, .. } => {
            read_one(store, key).await?.is_some_and(|entry| entry.value == *value)
        }
        kv::Change::Delete { key } => read_one(store, key).await?.is_none(),
    })
}

/// Reads one key; a prefix read may also return longer keys.
async fn read_one<S: Store>(store: &S, key: &str) -> Result<Option<kv::Entry>, kv::Error> {
    let snapshot = store.read(key).await?;
    Ok(snapshot.entries.into_iter().find(|entry| entry.key == key))
}
