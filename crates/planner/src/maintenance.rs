//! Maintenance of machines within the disruption budgets of their service tasks.

pub(crate) mod disruption;
pub(crate) mod rollout;
