//! Decisions about who owns which cell of a failure domain, and which cell is a job's home.
//!
//! [`ownership::Manager`] has one door: an [`event::Event`] and the time go in, [`action::Action`]s
//! come out. [`seat::Seat`] does the same for a cell that one process at a time owns as a whole.
//! Neither does I/O, reads a clock or draws randomness. Ownership is a value in the
//! platform's store that changes only by compare-and-swap under a rising epoch; what an owner does
//! with its cell is `cowslipchute-cell`'s business, and sending is the placer's. The reasons are in
//! `docs/design/tenure.md`.

pub mod action;
pub mod directory;
pub mod event;
pub mod home;
pub mod inquiry;
pub mod key;
pub mod lease;
pub mod owner;
pub mod ownership;
pub mod plan;
pub mod rank;
pub mod seat;
pub mod snapshot;
pub mod stage;
