//! What is stored for the next owner: records of jobs, and estimates.

pub mod bound;
pub mod estimates;
pub mod record;
pub(crate) mod rewrite;
pub(crate) mod write;
