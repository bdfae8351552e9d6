//! `cowslipchutectl`: the command line over the resource interface.
//!
//! It reads files, asks operator processes and prints what they answer. It decides nothing itself,
//! but for one thing: a request goes to another operator process only if it is a read or surely did
//! not reach the first one. Exit codes follow `docs/RESULTS.md`.

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
