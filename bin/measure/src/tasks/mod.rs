//! Measures task scheduling: the shipped cell against simple baselines, on fake workers whose task
//! sizes, run times and interference are hidden from the policies.

pub mod baseline;
pub mod execute;
pub mod figures;
pub mod fleet;
mod interference;
pub mod machine;
pub mod model;
pub mod policy;
pub mod report;
pub mod run;
mod sim_event;
pub mod simulation;
mod worker_state;
mod workers;
