//! The scheduler process on the users' platform: it takes clients' jobs in, and whichever of the
//! equal processes owns the cell places their tasks on the workers.
//!
//! Decisions are made by `cowslipchute-planner` and `cowslipchute-tenure`; what is called what on
//! the platform is known to `cowslipchute-platform` alone. This crate joins them: one thread, one
//! task for each duty, channels between them. `docs/design/platform.md` gives the reasons.

pub mod clock;
pub mod config;
pub mod desk;
pub mod directory;
pub mod evacuations;
pub mod health;
pub mod intake;
pub mod journal;
pub mod keys;
pub mod link;
pub mod listing;
pub mod load;
pub mod log;
pub mod measured;
pub mod metrics;
pub mod owner;
pub mod precedence;
pub mod process;
pub mod retry;
pub mod seat;
pub mod settings;
pub mod sweep;
pub mod watcher;
pub mod waves;
