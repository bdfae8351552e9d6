//! The ports: what our processes need from the platform, from backend servers and from each other,
//! as traits and plain messages.
//!
//! An outside protocol is one adapter behind a trait of this crate. Decision crates use only the
//! message types; they never await anything. Adapters live in `cowslipchute-gateway` and
//! `cowslipchute-peer`, the stand-ins in `cowslipchute-standin`.

pub mod backend;
pub mod deployment;
pub mod executor;
pub mod job;
pub mod kv;
pub mod list;
pub mod machine;
pub mod peer;
pub mod worker;
