//! The operator process: the resource interface over HTTP.
//!
//! It validates what operators write, stores it under the revision that they read, and reports
//! where each revision is in force. It makes no decisions about requests or tasks and holds no
//! state of its own, so any number of these processes may run side by side. The interface is
//! described in `docs/OPERATING.md`, the design alternatives in `docs/design/config.md`.

pub mod api;
pub mod ask;
pub mod drain;
pub mod events;
pub mod lane;
pub mod listing;
pub mod metrics;
pub mod problem;
pub mod process;
pub mod remote;
pub mod request;
pub mod resources;
pub mod settings;
pub mod status;
pub mod tidy;
pub mod view;
pub mod watch;
pub mod writer;
