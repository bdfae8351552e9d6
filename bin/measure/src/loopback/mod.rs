//! Load over loopback on the running entry and directly on the backend server. Both sides alternate
//! within one run, so that they see the same load of the machine.

pub mod connection;
pub mod declare;
pub mod drive;
pub mod process;
pub mod report;
