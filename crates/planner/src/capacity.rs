//! Capacity that is kept for some tasks: reserves, quotas and reservations.

pub(crate) mod idle;
pub(crate) mod quota;
pub(crate) mod reservation;
pub(crate) mod reserve;
pub(crate) mod usage;
