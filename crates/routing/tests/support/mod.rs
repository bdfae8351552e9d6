//! Shared parts of the tests: a router and a membership list, checked after every step.

pub mod check;
pub mod world;
