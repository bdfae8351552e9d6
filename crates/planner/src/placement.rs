//! Placement of waiting tasks on workers.

pub(crate) mod admission;
pub(crate) mod advice;
pub(crate) mod candidate;
pub(crate) mod evacuation;
pub(crate) mod fit;
pub(crate) mod gang;
pub(crate) mod locality;
pub(crate) mod pin;
pub(crate) mod place;
pub(crate) mod refused;
pub(crate) mod room;
pub(crate) mod wait;
