//! The scheduler process on the users' platform: it takes clients' jobs in, and whichever of the
//! equal processes owns the cell places their tasks on the workers.
//!
//! Decisions are made by `cowslipchute-planner` and `cowslipchute-tenure`; what is called what on
//! the platform is known to `cowslipchute-platform` alone. This crate joins them: one thread, one
//! task for each duty, channels between them. `docs/design/platform.md` gives the reasons.

pub mod api;
pub mod clock;
pub mod config;
pub mod directory;
pub mod election;
pub mod evacuations;
pub mod health;
pub mod instrumented;
pub mod keys;
pub mod listing;
pub mod log;
pub mod metrics;
pub mod owner;
pub mod precedence;
pub mod process;
pub mod recovery;
pub mod retention;
pub mod retry;
pub mod rollouts;
pub mod rpc;
pub mod settings;
pub mod submission;
pub mod watcher;
pub mod writer;
