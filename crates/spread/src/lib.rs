//! Decisions about the distribution of configuration: what is in force at this instance, what a
//! peer lacks, and which peers to pull from and push to.
//!
//! The revision in force never decreases: a change of a key is applied only if its revision is
//! above the present one, and removals are kept as tombstones so that an older write can't restore
//! a key. The crate does no I/O and reads no clock; `cowslipchute-follow` drives it.
//! `docs/design/config.md` has the alternatives and their measurements.

pub mod batch;
pub mod gossip;
pub mod pull;
pub mod push;
pub mod rank;
pub mod replica;
