//! Helpers for the tests that run the real processes on loopback: starting, freezing, killing and
//! watching them.
//!
//! The processes are the binaries that were built beside the test; `./test` builds them first.
//! Everything started here is ended by its own id when its handle is dropped. No test depends on
//! how fast the machine is: a test waits for a condition, up to a limit that only a hang reaches.

pub mod await_until;
pub mod cluster;
pub mod crowd;
pub mod http;
pub mod load;
pub mod port;
pub mod process;
pub mod proxy;
pub mod share;
pub mod site;
pub mod soak;
