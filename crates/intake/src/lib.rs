//! Limits on what clients may hold of a process: connections, and bytes of unfinished requests.
//!
//! Load pattern: many clients at once send requests that are each within the limits of a single one,
//! and stop short of the end: of a large body, of a head, or before the first byte. Without a bound
//! on their sum the process runs out of memory, or of descriptors for its own calls.
//!
//! [`connections::Table`] decides which connection is closed when there are too many, and
//! [`bytes::Budget`] which body is refused. Nothing here does I/O or reads a clock. The invariants
//! are:
//!
//! - there are never more connections than the limit, and a new client is admitted as long as any
//!   connection has no request in progress;
//! - a connection with a whole request is never closed for another one;
//! - a body within [`bytes::FREE_BYTES`] is never refused for lack of memory.
//!
//! `docs/design/intake.md` lists the alternatives that were considered.

pub mod bytes;
pub mod connections;
pub mod limits;
