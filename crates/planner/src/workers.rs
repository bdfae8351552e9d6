//! Workers: their incarnations, what they run, and the commands to them.

pub(crate) mod command;
pub(crate) mod fence;
pub(crate) mod heartbeat;
pub(crate) mod host;
pub(crate) mod incarnations;
pub(crate) mod late_start;
pub(crate) mod missing;
pub(crate) mod responder;
pub(crate) mod worker;
