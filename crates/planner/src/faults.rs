//! Faulty tasks and workers: crashes, probation, quarantine and stalled runs.

pub(crate) mod crash;
pub(crate) mod health;
pub(crate) mod probation;
pub(crate) mod progress;
