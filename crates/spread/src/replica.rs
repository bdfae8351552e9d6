//! This instance's replica of the configuration.
//!
//! `in_force` is the revision up to which every change is applied. `floor` is the revision below
//! which not every removal is known, because it was never seen or is compacted; a peer below it
//! gets the whole configuration instead of changes. The invariant `floor <= in_force` makes
//! compaction safe: a change at or below `in_force` is never applied, remembered or not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer;

use crate::batch::Batch;
use crate::batch::Scope;

/// A key of the store, shared between the maps that contain it.
pub type Key = Arc<str>;

/// Maximum number of remembered removals; more than a day of changes at the size expected in two
/// years.
pub const TOMBSTONES_MAX: usize = 65_536;
/// Bytes of keys and values after which a page for a peer ends; the peer then asks for the next
/// one.
pub const PAGE_BYTES: usize = 256 * 1024;

/// The last change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The value, or `None` if the key was removed.
    pub value: Option<Arc<[u8]>>,
    /// Revision of the change.
    pub revision: Revision,
}

/// A change that has just come into force at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The full key.
    pub key: Key,
    /// The new version. The replica may have compacted a removal by the time this is read.
    pub version: Version,
}

/// Relation of a batch to the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It continued from the revision in force, or repeated changes up to it.
    Joined,
    /// Changes between the revision in force and the batch are missing and have to be pulled.
    Gap,
    /// It reaches a lower revision than the one in force.
    Stale,
}

/// Result of applying a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The changes that came into force, in ascending order of revision.
    pub changes: Vec<Change>,
    /// Relation of the batch to the configuration in force before.
    pub continuity: Continuity,
}

/// A page of changes, in ascending order of revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The changes.
    pub batch: Batch,
    /// Whether removals may be missing from the changes.
    pub lacks_removals: bool,
    /// Whether this is the last page.
    pub last: bool,
}

/// The configuration in force at this instance.
#[derive(Clone, Debug)]
pub struct Replica {
    versions: BTreeMap<Key, Version>,
    by_revision: BTreeSet<(Revision, Key)>,
    tombstones: BTreeSet<(Revision, Key)>,
    in_force: Revision,
    floor: Revision,
    tombstones_max: usize,
}

impl Default for Replica {
    fn default() -> Self {
        Replica::with_tombstones_max(TOMBSTONES_MAX)
    }
}

impl Replica {
    /// Creates an empty replica that remembers at most `max` removals.
    pub fn with_tombstones_max(max: usize) -> Replica {
        Replica {
            versions: BTreeMap::new(),
            by_revision: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            in_force: 0,
            floor: 0,
            tombstones_max: max,
        }
    }

    /// Returns the revision up to which every change is in force; zero before the first one.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the revision of the last change, from which a push to a peer continues.
    ///
    /// If [`Replica::in_force`] is higher, nothing changed in between, and a peer that has this
    /// revision lacks nothing: the store's revision also rises with other writes.
    pub fn last_change(&self) -> Revision {
        self.by_revision.last().map_or(0, |(revision, _)| *revision)
    }

    /// Returns the last change of a key.
    pub fn get(&self, key: &str) -> Option<&Version> {
        self.versions.get(key)
    }

    /// Returns the existing keys in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Version)> {
        self.versions.iter().filter(|(_, version)| version.value.is_some())
    }

    /// Returns the number of remembered removals.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Applies the changes of a batch that are newer than those in the replica.
    pub fn apply(&mut self, batch: Batch) -> Applied {
        let before = self.in_force;
        let continuity = match batch.scope {
            Scope::Whole if batch.revision < self.in_force => Continuity::Stale,
            Scope::Whole => Continuity::Joined,
            Scope::After(after) if after > self.in_force => Continuity::Gap,
            Scope::After(_) if batch.revision < self.in_force => Continuity::Stale,
            Scope::After(_) => Continuity::Joined,
        };
        let mut changes = Vec::new();
        if continuity == Continuity::Joined && batch.scope == Scope::Whole {
            self.remove_missing(&batch, &mut changes);
        }
        for item in batch.items {
            self.take(item, &mut changes);
        }
        if continuity == Continuity::Joined {
            if batch.scope == Scope::Whole && batch.revision > self.in_force {
                // Keys that were created and removed since `in_force` were never seen here, so a
                // peer below this revision can't be sent their removals.
                self.floor = batch.revision;
            }
            self.in_force = batch.revision;
            self.compact();
        }
        changes.sort_by_key(|change| change.version.revision);
        assert!(self.in_force >= before, "the revision in force never decreases");
        Applied { changes, continuity }
    }

    /// Removes the keys that a whole configuration no longer contains. The revision of their
    /// removal is unknown but not above that of the batch.
    fn remove_missing(&mut self, batch: &Batch, changes: &mut Vec<Change>) {
        // A removal among the items may be older than the key's last one, which the sender never
        // saw; it doesn't count as present.
        let existing = batch.items.iter().filter(|item| item.value.is_some());
        let present: BTreeSet<&str> = existing.map(|item| item.key.as_str()).collect();
        let missing: Vec<Key> = self
            .iter()
            .filter(|(key, version)| {
                version.revision <= batch.revision && !present.contains(&***key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            let version = Version { value: None, revision: batch.revision };
            changes.push(Change { key: key.clone(), version: version.clone() });
            self.set(key, version);
        }
    }

    fn take(&mut self, item: peer::Item, changes: &mut Vec<Change>) {
        // Every change up to `in_force` is applied, so this one is a repeat or superseded, even if
        // its key is no longer remembered.
        if item.revision <= self.in_force {
            return;
        }
        let key: Key = item.key.into();
        if self.versions.get(&key).is_some_and(|version| version.revision >= item.revision) {
            return;
        }
        let version = Version { value: item.value.map(Arc::from), revision: item.revision };
        changes.push(Change { key: key.clone(), version: version.clone() });
        self.set(key, version);
    }

    fn set(&mut self, key: Key, version: Version) {
        let revision = version.revision;
        let is_removal = version.value.is_none();
        if let Some(old) = self.versions.insert(key.clone(), version) {
            assert!(old.revision <= revision, "the revision of a key never decreases");
            let indexed = (old.revision, key.clone());
            self.by_revision.remove(&indexed);
            self.tombstones.remove(&indexed);
        }
        if is_removal {
            self.tombstones.insert((revision, key.clone()));
        }
        self.by_revision.insert((revision, key));
    }

    /// Drops the oldest removals over the limit, except those above `in_force`, which still protect
    /// against older writes that arrive later.
    fn compact(&mut self) {
        while self.tombstones.len() > self.tombstones_max {
            let Some(oldest) = self.tombstones.first().cloned() else { return };
            if oldest.0 > self.in_force {
                return;
            }
            self.floor = self.floor.max(oldest.0);
            self.versions.remove(&oldest.1);
            self.by_revision.remove(&oldest);
            self.tombstones.remove(&oldest);
        }
    }

    /// Returns everything that a peer lacks which has every change up to `after` in force.
    pub fn since(&self, after: Revision) -> Batch {
        if after < self.floor {
            return self.snapshot();
        }
        self.page(after, usize::MAX).batch
    }

    /// Returns the first changes above `after`, up to about `limit` bytes.
    ///
    /// If `after` is below `floor`, removals may be missing, and the page says so. All pages from
    /// zero on, assembled by [`crate::pull`], nevertheless contain every existing key and the
    /// removals that happen meanwhile, as long as those aren't compacted before the last page.
    pub fn page(&self, after: Revision, limit: usize) -> Page {
        let scope = Scope::After(after);
        let lacks_removals = after < self.floor;
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut reached = after;
        let range = (Bound::Excluded((after, Key::from(KEY_MAX))), Bound::Unbounded);
        for (revision, key) in self.by_revision.range(range) {
            // Changes of one revision stay together, so that the page is complete up to the
            // revision it reaches. So do the few above `in_force`: each may have superseded a
            // change of its key below, which is no longer known here.
            if bytes >= limit && *revision > reached && *revision <= self.in_force {
                let batch = Batch { items, revision: reached, scope };
                return Page { batch, lacks_removals, last: false };
            }
            let item = self.item(key);
            bytes += item.key.len() + item.value.as_ref().map_or(0, Vec::len);
            items.push(item);
            reached = *revision;
        }
        let revision = self.in_force;
        Page { batch: Batch { items, revision, scope }, lacks_removals, last: true }
    }

    /// Returns every existing key and the removals above the batch's revision.
    fn snapshot(&self) -> Batch {
        let is_included =
            |version: &Version| version.value.is_some() || version.revision > self.in_force;
        let versions = self.versions.iter().filter(|(_, version)| is_included(version));
        let mut items: Vec<_> = versions.map(|(key, _)| self.item(key)).collect();
        items.sort_by_key(|item| item.revision);
        Batch { items, revision: self.in_force, scope: Scope::Whole }
    }

    fn item(&self, key: &Key) -> peer::Item {
        let version = &self.versions[key];
        let value = version.value.as_ref().map(|value| value.to_vec());
        peer::Item { key: key.to_string(), value, revision: version.revision }
    }
}

/// A string that sorts after every key, as keys are ASCII.
const KEY_MAX: &str = "\u{10FFFF}";
