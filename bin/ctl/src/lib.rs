//! `cowslipchutectl`: the command-line client of the resource API.
//!
//! It reads files, sends requests to operator processes and prints their responses. A request is
//! retried on another operator process only if it is a read or certainly did not reach the first
//! one. Exit codes follow `docs/RESULTS.md`.

pub mod apply;
pub mod client;
pub mod command;
pub mod failure;
pub mod keys;
pub mod output;
pub mod run;
pub mod show;
pub mod sizes;
pub mod spread;
pub mod stream;
pub mod trace;
