//! Ports: traits and message types for communication with the platform, with backend servers and
//! between our processes.
//!
//! Each external protocol is implemented by one adapter behind a trait of this crate. Decision crates
//! use only the message types; they never await anything. Adapters are in `cowslipchute-gateway` and
//! `cowslipchute-peer`, test doubles of the platform in `cowslipchute-standin`.

pub mod backend;
pub mod deployment;
pub mod executor;
pub mod job;
pub mod kv;
pub mod list;
pub mod machine;
pub mod peer;
pub mod worker;
