//! The life of one request, from its arrival to its one final answer.
//!
//! The states that a request passes through are types, and a step from one to the next takes the
//! earlier one by value. A [`Request`] leaves its table by value when it is over, and only a
//! [`Closed`] one can make a final action, so that a second final answer can't be written down.

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::backend::Backend;
use crate::event::Attempt;
use crate::pool::Pool;
use crate::queue::Sequence;
use crate::service::Service;

/// Waits for the verdict of its key's owner; nothing was sent.
#[derive(Debug)]
pub struct Claiming(());

/// Waits for a slot.
#[derive(Debug)]
pub struct Queued {
    /// When it has waited long enough.
    pub until: Time,
}

/// Waits before its next attempt.
#[derive(Debug)]
pub struct Backoff {
    /// When it is tried again.
    pub until: Time,
}

/// Has at least one attempt at a backend server.
#[derive(Debug)]
pub struct Running {
    /// Its attempts that have not ended; two while it is hedged.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// When a second attempt is worth its cost, if it ever is.
    pub hedge_at: Option<Time>,
}

/// Is between two states: it is being placed, and nothing of it runs or waits.
#[derive(Debug)]
pub struct Idle(());

impl Idle {
    /// Begins to wait for the owner of the key.
    pub fn claim(self) -> Claiming {
        Claiming(())
    }

    /// Begins to wait for a slot.
    pub fn queue(self, until: Time) -> Queued {
        Queued { until }
    }

    /// Begins to wait before a retry.
    pub fn back_off(self, until: Time) -> Backoff {
        Backoff { until }
    }

    /// Begins an attempt.
    pub fn send(self, attempt: Attempt, hedge_at: Option<Time>) -> Running {
        Running { attempts: SmallVec::from_slice(&[attempt]), hedge_at }
    }
}

impl Claiming {
    /// The owner of the key allowed the run.
    pub fn granted(self) -> Idle {
        Idle(())
    }
}

impl Queued {
    /// A slot is free.
    pub fn leave(self) -> Idle {
        Idle(())
    }
}

impl Backoff {
    /// The wait is over.
    pub fn leave(self) -> Idle {
        Idle(())
    }
}

impl Running {
    /// Adds the one hedge.
    pub fn hedge(&mut self, attempt: Attempt) {
        assert_eq!(self.attempts.len(), 1, "a request is hedged once");
        self.attempts.push(attempt);
        self.hedge_at = None;
    }

    /// Takes out an attempt that ended; without another, nothing of the request runs.
    pub fn ended(mut self, attempt: Attempt) -> Stage {
        self.attempts.retain(|other| *other != attempt);
        if self.attempts.is_empty() {
            return Stage::Idle(Idle(()));
        }
        Stage::Running(self)
    }
}

/// Where a request is in its life.
#[derive(Debug)]
pub enum Stage {
    /// See [`Idle`].
    Idle(Idle),
    /// See [`Claiming`].
    Claiming(Claiming),
    /// See [`Queued`].
    Queued(Queued),
    /// See [`Backoff`].
    Backoff(Backoff),
    /// See [`Running`].
    Running(Running),
}

/// A request without a final answer.
#[derive(Debug)]
pub struct Request {
    /// Its number, as the entry process knows it.
    pub number: id::Request,
    /// The service that it names.
    pub service: Id<Service>,
    /// The backend servers that may answer.
    pub pool: Id<Pool>,
    /// Its class.
    pub class: Class,
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
    /// Its key, if it is one that must be claimed.
    pub key: Option<id::IdempotencyKey>,
    /// Whether its key is claimed and has to be settled.
    pub claimed: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Rank of its arrival.
    pub sequence: Sequence,
    /// Attempts made, hedges included.
    pub attempts: u8,
    /// Whether it was hedged.
    pub hedged: bool,
    /// Why it may have run, if an attempt that ended may have run it.
    pub may_have_run: Option<Code>,
    /// Why its last attempt did not run it.
    pub last_failure: Code,
    /// The backend servers that were tried.
    pub tried: SmallVec<[Id<Backend>; 3]>,
    /// Whether another failure domain was tried.
    pub tried_remote: bool,
    /// Where it is in its life.
    pub stage: Stage,
}

/// A request that is over.
#[derive(Debug)]
pub struct Closed {
    /// The request.
    pub request: Request,
}

impl Request {
    /// The stage of a request that has just arrived.
    pub fn arrived() -> Stage {
        Stage::Idle(Idle(()))
    }

    /// Takes the stage out to move it on; the request is idle until the next stage is stored.
    pub fn take_stage(&mut self) -> Stage {
        std::mem::replace(&mut self.stage, Stage::Idle(Idle(())))
    }

    /// Takes the stage of a request that is neither waiting nor running.
    pub fn take_idle(&mut self) -> Idle {
        match self.take_stage() {
            Stage::Idle(idle) => idle,
            other => unreachable!("a request that is placed is idle, not {other:?}"),
        }
    }

    /// Returns its attempts that have not ended.
    pub fn running(&self) -> &[Attempt] {
        match &self.stage {
            Stage::Running(running) => &running.attempts,
            _ => &[],
        }
    }

    /// Tells whether a further attempt could run it a second time to any effect.
    pub fn may_repeat(&self) -> bool {
        self.idempotent || (self.may_have_run.is_none() && self.running().is_empty())
    }

    /// Tells whether the caller may send it again without asking what became of it.
    pub fn is_repeatable(&self) -> bool {
        self.idempotent || self.key.is_some()
    }

    /// Ends the request's life.
    pub fn close(self) -> Closed {
        Closed { request: self }
    }
}

impl Closed {
    /// Returns the code that is true of the request: "not run" only if no attempt may have run it.
    pub fn final_code(&self, code: Code) -> Code {
        if code.outcome() != Outcome::NotRun {
            return code;
        }
        let running = !self.request.running().is_empty();
        match self.request.may_have_run {
            Some(doubt) => doubt,
            None if running => Code::Lost,
            None => code,
        }
    }
}
