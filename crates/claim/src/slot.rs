//! Slots: the partitions of the key space.
//!
//! A key always belongs to the same slot, and the roster assigns one owner to each slot. So the
//! size of the roster doesn't depend on the number of keys, and a change of owners moves whole
//! slots.

use cowslipchute_base::id::IdempotencyKey;
use cowslipchute_base::id::Service;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Number of a slot.
pub type Slot = u8;

/// The number of slots. It is part of the protocol, so all processes must agree on it.
pub const COUNT: usize = 256;

/// A key within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Service,
    /// The key as the client sent it.
    pub key: IdempotencyKey,
}

impl Key {
    /// Returns the slot that the key belongs to.
    pub fn slot(&self) -> Slot {
        of(&self.service, &self.key)
    }
}

/// Returns the slot that a key belongs to.
pub fn of(service: &str, key: &str) -> Slot {
    let mut hash = Xxh3::new();
    // The length distinguishes pairs with the same concatenation.
    hash.update(&(service.len() as u64).to_le_bytes());
    hash.update(service.as_bytes());
    hash.update(key.as_bytes());
    hash.digest() as Slot
}

/// Returns all slots in ascending order.
pub fn all() -> impl Iterator<Item = Slot> {
    0..=Slot::MAX
}
