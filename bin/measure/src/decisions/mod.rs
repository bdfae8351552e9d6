//! Cost of an owner's decisions by the size of its cell and the number of open jobs: the shipped
//! planner in virtual time, beside workers that carry out its commands.

pub mod cell;
pub mod load;
pub mod report;
pub mod tally;
pub mod worker;
