//! The configuration held by this instance.
//!
//! Two marks order everything. `in_force`: every change up to it is reflected here. `floor`: below
//! it not every removal is known, or still remembered, so a peer that lags behind it is given the
//! whole configuration instead of changes. The invariant `floor <= in_force` makes forgetting safe:
//! a change at or below `in_force` is never taken, remembered or not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer;

use crate::batch::Batch;
use crate::batch::Scope;

/// A key of the store, shared between the tables that hold it.
pub type Key = Arc<str>;

/// Removals that are remembered one by one: more than a day of changes at the size of two years.
pub const TOMBSTONES_MAX: usize = 65_536;
/// Bytes of keys and values after which a page for a peer ends; the peer asks again from there.
pub const PAGE_BYTES: usize = 256 * 1024;

/// The last change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The value, or nothing when the key was removed.
    pub value: Option<Arc<[u8]>>,
    /// Revision of the change.
    pub revision: Revision,
}

/// A change that has just come into force here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The whole key.
    pub key: Key,
    /// What it was changed to. A removal may be forgotten again by the time this is read.
    pub version: Version,
}

/// How a batch fitted onto what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It continued from what is held, or repeated it.
    Joined,
    /// Changes between what is held and the batch are missing; they have to be asked for.
    Gap,
    /// It claims less than what is in force here.
    Stale,
}

/// What applying a batch did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// By rising revision.
    pub changes: Vec<Change>,
    /// How the batch fitted.
    pub continuity: Continuity,
}

/// A part of what is held, by rising revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The changes.
    pub batch: Batch,
    /// Whether removals may be missing among them.
    pub lacks_removals: bool,
    /// Whether nothing comes after them.
    pub last: bool,
}

/// The configuration in force at this instance.
#[derive(Clone, Debug)]
pub struct Replica {
    slots: BTreeMap<Key, Version>,
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
    /// Holds nothing, and will remember at most `max` removals.
    pub fn with_tombstones_max(max: usize) -> Replica {
        Replica {
            slots: BTreeMap::new(),
            by_revision: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            in_force: 0,
            floor: 0,
            tombstones_max: max,
        }
    }

    /// Returns the revision up to which every change is in force here; zero before the first.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the revision of the last change held, which a push to a peer continues from.
    ///
    /// Between this and [`Replica::in_force`] nothing changed, so a peer that has this one lacks
    /// nothing, though the store's own revision went on for other reasons.
    pub fn last_change(&self) -> Revision {
        self.by_revision.last().map_or(0, |(revision, _)| *revision)
    }

    /// Finds the last change of a key.
    pub fn get(&self, key: &str) -> Option<&Version> {
        self.slots.get(key)
    }

    /// Walks the keys that exist, by rising key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Version)> {
        self.slots.iter().filter(|(_, slot)| slot.value.is_some())
    }

    /// Counts the removals that are remembered.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Takes from a batch what is newer than what is held.
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
                // Keys that came and went since `in_force` were never seen here, so their removals
                // can't be told to a peer that lags behind this read.
                self.floor = batch.revision;
            }
            self.in_force = batch.revision;
            self.compact();
        }
        changes.sort_by_key(|change| change.version.revision);
        assert!(self.in_force >= before, "a revision in force never goes back");
        Applied { changes, continuity }
    }

    /// Removes the keys that a whole configuration no longer has. When they were removed isn't
    /// known, only that it was no later than the batch's revision.
    fn remove_missing(&mut self, batch: &Batch, changes: &mut Vec<Change>) {
        // A removal among the items may be older than the last one, which its sender never saw.
        let existing = batch.items.iter().filter(|item| item.value.is_some());
        let present: BTreeSet<&str> = existing.map(|item| item.key.as_str()).collect();
        let missing: Vec<Key> = self
            .iter()
            .filter(|(key, slot)| slot.revision <= batch.revision && !present.contains(&***key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            let slot = Version { value: None, revision: batch.revision };
            changes.push(Change { key: key.clone(), version: slot.clone() });
            self.set(key, slot);
        }
    }

    fn take(&mut self, item: peer::Item, changes: &mut Vec<Change>) {
        // Everything up to `in_force` is reflected, so such a change is a repeat or was overtaken,
        // also where its key is no longer remembered.
        if item.revision <= self.in_force {
            return;
        }
        let key: Key = item.key.into();
        if self.slots.get(&key).is_some_and(|slot| slot.revision >= item.revision) {
            return;
        }
        let slot = Version { value: item.value.map(Arc::from), revision: item.revision };
        changes.push(Change { key: key.clone(), version: slot.clone() });
        self.set(key, slot);
    }

    fn set(&mut self, key: Key, slot: Version) {
        let revision = slot.revision;
        let removed = slot.value.is_none();
        if let Some(old) = self.slots.insert(key.clone(), slot) {
            assert!(old.revision <= revision, "a key never goes back to an older revision");
            let place = (old.revision, key.clone());
            self.by_revision.remove(&place);
            self.tombstones.remove(&place);
        }
        if removed {
            self.tombstones.insert((revision, key.clone()));
        }
        self.by_revision.insert((revision, key));
    }

    /// Forgets the oldest removals over the limit, but none above `in_force`: those still guard
    /// against an older write that is on its way.
    fn compact(&mut self) {
        while self.tombstones.len() > self.tombstones_max {
            let Some(oldest) = self.tombstones.first().cloned() else { return };
            if oldest.0 > self.in_force {
                return;
            }
            self.floor = self.floor.max(oldest.0);
            self.slots.remove(&oldest.1);
            self.by_revision.remove(&oldest);
            self.tombstones.remove(&oldest);
        }
    }

    /// Returns everything that someone lacks who has everything up to `after` in force.
    pub fn since(&self, after: Revision) -> Batch {
        if after < self.floor {
            return self.whole();
        }
        self.page(after, usize::MAX).batch
    }

    /// Returns the first changes above `after`, until they take more than `limit` bytes.
    ///
    /// Below the floor not every removal is among them, which the page tells. The pages from
    /// nothing on are nevertheless everything that exists, with the removals that happen meanwhile,
    /// as long as the removals remembered outlast the asking; [`crate::pull`] puts them together.
    pub fn page(&self, after: Revision, limit: usize) -> Page {
        let scope = Scope::After(after);
        let lacks_removals = after < self.floor;
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut reached = after;
        let range = (Bound::Excluded((after, Key::from(MAX_KEY))), Bound::Unbounded);
        for (revision, key) in self.by_revision.range(range) {
            // Changes of one revision stay together, so that the revision reached is complete. So
            // do the few that are ahead of `in_force`: each may have overtaken a change below it,
            // which is then known here no more.
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

    /// Returns every key that exists, and the removals that are ahead of what the batch claims.
    fn whole(&self) -> Batch {
        let ahead = |slot: &Version| slot.value.is_some() || slot.revision > self.in_force;
        let slots = self.slots.iter().filter(|(_, slot)| ahead(slot));
        let mut items: Vec<_> = slots.map(|(key, _)| self.item(key)).collect();
        items.sort_by_key(|item| item.revision);
        Batch { items, revision: self.in_force, scope: Scope::Whole }
    }

    fn item(&self, key: &Key) -> peer::Item {
        let slot = &self.slots[key];
        let value = slot.value.as_ref().map(|value| value.to_vec());
        peer::Item { key: key.to_string(), value, revision: slot.revision }
    }
}

/// Sorts after every key of ours, which are ASCII.
const MAX_KEY: &str = "\u{10FFFF}";
