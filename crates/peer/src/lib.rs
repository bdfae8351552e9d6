//! RPC between our own processes over QUIC: one stream per call, mutual TLS on each connection.
//!
//! [`node::Node`] carries the messages of `cowslipchute_ports::peer`. It sends each call and its
//! reply on a separate stream, pools one connection per address, and limits the calls in progress.
//! It does not interpret calls, never sends a call twice, and keeps no list of peers.
//! `docs/design/peer.md` compares the alternatives.

pub mod authority;
pub mod frame;
pub mod identity;
pub mod node;

mod link;
mod serve;
mod tls;
