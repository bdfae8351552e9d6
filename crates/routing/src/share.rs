//! This entry's share of a backend server, such that the shares of all entries don't exceed it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Index of this entry among all entries.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// Number of entries.
    pub entries: u16,
    /// Index of this entry, from zero.
    pub entry: u16,
}

/// Returns this entry's share of `connections`.
///
/// Every entry gets the integer part of an even split. The remainder is given, one connection each,
/// to the entries that rank first for this backend server by rendezvous hashing. So the shares
/// never add up to more than the connections. With more entries than connections, each backend
/// server serves a subset of the entries, and a change of one backend server doesn't affect the
/// shares of the others.
pub fn connections(connections: u16, instance: &str, partition: Partition) -> u32 {
    let entries = u32::from(partition.entries.max(1));
    let connections = u32::from(connections);
    let quotient = connections / entries;
    let remainder = connections % entries;
    quotient + u32::from(rank(instance, partition) < remainder)
}

/// Returns the number of entries that rank before this one for a backend server.
fn rank(instance: &str, partition: Partition) -> u32 {
    let weight = |entry: u16| (xxh3_64_with_seed(instance.as_bytes(), u64::from(entry)), entry);
    let own = weight(partition.entry);
    (0..partition.entries).filter(|&entry| weight(entry) > own).count() as u32
}

/// Returns this entry's even share of a backend server's slots in thousandths of a slot, given the
/// number of entries that send it requests.
pub fn slots_milli(slots: u16, entries: u16) -> u32 {
    u32::from(slots) * 1000 / u32::from(entries.max(1))
}
