//! Workers that follow the rules of `cowslipchute_ports::worker` and record their runs.
//!
//! [`state`] is one worker, without I/O or a clock; [`fleet`] is all workers with their common
//! [`ledger`], which detects a task that runs in two places; [`server`] serves HTTP.

pub mod behavior;
mod command;
pub mod fleet;
mod journal;
pub mod ledger;
mod progress;
mod response;
pub mod server;
mod slot;
pub mod state;
pub mod timing;
