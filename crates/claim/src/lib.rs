//! Ownership of idempotency keys, and decisions on whether a request under a key may run.
//!
//! Every entry process has one [`owner::Owner`], which takes an [`event::Event`] and the time and
//! returns [`action::Action`]s. It does no I/O, reads no clock and draws no randomness. The
//! [`roster::Roster`] of owners changes only by compare-and-swap in the platform's store; the keys
//! themselves are never written there. The guarantees and their costs are described in
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
