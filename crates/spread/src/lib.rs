//! Decisions about the spread of configuration: what is in force at this instance, what a peer
//! lacks, whom to ask and whom to tell.
//!
//! A revision in force never goes back: a change of a key is taken only when its revision is above
//! the one held, and a removal is remembered so that an older write can't bring the key back. The
//! ways that were weighed and their measurements stand in `docs/design/config.md`. Nothing here
//! does I/O or reads a clock; `cowslipchute-follow` drives it.

pub mod batch;
pub mod gossip;
pub mod pull;
pub mod push;
pub mod rank;
pub mod replica;
