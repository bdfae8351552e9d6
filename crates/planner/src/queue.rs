//! Jobs of the cell: their state, and the order in which they are served.

pub(crate) mod account;
pub(crate) mod ahead;
pub(crate) mod bypass;
pub mod durations;
pub(crate) mod end;
pub(crate) mod job;
pub(crate) mod learn;
pub(crate) mod occurrence;
pub(crate) mod policy;
pub(crate) mod rank;
pub mod share;
pub(crate) mod starvation;
pub(crate) mod step;
pub(crate) mod task;
