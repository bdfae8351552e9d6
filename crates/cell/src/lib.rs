//! The task scheduler of one cell: ownership, placement, leases, interference mitigation, recovery.
//!
//! A cell is the workers of a failure domain, or of some of its racks. [`cell::Cell`] is a
//! deterministic state machine: each step takes an [`event::Event`] and the time and returns
//! [`action::Action`]s. It does no I/O, reads no clock and draws randomness only from its seed. The
//! workers' inventories, not the store, are authoritative for what runs; the store holds only what
//! must outlive a worker: jobs, completions, checkpoints.

pub mod action;
pub mod cell;
pub mod event;
pub mod membership;
pub mod record;
pub mod status;

mod account;
mod choose;
mod evict;
mod exchange;
mod failure;
mod fit;
mod interference;
mod inventory;
mod job;
mod jobs;
mod lease;
mod listing;
mod measurement;
mod mitigate;
mod outcome;
mod ownership;
mod place;
mod preempt;
mod queue;
mod quota;
mod report;
mod size;
mod span;
mod stage;
mod stored;
mod worker;
mod writer;

pub use worker::Health;
