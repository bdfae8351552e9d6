//! Adapters from our ports to the platform: its key-value service, its list of instances and its
//! workers.
//!
//! An adapter sends at most one request for each call of a port and maps failures to the error
//! classes of the port. It neither retries nor caches, because only the caller knows whether a
//! retry is safe and worth its cost (`docs/CAPACITY.md`).

pub mod counted;
pub mod http;
pub mod kv;
pub mod list;
pub mod worker;
