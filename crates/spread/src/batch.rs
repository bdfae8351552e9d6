//! Batches of changes, with the sender's claim about their completeness.

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::peer;

/// Completeness of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The items are all keys that exist at the batch's revision.
    Whole,
    /// The items are the changes above this revision up to the batch's revision, the last one of
    /// each key.
    After(Revision),
}

/// Changes of keys and the revision to which they bring the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The changes, in ascending order of revision.
    pub items: Vec<peer::Item>,
    /// Revision up to which the batch is complete, within its scope.
    pub revision: Revision,
    /// Completeness of the batch.
    pub scope: Scope,
}

impl Batch {
    /// Converts a snapshot of the store into a batch.
    pub fn from_snapshot(snapshot: kv::Snapshot) -> Batch {
        let mut items: Vec<_> = snapshot.entries.into_iter().map(item).collect();
        items.sort_by_key(|item| item.revision);
        Batch { items, revision: snapshot.revision, scope: Scope::Whole }
    }

    /// Converts one update of a watch into a batch; returns `None` when the watch ended.
    ///
    /// `after` is the revision that the watch had reached. An operator's change writes one
    /// configuration key in one transaction, so an update contains all changes of its revision.
    pub fn from_update(update: kv::Update, after: Revision) -> Option<Batch> {
        let (items, revision) = match update {
            kv::Update::Put(entry) => {
                let revision = entry.revision;
                (vec![item(entry)], revision)
            }
            kv::Update::Deleted { key, revision } => {
                (vec![peer::Item { key, value: None, revision }], revision)
            }
            kv::Update::Progress(revision) => (Vec::new(), revision),
            kv::Update::Ended(_) => return None,
        };
        Some(Batch { items, revision, scope: Scope::After(after) })
    }
}

fn item(entry: kv::Entry) -> peer::Item {
    peer::Item { key: entry.key, value: Some(entry.value), revision: entry.revision }
}
