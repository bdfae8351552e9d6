//! The scheduler process: accepts jobs from clients, and places their tasks on the workers while it
//! owns the cell.
//!
//! All processes accept jobs; one of them at a time owns the cell. `cowslipchute-planner` and
//! `cowslipchute-tenure` make the decisions, and only `cowslipchute-platform` knows the platform's
//! names and protocols. This crate connects them on one main thread, with one task per duty and
//! channels between the tasks. `docs/design/platform.md` gives the reasons.

pub mod admission;
pub mod api;
pub mod clock;
pub mod config;
pub mod directory;
pub mod election;
pub mod evacuations;
pub mod failpoint;
pub mod health;
pub mod inbox;
pub mod instrumented;
pub mod job_size;
pub mod keys;
pub mod lease;
pub mod listing;
pub mod log;
pub mod metrics;
pub mod owner;
pub mod panic_hook;
pub mod precedence;
pub mod process;
pub mod recovery;
pub mod retention;
pub mod retry;
pub mod rollouts;
pub mod rpc;
pub mod settings;
pub mod store_thread;
pub mod submission;
pub mod turn;
pub mod watcher;
pub mod writer;
