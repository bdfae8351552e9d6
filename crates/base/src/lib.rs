//! Types shared by all other crates: ids, priority classes, resource amounts, numbered result codes,
//! numbered log events, and what a panic means for a process.
//!
//! Nothing here makes decisions, waits or does I/O. A type belongs in this crate only if two crates
//! that must not depend on each other both need it. `docs/GLOSSARY.md` defines the terms;
//! `docs/RESULTS.md` and `docs/EVENTS.md` list the numbers.

pub mod amount;
pub mod class;
pub mod code;
pub mod entity;
pub mod event;
pub mod id;
pub mod name;
pub mod panic;
pub mod size;
pub mod table;
pub mod unit;
