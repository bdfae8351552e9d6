//! Key ranges of the wire protocol.

use std::ops::Bound;

/// A key.
pub type Key = Vec<u8>;

/// A range of keys.
pub struct Span {
    start: Key,
    end: Bound<Key>,
}

impl Span {
    /// Makes a range from the wire format: an empty end stands for a single key, a zero byte for
    /// all keys from the first one on.
    pub fn new(key: &[u8], range_end: &[u8]) -> Span {
        let end = match range_end {
            [] => Bound::Included(key.to_vec()),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end.to_vec()),
        };
        Span { start: key.to_vec(), end }
    }

    /// Returns `true` if the range contains a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        let before_end = match &self.end {
            Bound::Included(end) => key <= end.as_slice(),
            Bound::Excluded(end) => key < end.as_slice(),
            Bound::Unbounded => true,
        };
        key >= self.start.as_slice() && before_end
    }

    /// Returns `true` if the range ends before it starts. An ordered map panics on such a range, so
    /// callers check this first.
    pub fn is_empty(&self) -> bool {
        matches!(&self.end, Bound::Excluded(end) if *end <= self.start)
    }

    /// Returns the bounds for a lookup in an ordered map.
    pub fn bounds(&self) -> (Bound<Key>, Bound<Key>) {
        (Bound::Included(self.start.clone()), self.end.clone())
    }
}
