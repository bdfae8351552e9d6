//! Measurements of the shipped decision crates in seeded virtual time.
//!
//! Small fakes surround the decision crates: hidden slots, service times and interference, delayed
//! reports and fixed network delays, all on one event queue. Networks and processes aren't
//! simulated; the cost of real processes is measured over loopback on the running entry.
//! `docs/MEASUREMENTS.md` has the results.

pub mod capacity;
pub mod cpu_time;
pub mod decisions;
pub mod event_queue;
pub mod loopback;
pub mod memory;
pub mod owner;
pub mod passes;
pub mod requests;
pub mod sample;
pub mod tasks;
