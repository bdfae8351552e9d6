//! The entry process: accepts callers' HTTP requests and returns a backend server's whole answer.
//!
//! The accept thread distributes callers' connections; the front threads read requests and send
//! their attempts to backend servers; the decision thread owns the router and handles no bodies;
//! the watch thread polls the platform's list; the peer thread talks to other entries. Routing
//! decisions are in `cowslipchute-routing`. See `docs/ARCHITECTURE.md` for the path of a request.

mod accept;
mod decide;
pub mod entry;
mod front;
mod head;
mod keys;
mod message;
mod metrics;
mod outbox;
mod peers;
mod reply;
mod roster;
pub mod settings;
mod share;
mod watch;

pub use crate::head::CLASS_HEADER;
