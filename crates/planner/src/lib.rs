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
mod admission;
mod advice;
pub mod backpressure;
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
mod overdue;
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
mod refused;
mod reservation;
mod reserve;
mod risk;
mod rollout;
mod room;
mod service_wait;
pub mod settings;
mod start_window;
mod starvation;
mod takeover;
mod throttle;
mod way;
mod worker;
mod write;
