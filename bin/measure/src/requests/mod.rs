//! Measures request routing: the shipped router against simple baselines, with fake callers and
//! backend servers of one deployment.

mod backends;
mod caller;
pub mod case;
mod entries;
pub mod figures;
mod listing;
pub mod policy;
pub mod report;
pub mod server;
mod sim_event;
pub mod simulation;
