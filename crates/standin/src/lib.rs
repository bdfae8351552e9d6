//! Stand-ins for the platform, for tests and for trying the system on one machine: the key-value
//! store, the list of instances, backend servers and workers.
//!
//! They guarantee what the platform documents and nothing more, and inject faults on request:
//! delays, lost responses, network partitions, frozen and killed servers. They record how often
//! each request ran and where each task ran, independently of the system under test. They don't
//! simulate time or network: time is real, and each server is reached over loopback.
//!
//! The README of this crate describes the control server and the records.

pub mod backend;
mod builder;
mod connection;
pub mod control;
pub mod fault;
mod host;
pub mod kv;
pub mod list;
mod origin;
pub mod plan;
mod platform;
pub mod report;
pub mod scale;
pub mod site;
pub mod worker;

mod injector;
mod standin;

pub use plan::Plan;
pub use standin::Addresses;
pub use standin::Endpoint;
pub use standin::Standin;
pub use standin::open;
