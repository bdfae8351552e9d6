//! Rendezvous hashing: all processes that know the same candidates compute the same order, and a
//! candidate that joins or leaves changes only the items for which it ranks first.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the weight of a candidate for an item; the highest weight ranks first.
pub fn weight(item: &str, candidate: &str) -> u64 {
    let mut text = String::with_capacity(item.len() + candidate.len() + 1);
    text.push_str(item);
    text.push('\0');
    text.push_str(candidate);
    xxh3_64(text.as_bytes())
}

/// Returns the number of other candidates that rank before `own`.
pub fn rank<'a>(item: &str, own: &str, candidates: impl Iterator<Item = &'a str>) -> usize {
    let own_weight = (weight(item, own), own);
    candidates.filter(|&other| other != own && (weight(item, other), other) > own_weight).count()
}
