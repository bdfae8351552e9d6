//! Load on a running scheduler process: the processor time of an owner for each command that the
//! workers of a large platform have received.

pub mod run;
mod usage;
