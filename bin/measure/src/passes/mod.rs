//! What an owner's turn costs by the size of its cell: the shipped planner in virtual time, on cells that
//! are full of tasks that serve, with steps that wait.
//!
//! The table stands in `docs/MEASUREMENTS.md` beside that of an earlier version, which is had by building
//! this program with that version's planner.

pub mod cell;
pub mod report;
