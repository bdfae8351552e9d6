//! Adapters from our ports to the platform: its key-value service, its list of instances and its
//! workers.
//!
//! An adapter turns one call of a port into at most one request on the wire and sorts what came
//! back into the port's classes of error. It decides nothing: it neither retries nor caches, since
//! only the caller knows whether a repeat is safe and worth its cost (`docs/CAPACITY.md`).

pub mod counted;
pub mod http;
pub mod kv;
pub mod list;
pub mod worker;
