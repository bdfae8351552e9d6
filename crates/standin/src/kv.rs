//! The platform's key-value store: the subset of etcd's JSON gateway that our adapter uses.
//!
//! [`state`] holds the keys and carries out transactions; [`server`] serves HTTP; `stream` serves
//! the watches.

pub mod count;
mod rate;
pub mod server;
mod span;
pub mod state;
mod stream;
