//! Cost of a planner pass by the size of the cell: the shipped planner in virtual time, on cells
//! that are full of service tasks, with steps waiting.
//!
//! `docs/MEASUREMENTS.md` compares the table with that of an earlier planner, measured by building
//! this program with it.

pub mod cell;
pub mod report;
