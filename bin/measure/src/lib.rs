//! Measurements of the decisions that ship, driven in seeded virtual time.
//!
//! The decision crates meet small fakes of what stands around them: hidden slots, hidden service
//! times, hidden slowdown between tasks, lagging reports and fixed delays, all on one queue of
//! virtual time. It simulates neither networks nor processes; what the real processes cost is
//! measured over loopback against the running entry. `docs/MEASUREMENTS.md` has the results.

pub mod agenda;
pub mod capacity;
pub mod loopback;
pub mod memory;
pub mod passes;
pub mod processor;
pub mod requests;
pub mod sample;
pub mod tasks;
