//! Scheduling decisions for the jobs of one cell: which tasks wait, which start on which worker,
//! which are stopped or throttled, and what has to be stored.
//!
//! Events and the current time go in, typed actions come out ([`planner::Planner::step`],
//! [`planner::Planner::advance`]). Nothing here does I/O or reads a clock.
//! `docs/design/platform.md` lists the alternatives considered and the budget. The invariants are:
//!
//! - a start is sent only after the store holds the assignment, so that the next owner knows every
//!   worker on which a task may be running;
//! - a task is assigned to at most one worker at a time; an assignment ends only when the worker
//!   has reported the end of the run, or when its lease has certainly expired;
//! - the end of a run is acknowledged to its worker only after the store holds its consequences.

pub mod action;
mod capacity;
mod colocation;
pub mod event;
mod faults;
mod maintenance;
mod owner;
mod placement;
pub mod planner;
mod queue;
mod records;
mod service;
pub mod settings;
mod verifier;
mod workers;

pub use owner::backpressure;
pub use queue::durations;
pub use queue::share;
pub use records::bound;
pub use records::estimates;
pub use records::record;
