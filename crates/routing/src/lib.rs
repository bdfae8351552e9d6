//! Decisions about requests at one entry instance: which backend server, when, how often, and what
//! the caller is told when it comes to nothing.
//!
//! [`router::Router`] has one door: an [`event::Event`] and the time go in, [`action::Action`]s
//! come out. It does no I/O, reads no clock and draws randomness only from its seed, so the entry
//! process, the scenario files, the property tests and the measurements all drive the same code.
//! It never sees a body; it knows attempts by number. `docs/design/requests.md` gives the reasons.
//!
//! A request comes in through `arrival`, is placed by `place`, and its attempts end in `ending`;
//! `finish` makes its one final action. `membership` keeps the backend servers, `timeout` the timers.
//! The other modules each hold one rule and know nothing of the router.

pub mod action;
mod admit;
mod arrival;
mod attempt;
mod backend;
mod backoff;
mod budget;
mod choice;
mod cooldown;
mod eject;
mod ending;
pub mod event;
mod finish;
mod hedge;
mod latency;
mod leaving;
mod limit;
mod membership;
mod pick;
mod place;
mod pool;
mod queue;
mod request;
pub mod router;
mod service;
mod share;
mod timeout;
mod timer;
