//! Decisions about idempotency keys: who owns a key, and whether a request under it may run.
//!
//! Every entry process holds one [`owner::Owner`]: an [`event::Event`] and the time go in,
//! [`action::Action`]s come out. It does no I/O, reads no clock and draws no randomness. The
//! [`roster::Roster`] of owners changes only by compare-and-swap in the platform's store; the keys
//! themselves are never written there. What is promised, and what is given up for it, stands in
//! `docs/design/keys.md`.

pub mod action;
pub mod event;
pub mod handover;
pub mod owner;
pub mod roster;
pub mod slot;

mod calls;
mod change;
mod listing;
mod owned;
mod table;
mod transfer;
mod verdict;
