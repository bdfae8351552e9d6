//! The platform's list of instances, which shows its members with a lag.
//!
//! [`state`] keeps the recent snapshots; [`server`] serves HTTP.

pub mod server;
pub mod state;
