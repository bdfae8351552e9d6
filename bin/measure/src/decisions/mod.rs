//! Cost of an owner's decisions by the size of its cell and the number of open jobs: the shipped
//! planner in virtual time, beside workers that run what they are told.

pub mod cell;
pub mod load;
pub mod report;
pub mod tally;
pub mod worker;
