//! Sizes of messages in bytes, estimated for the shipped formats: a call between peers is a QUIC
//! stream with postcard, and the store uses HTTP with JSON and base64.

use cowslipchute_ports::peer::Item;

/// Size of a call between peers and its reply without items: packet headers, acknowledgements and
/// the message.
pub const PEER_CALL: usize = 180;
/// Overhead of an item in a message between peers, beyond its key and value.
const PEER_ITEM: usize = 8;
/// Size of a request to the store and its answer without entries.
pub const STORE_CALL: usize = 500;
/// Overhead of an entry from the store, beyond its encoded key and value.
const STORE_LINE: usize = 160;

/// Returns the size of items in a message between peers.
pub fn peer_items(items: &[Item]) -> usize {
    items.iter().map(|item| PEER_ITEM + raw(item)).sum()
}

/// Returns the size of an entry from the store.
pub fn store_entry(item: &Item) -> usize {
    STORE_LINE + raw(item) * 4 / 3
}

fn raw(item: &Item) -> usize {
    item.key.len() + item.value.as_ref().map_or(0, Vec::len)
}
