//! Decisions about jobs of steps on the workers of one cell: who waits, what starts where, what is
//! stopped or slowed down, and what the store has to hold.
//!
//! One door: an event and the time go in, typed actions come out ([`planner::Planner::step`]).
//! Nothing here does I/O or reads a clock. `docs/design/platform.md` gives the ways weighed and
//! the budget; the invariants are:
//!
//! - a run is ordered only after the store holds where it goes, so that a later owner knows every
//!   place where a task may be running;
//! - a task has at most one place at a time; the place is given up only when the worker has said
//!   that the run is over, or when its deadline has surely passed;
//! - an end is acknowledged to a worker only after the store holds what follows from it.

pub mod action;
mod admission;
mod advice;
mod bypass;
mod candidate;
mod census;
mod colocate;
mod command;
mod crash;
mod disruption;
mod end;
pub mod estimates;
mod evacuation;
pub mod event;
mod fit;
mod gang;
mod health;
mod heartbeat;
mod host;
mod idle;
mod incarnations;
mod interference;
mod job;
mod load;
mod locality;
mod measurement;
mod occurrence;
mod pin;
mod place;
pub mod planner;
mod probation;
mod progress;
mod quota;
mod rank;
mod rate_limit;
mod reclaim;
pub mod record;
mod reservation;
mod reserve;
mod risk;
mod rollout;
pub mod settings;
mod takeover;
mod throttle;
mod worker;
mod write;
