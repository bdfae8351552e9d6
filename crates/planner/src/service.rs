//! Waits of service tasks: why they wait, for how long, and which capacity they get back.

pub(crate) mod age;
pub(crate) mod decision;
pub(crate) mod freed;
pub(crate) mod held;
pub(crate) mod order;
pub(crate) mod overdue;
pub(crate) mod reclaim;
pub(crate) mod service_wait;
pub(crate) mod way;
