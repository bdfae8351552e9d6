//! Dense ids and the tables they index.
//!
//! A decision crate keeps each kind of entity in one [`Table`] and refers to it by [`Id`], so that
//! state is linear in the number of entities and a slot index is four bytes. Slots are reused; the
//! generation in the id makes a lookup with a stale id fail instead of returning another entry.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Reference to an entry of a [`Table`] of `T`.
pub struct Id<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Id<T> {
    /// Returns the slot, for use as an index into parallel tables.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Id<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Id<T> {}

impl<T> PartialEq for Id<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Id<T> {}

impl<T> PartialOrd for Id<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Id<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> Hash for Id<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> fmt::Debug for Id<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Entries of one kind, looked up by [`Id`] in constant time and iterated in slot order.
#[derive(Clone, Debug)]
pub struct Table<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Table<T> {
    /// Stores `value` and returns its id, which is valid until the entry is removed.
    pub fn insert(&mut self, value: T) -> Id<T> {
        let index = match self.free.pop() {
            Some(index) => index,
            None => self.grow(),
        };
        let slot = &mut self.slots[index as usize];
        debug_assert!(slot.value.is_none(), "a free slot holds no value");
        slot.value = Some(value);
        Id { index, generation: slot.generation, kind: PhantomData }
    }

    fn grow(&mut self) -> u32 {
        let index = u32::try_from(self.slots.len()).expect("a table stays under 2^32 entries");
        self.slots.push(Slot { generation: 0, value: None });
        index
    }

    /// Removes and returns the entry; every copy of its id is stale from now on.
    pub fn remove(&mut self, id: Id<T>) -> Option<T> {
        let slot = self.slots.get_mut(id.index())?;
        if slot.generation != id.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(id.index);
        Some(value)
    }

    /// Returns an entry, or `None` if it was removed.
    pub fn get(&self, id: Id<T>) -> Option<&T> {
        let slot = self.slots.get(id.index())?;
        if slot.generation == id.generation { slot.value.as_ref() } else { None }
    }

    /// Returns an entry for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, id: Id<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(id.index())?;
        if slot.generation == id.generation { slot.value.as_mut() } else { None }
    }

    /// Iterates over the entries in slot order, which is deterministic for a given history.
    pub fn iter(&self) -> impl Iterator<Item = (Id<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let id = Id { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_ref().map(|value| (id, value))
        })
    }

    /// Iterates mutably over the entries in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Id<T>, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let id = Id { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_mut().map(|value| (id, value))
        })
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns `true` if there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T> std::ops::Index<Id<T>> for Table<T> {
    type Output = T;

    /// Returns an entry that is known to exist.
    ///
    /// # Panics
    ///
    /// Panics if the entry was removed: the caller then violated the invariant that an id held in
    /// one table is dropped together with the entry it refers to.
    fn index(&self, id: Id<T>) -> &T {
        self.get(id).expect("an id in use points at a live entry")
    }
}

impl<T> std::ops::IndexMut<Id<T>> for Table<T> {
    /// Returns an entry that is known to exist, for modification. Panics like `index`.
    fn index_mut(&mut self, id: Id<T>) -> &mut T {
        self.get_mut(id).expect("an id in use points at a live entry")
    }
}
