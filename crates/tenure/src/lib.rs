//! Ownership of the cells of a failure domain, and the home cell of each job.
//!
//! [`ownership::Manager`] takes an [`event::Event`] and the time and returns [`action::Action`]s.
//! [`election::Election`] does the same for a cell that exactly one process owns at a time, by leader
//! election. Neither does I/O, reads a clock or draws randomness. Ownership is a value in the
//! platform's store that changes only by compare-and-swap, with a rising epoch. What an owner does
//! with its cell is decided by `cowslipchute-cell`; the placer carries the actions out. The design
//! is explained in `docs/design/tenure.md`.

pub mod action;
pub mod directory;
pub mod election;
pub mod event;
pub mod home;
pub mod inquiry;
pub mod key;
pub mod lease;
pub mod owner;
pub mod ownership;
pub mod plan;
pub mod rank;
pub mod snapshot;
pub mod stage;
