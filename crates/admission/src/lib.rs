//! Admission control for jobs, and when rejected jobs may be submitted again.
//!
//! Load pattern: for some seconds several times as many jobs arrive as the cell can run. Without
//! admission control each of them is accepted, most wait until they are worth nothing, and their
//! callers learn of it from a timeout.
//!
//! The owner of a cell publishes a [`forecast::Forecast`] of the work that waits. Every instance
//! that accepts jobs decides on its own, in its [`gate::Gate`], from the latest forecast that it has.
//! Rejections are reported back to the owner, whose [`calendar::Calendar`] spreads the retries.
//!
//! Nothing here does I/O or reads a clock. The invariants are:
//!
//! - a job is rejected only on a forecast that is recent and shows a backlog, and only if its
//!   estimated earliest end exceeds its limit ([`gate::Estimate`]);
//! - the loss of any state here makes the gate admit more jobs, never fewer.
//!
//! The caller makes sure that a rejected job isn't stored, since a client may repeat a submission
//! that was accepted.
//!
//! `docs/design/admission.md` lists the alternatives that were considered.

pub mod calendar;
pub mod demand;
pub mod forecast;
pub mod gate;
pub mod meter;
pub mod outage;
pub mod throughput;
pub mod value;
