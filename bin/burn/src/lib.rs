//! The SLO burn report: the rate at which each service spends its error budget over several windows,
//! and the fractions of it that are attributed to trials, retries and outages of the store.
//!
//! It reads the metrics of entry processes, or samples of them saved earlier, and changes nothing.
//! `docs/design/burn.md` describes how requests are counted.

pub mod cause;
pub mod chart;
pub mod collect;
pub mod command;
pub mod failure;
pub mod metric;
pub mod objective;
pub mod report;
pub mod sample;
pub mod span;
pub mod text;
