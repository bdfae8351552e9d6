//! The vocabulary every other crate shares: ids, classes of work, amounts of capacity, numbered
//! result codes and numbered log events.
//!
//! Nothing here decides, waits or talks to anyone. A type belongs in this crate only when two
//! crates that must not depend on each other both need it. The words are explained in
//! `docs/GLOSSARY.md`; the tables of numbers stand in `docs/RESULTS.md` and `docs/EVENTS.md`.

pub mod amount;
pub mod class;
pub mod code;
pub mod entity;
pub mod event;
pub mod id;
pub mod name;
pub mod size;
pub mod table;
pub mod unit;
