//! Workers: their incarnations, what they run, and the commands to them.

pub(crate) mod command;
pub(crate) mod heartbeat;
pub(crate) mod host;
pub(crate) mod incarnations;
pub(crate) mod worker;
