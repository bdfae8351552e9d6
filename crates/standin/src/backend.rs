//! Backend servers: slots, a small queue, seeded service times, and a record of the requests run.
//!
//! A request may carry a directive in its headers (see [`directive`]) that requests a specific failure.
//! Requests that ran are recorded in the server's own [`log`] and, if they have an id, in the
//! [`runs`] of all servers.

pub mod body;
pub mod directive;
pub mod log;
pub mod plan;
pub mod runs;
pub mod server;
mod slots;
