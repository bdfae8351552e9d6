//! Decisions about requests at one entry instance: which backend server, when, how often, and the
//! answer to the caller when no backend server gives one.
//!
//! [`router::Router`] takes an [`event::Event`] and the time and returns [`action::Action`]s. It
//! does no I/O, reads no clock and draws randomness only from its seed, so that the entry process,
//! the scenario files, the property tests and the measurements all drive the same code. It never
//! sees a body and knows attempts by number. `docs/design/requests.md` gives the reasons.
//!
//! `arrival` accepts requests, `place` sends or queues them, `ending` handles ended attempts, and
//! `finish` emits the one final action of each request. `membership` tracks the backend servers and
//! `timeout` fires timers. The other modules each implement one rule and don't use the router.
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
