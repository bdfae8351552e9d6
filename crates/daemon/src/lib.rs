//! Infrastructure shared by our processes: settings, logs, metrics, health checks, event loops
//! connected by bounded rings, and graceful shutdown.
//!
//! An event loop is one thread with one current-thread runtime. Event loops communicate only through
//! [`ring`]s; closing a ring ends the event loop that reads it. Nothing here depends on requests or
//! tasks.

pub mod admin;
pub mod clock;
pub mod event_loop;
pub mod log;
pub mod ring;
pub mod settings;
pub mod stop;
