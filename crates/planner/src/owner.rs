//! The owner's own work: takeovers, its load, and what it may send.

pub mod backpressure;
pub(crate) mod census;
pub(crate) mod forecast;
pub(crate) mod rate_limit;
pub(crate) mod start_window;
pub(crate) mod takeover;
