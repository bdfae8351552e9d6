//! The task scheduler of one cell: ownership, placement, leases, interference mitigation, recovery.
//!
//! A cell is the workers of a failure domain, or of some of its racks. [`cell::Cell`] is a
//! deterministic state machine: each step takes an [`event::Event`] and the time and returns
//! [`action::Action`]s. It does no I/O, reads no clock and draws randomness only from its seed. The
//! workers' inventories, not the store, are authoritative for what runs; the store holds only what
//! must outlive a worker: jobs, completions, checkpoints.

pub mod action;
pub mod cell;
pub mod census;
pub mod event;
pub mod record;
pub mod status;

mod account;
mod blame;
mod choose;
mod evict;
mod exchange;
mod fit;
mod interfere;
mod inventory;
mod job;
mod jobs;
mod lease;
mod ledger;
mod life;
mod listing;
mod outcome;
mod ownership;
mod place;
mod queue;
mod quota;
mod relief;
mod report;
mod size;
mod span;
mod stored;
mod urgent;
mod usage;
mod worker;

pub use worker::Health;
