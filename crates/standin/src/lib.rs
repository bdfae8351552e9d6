//! Stand-ins for the platform, for tests and for trying the system on one machine: the key-value
//! service, the list of instances, backend servers and workers.
//!
//! They keep the platform's published promises and no others, and they fail on command: late, lost,
//! cut off, frozen, killed. What a promise of ours rests on is recorded here and not by the system
//! under test: which requests ran how often, which task ran where and when. They are no simulator:
//! the time is real, and each server is reached over loopback like the real one.
//!
//! The README beside this crate describes the switchboard and the records.

pub mod backend;
pub mod control;
pub mod fault;
mod host;
pub mod kv;
mod link;
pub mod list;
mod opening;
mod origin;
pub mod plan;
mod platform;
pub mod report;
pub mod site;
pub mod worker;

mod standin;
mod valve;

pub use plan::Plan;
pub use standin::Addresses;
pub use standin::Listening;
pub use standin::Standin;
pub use standin::open;
