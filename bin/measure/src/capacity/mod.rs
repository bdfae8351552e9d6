//! Cost of each role as a function of size, extrapolated to the size expected in two years.
//!
//! `docs/CAPACITY.md` is the output of this module. A slope is a least-squares line through
//! measurements at three or more sizes; its residual measures the deviation from a line.

pub mod cell;
pub mod config;
pub mod entry;
pub mod fit;
pub mod format;
pub mod http;
pub mod listing;
pub mod load;
pub mod misses;
pub mod report;
pub mod size;
pub mod slope;
pub mod wire;
