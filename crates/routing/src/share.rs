//! How much of one backend server this entry may use, so that all entries together stay within it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// This entry among all entries.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// How many entries there are.
    pub entries: u16,
    /// Which one this is, from zero.
    pub entry: u16,
}

/// Returns this entry's share of `connections`.
///
/// Every entry gets the whole part of an even split. What is left over goes, one each, to the
/// entries that rank first for this backend server by rendezvous hashing. So the shares never add
/// up to more than the connections; in a fleet with more entries than connections each backend
/// server serves a subset of the entries, and a change of one moves nothing else.
pub fn connections(connections: u16, instance: &str, place: Partition) -> u32 {
    let entries = u32::from(place.entries.max(1));
    let connections = u32::from(connections);
    let whole = connections / entries;
    let rest = connections % entries;
    whole + u32::from(rank(instance, place) < rest)
}

/// Counts the entries that rank before this one for a backend server.
fn rank(instance: &str, place: Partition) -> u32 {
    let weight = |entry: u16| (xxh3_64_with_seed(instance.as_bytes(), u64::from(entry)), entry);
    let own = weight(place.entry);
    (0..place.entries).filter(|&entry| weight(entry) > own).count() as u32
}

/// Returns this entry's even share of a backend server's slots in thousandths of a slot, given how
/// many entries send it requests.
pub fn slots_milli(slots: u16, entries: u16) -> u32 {
    u32::from(slots) * 1000 / u32::from(entries.max(1))
}
